package bench

import (
	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/routing"
)

// mechanisms returns our policy with one mechanism turned off at a time.
func mechanisms() []contender {
	large := budgets()[2].budget
	without := func(name string, m routing.Mechanism) contender {
		return ours("large, without "+name, large, routing.Without(m))
	}

	server := func(name string, m admission.Mechanism) contender {
		c := ours("large, without "+name, large)
		c.admission = []admission.Option{admission.Without(m)}

		return c
	}

	return []contender{
		without("hints", routing.Hints),
		without("hint ageing", routing.HintAgeing),
		without("hedging", routing.Hedging),
		without("straggler weight", routing.StragglerWeight),
		without("failure weight", routing.FailureWeight),
		without("late binding", routing.LateBinding),
		without("near domain", routing.NearDomain),
		without("cold ramp", routing.ColdRamp),
		server("shedding", admission.Shedding),
	}
}
