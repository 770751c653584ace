package simulation

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// leastFaults and mostFaults bound the number of faults in a storm.
	leastFaults = 3
	mostFaults  = 9
	// longestFault bounds how long a fault lasts.
	longestFault = 6 * time.Second
)

// stormFactors are the largest factors of the faults that have one.
var stormFactors = map[FaultKind]float64{
	Burst: 3, Abuse: 4, Slow: 12, Shed: 1, Fail: 1, Lose: 0.5, Drop: 0.5, Crash: 1, Leave: 1, Return: 8,
}

// stormKinds are the faults that a storm draws from.
var stormKinds = []FaultKind{
	Burst, Abuse, Slow, Crash, Shed, Fail, Lose, Leave, Kill, Freeze, Cut, Split, Drop, Outage, Publish, Publish,
	Return,
}

// Storm returns the pattern with random faults, in series and overlapping, in place of its own.
func (p Pattern) Storm(seed uint64) Pattern {
	random := rand.New(rand.NewPCG(seed, 0))
	count := leastFaults + random.IntN(mostFaults-leastFaults+1)
	p.Faults = nil

	for number := range count {
		kind := stormKinds[random.IntN(len(stormKinds))]
		fault := Fault{
			Name: fmt.Sprintf("%s-%d", kind, number), Kind: kind,
			At:       time.Duration(random.Int64N(int64(p.LoadDuration * 3 / 4))).Round(time.Millisecond),
			Duration: time.Duration(random.Int64N(int64(longestFault))).Round(time.Millisecond),
			Share:    0.1 + 0.9*random.Float64(), Factor: stormFactors[kind] * random.Float64(),
		}

		switch kind {
		case Burst:
			fault.Factor++
		case Slow, Crash, Leave:
			fault.Factor = max(1, fault.Factor)
		default:
		}

		if random.IntN(2) == 0 {
			fault.Service = p.Services[random.IntN(len(p.Services))].Name
		}

		p.Faults = append(p.Faults, fault)
	}

	return p
}

// Shrink drops faults one by one as long as a guarantee is still violated, and returns the pattern with those that are left.
func Shrink(p Pattern, seed uint64) Pattern {
	for at := 0; at < len(p.Faults); {
		smaller := p
		smaller.Faults = slices.Delete(slices.Clone(p.Faults), at, at+1)

		if len(Run(smaller, seed).Violations) > 0 {
			p = smaller
		} else {
			at++
		}
	}

	return p
}

// WriteFaults writes the faults of a pattern in the form that ParsePattern reads.
func WriteFaults(out io.Writer, p Pattern) {
	for _, f := range p.Faults {
		_, _ = fmt.Fprintf(out, "\n[fault %s]\nwhat = %s\nat = %s\nfor = %s\nshare = %.3f\nfactor = %.3f\n",
			f.Name, f.Kind, f.At, f.Duration, f.Share, f.Factor)

		if f.Service != "" {
			_, _ = fmt.Fprintf(out, "service = %s\n", f.Service)
		}
	}
}
