package routing

import "time"

// probe asks a random server for its load if nothing fresh is known of it and the budget allows it. It
// is called for each request, so that an idle entry measures nothing.
func (s *State) probe(now time.Time, svc *service) []Effect {
	// The budget is looked at first because it is usually what forbids the probe.
	if !s.uses(Hints) || len(svc.local.items) == 0 || !svc.measuring.probes.has(now, 1) {
		return nil
	}

	srv := svc.local.items[s.random.IntN(len(svc.local.items))]
	if srv.probing || srv.hinted(now) || !svc.measuring.takeProbe(now, srv) {
		return nil
	}

	srv.probing = true
	s.counts.Probes++

	return []Effect{Probe{Target: srv.member}}
}

func (s *State) probeEnded(now time.Time, e ProbeEnded) {
	srv, ok := s.servers[e.Target]
	if !ok {
		return
	}

	srv.probing = false

	if e.OK {
		srv.learn(now, e.Hint)
	}

	if extra := e.Bytes - ProbeBytes; extra > 0 {
		srv.service.measuring.settle(srv, float64(extra))
	}
}
