package routing

// Mechanism is a part of the choice that can be turned off to measure what it brings.
type Mechanism uint8

// Mechanisms that Without turns off.
const (
	// Hints asks for load hints and uses them.
	Hints Mechanism = iota
	// HintAgeing trusts a hint less as it gets older, and drops it by age and uses.
	HintAgeing
	// Hedging sends second attempts of idempotent requests.
	Hedging
	// StragglerWeight avoids servers that are slow compared with their peers.
	StragglerWeight
	// FailureWeight avoids servers that fail.
	FailureWeight
	// LateBinding has full servers refuse instead of queue.
	LateBinding
	// NearDomain prefers the own failure domain.
	NearDomain
	// ColdRamp gives servers that just started less than their share.
	ColdRamp
)

// Without turns mechanisms off.
func Without(mechanisms ...Mechanism) Option {
	return func(s *State) {
		for _, m := range mechanisms {
			s.off |= 1 << m
		}
	}
}

func (s *State) uses(m Mechanism) bool { return s.off&(1<<m) == 0 }
