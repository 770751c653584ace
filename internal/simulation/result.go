package simulation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what callers and servers saw in a run.
type Result struct {
	fleet *Fleet
	// Kinds are in the order of the pattern, Seconds those of the load.
	Kinds      []KindResult
	Seconds    []SecondResult
	Violations []Violation
	// Attempts between daemons, Beats and their bytes, Probes and Calls to the store of the whole run.
	Attempts, Beats, BeatBytes, Probes, StoreCalls int

	attempts, beats, beatBytes, probes int
}

// KindResult is what became of the requests of one kind.
type KindResult struct {
	Name                            string
	Sent                            int
	InTarget, Late, Refused, Failed int
	// Owed and Earned are worth.
	PossibleValue, EarnedValue float64
	// Latency of the successful ones in microseconds.
	Latency *hdrhistogram.Histogram
}

// Share is the share of the worth that was earned; 1 if none was owed.
func (k KindResult) EarnedShare() float64 {
	if k.PossibleValue == 0 {
		return 1
	}

	return k.EarnedValue / k.PossibleValue
}

// SecondResult is what became of the requests that were first sent in one second.
type SecondResult struct{ PossibleValue, EarnedValue float64 }

// significant is the number of digits that latencies are kept with.
const significantDigits = 3

func newResult(f *Fleet) *Result {
	r := &Result{fleet: f, Seconds: make([]SecondResult, int(f.pattern.LoadDuration/time.Second)+1)}

	for _, kind := range f.pattern.Kinds {
		r.Kinds = append(r.Kinds, KindResult{
			Name: kind.Name, Latency: hdrhistogram.New(1, time.Minute.Microseconds(), significantDigits),
		})
	}

	return r
}

func (r *Result) kindResult(k *Kind) *KindResult {
	for i := range r.Kinds {
		if r.Kinds[i].Name == k.Name {
			return &r.Kinds[i]
		}
	}

	return nil
}

// secondOf returns the second in which a request was first sent.
func (r *Result) secondResult(s *callerRequest) *SecondResult {
	second := int(s.firstSent.Sub(simulationStart.Add(r.fleet.pattern.WarmUp)) / time.Second)

	return &r.Seconds[min(max(0, second), len(r.Seconds)-1)]
}

func (r *Result) recordSent(s *callerRequest) {
	k := r.kindResult(s.kind)
	k.Sent++
	k.PossibleValue += s.kind.Value
	r.secondResult(s).PossibleValue += s.kind.Value
}

// ended counts a request by what its caller got.
func (r *Result) recordEnd(s *callerRequest, answer response) {
	k := r.kindResult(s.kind)
	elapsed := r.fleet.clock.now.Sub(s.firstSent)
	earned := 0.0

	switch {
	case answer.refused:
		k.Refused++
	case answer.outcome != answered:
		k.Failed++
	case elapsed <= s.kind.Target:
		k.InTarget++
		earned = s.kind.Value
	default:
		k.Late++
		earned = s.kind.LateValue
	}

	if !answer.refused && answer.outcome == answered {
		// Latencies beyond the largest one do not occur: callers leave before.
		_ = k.Latency.RecordValue(elapsed.Microseconds())
	}

	k.EarnedValue += earned
	r.secondResult(s).EarnedValue += earned
}

func (r *Result) collect() {
	r.Violations = r.fleet.guarantees.violations
	r.Attempts, r.Probes, r.StoreCalls = r.attempts, r.probes, r.fleet.store.callCount
	r.Beats, r.BeatBytes = r.beats, r.beatBytes
}

// Kind returns the result of a kind by its name.
func (r *Result) Kind(name string) KindResult {
	for _, k := range r.Kinds {
		if k.Name == name {
			return k
		}
	}

	return KindResult{}
}

// Share is the share of all worth that was earned.
func (r *Result) EarnedShare() float64 {
	owed, earned := 0.0, 0.0

	for _, k := range r.Kinds {
		owed += k.PossibleValue
		earned += k.EarnedValue
	}

	if owed == 0 {
		return 1
	}

	return earned / owed
}
