package simulation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what callers and servers observed in a run.
type Result struct {
	fleet *Fleet
	// Kinds has one result for each kind of request, in the order of the pattern, and Seconds one for each second of
	// the load.
	Kinds      []KindResult
	Seconds    []SecondResult
	Violations []Violation
	// Attempts, Beats, BeatBytes, Probes and StoreCalls are totals of the whole run: attempts and beats that daemons
	// sent to each other, the bytes of the beats with their datagram headers, health probes, and calls to the store.
	Attempts, Beats, BeatBytes, Probes, StoreCalls int
	// Hedges is the number of hedged attempts. RunTime is the time for which servers ran requests, HedgeRunTime the part of
	// it for hedged attempts.
	Hedges                int
	RunTime, HedgeRunTime time.Duration
	// Unlisted is the number of daemons that run at the end without an entry in the store, and Behind the number of those
	// that do not use the newest configuration.
	Unlisted, Behind int

	// These are counted during the run. At its end, collect copies them to the exported fields.
	attempts, beats, beatBytes, probes int
}

// KindResult is the result of the requests of one kind.
type KindResult struct {
	Name string
	// Sent is the number of requests. InTarget, Late, Refused and Failed count them by their final response: a success
	// within the target or after it, a refusal by a daemon, or anything else.
	Sent                            int
	InTarget, Late, Refused, Failed int
	// PossibleValue is the value that the requests have if all succeed within the target, EarnedValue that of the
	// actual responses.
	PossibleValue, EarnedValue float64
	// Latency of the successful requests in microseconds.
	Latency *hdrhistogram.Histogram
}

// EarnedShare returns the share of the possible value that was earned; 1 if no value was possible.
func (k KindResult) EarnedShare() float64 {
	if k.PossibleValue == 0 {
		return 1
	}

	return k.EarnedValue / k.PossibleValue
}

// SecondResult is the result of the requests that were first sent in one second.
type SecondResult struct {
	PossibleValue, EarnedValue float64
	// Sent is the number of these requests. Hedges is the number of hedged attempts that were sent in the second.
	Sent, Hedges int
}

// significantDigits is the precision of the latencies, in decimal digits.
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

// secondResult returns the result of the second in which a request was first sent.
func (r *Result) secondResult(request *callerRequest) *SecondResult {
	second := int(request.firstSent.Sub(simulationStart.Add(r.fleet.pattern.WarmUp)) / time.Second)

	return &r.Seconds[min(max(0, second), len(r.Seconds)-1)]
}

func (r *Result) recordSent(request *callerRequest) {
	k := r.kindResult(request.kind)
	k.Sent++
	k.PossibleValue += request.kind.Value

	second := r.secondResult(request)
	second.PossibleValue += request.kind.Value
	second.Sent++
}

// recordEnd records the final response to a request.
func (r *Result) recordEnd(request *callerRequest, answer response) {
	k := r.kindResult(request.kind)
	elapsed := r.fleet.clock.now.Sub(request.firstSent)
	earned := 0.0

	switch {
	case answer.refused:
		k.Refused++
	case answer.outcome != answered:
		k.Failed++
	case elapsed <= request.kind.Target:
		k.InTarget++
		earned = request.kind.Value
	default:
		k.Late++
		earned = request.kind.LateValue
	}

	if !answer.refused && answer.outcome == answered {
		// The latency is within the range of the histogram, because callers give up before.
		_ = k.Latency.RecordValue(elapsed.Microseconds())
	}

	k.EarnedValue += earned
	r.secondResult(request).EarnedValue += earned
}

// recordHedge records a hedged attempt.
func (r *Result) recordHedge() {
	r.Hedges++
	r.Seconds[min(r.fleet.loadSecond(), len(r.Seconds)-1)].Hedges++
}

// addRunTime adds the time for which a server ran a request.
func (r *Result) addRunTime(elapsed time.Duration, hedged bool) {
	r.RunTime += elapsed

	if hedged {
		r.HedgeRunTime += elapsed
	}
}

// collect sets the violations and the totals at the end of the run.
func (r *Result) collect() {
	r.Violations = r.fleet.guarantees.violations
	r.Attempts, r.Probes, r.StoreCalls = r.attempts, r.probes, r.fleet.store.callCount
	r.Beats, r.BeatBytes = r.beats, r.beatBytes

	for _, d := range r.fleet.daemons {
		if d.process == nil {
			continue
		}

		if _, listed := r.fleet.store.entries[d.id]; !listed {
			r.Unlisted++
		}

		if d.process.version < r.fleet.store.version {
			r.Behind++
		}
	}
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

// EarnedShare returns the share of the possible value of all kinds that was earned; 1 if no value was possible.
func (r *Result) EarnedShare() float64 {
	possible, earned := 0.0, 0.0

	for _, k := range r.Kinds {
		possible += k.PossibleValue
		earned += k.EarnedValue
	}

	if possible == 0 {
		return 1
	}

	return earned / possible
}
