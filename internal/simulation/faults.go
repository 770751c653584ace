package simulation

import (
	"math"
	"time"
)

// leaveTime is how long a server that leaves goes on after its daemon knows it.
const leaveTime = 3 * time.Second

// befall lets a fault begin now and end later.
func (f *Fleet) befall(fault Fault) {
	end := f.begin(fault)
	if end != nil {
		f.clock.after(fault.Duration, end)
	}
}

// begin lets a fault begin and returns what ends it.
func (f *Fleet) begin(fault Fault) (end func()) {
	switch fault.Kind {
	case Burst:
		f.callers.burst *= fault.Factor

		return func() { f.callers.burst /= fault.Factor }
	case Abuse:
		f.callers.abusive, f.callers.abuse = fault.Share, int(fault.Factor)

		return func() { f.callers.abusive = 0 }
	case Slow, Shed, Fail, Lose, Crash, Leave:
		return f.hitServers(fault)
	case Kill, Freeze, Cut:
		return f.hitDaemons(fault)
	case Split:
		f.network.split++

		return func() {
			f.network.split--
			f.network.healed()
		}
	case Drop:
		f.network.loss = fault.Factor

		return func() { f.network.loss = 0 }
	case Outage:
		f.store.down++

		return func() { f.store.down-- }
	case Publish:
		f.store.publish()
	}

	return nil
}

// some draws a share of the daemons of a service; an empty name means all.
func (f *Fleet) some(service string, share float64) []*daemon {
	var all []*daemon

	for _, d := range f.daemons {
		if !d.gone && (service == "" || d.server.service.Name == service) {
			all = append(all, d)
		}
	}

	f.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })

	return all[:int(math.Ceil(share*float64(len(all))))]
}

// hitServers lets a fault befall servers.
func (f *Fleet) hitServers(fault Fault) (end func()) {
	hit := f.some(fault.Service, fault.Share)
	set := func(value float64) {
		for _, d := range hit {
			f.change(d.server, fault.Kind, value)
		}
	}

	set(fault.Factor)

	return func() { set(0) }
}

// change begins or, with zero, ends a fault of a server.
func (f *Fleet) change(s *server, kind FaultKind, value float64) {
	switch kind {
	case Slow:
		s.slow = value
		s.paceChanged()
	case Shed:
		s.shedding = value
	case Fail:
		s.failing = value
	case Lose:
		s.losing = value
	case Crash:
		if value > 0 {
			s.crash()
		} else if !s.up {
			s.start()
		}
	case Leave:
		if value > 0 {
			s.leave()
		}
	default:
	}
}

// leave lets a server drain and go, and its instance after it.
func (s *server) leave() {
	if !s.up || s.leaving {
		return
	}

	s.leaving = true
	s.daemon.announced(s.announcement())
	s.fleet.clock.after(s.fleet.pattern.DrainTime+leaveTime, func() {
		s.crash()
		s.daemon.gone = true
		s.daemon.kill()
	})
}

// hitDaemons lets a fault befall daemons.
func (f *Fleet) hitDaemons(fault Fault) (end func()) {
	hit := f.some(fault.Service, fault.Share)

	switch fault.Kind {
	case Kill:
		for _, d := range hit {
			d.kill()
		}

		return func() {
			f.clock.after(restartTime, func() {
				for _, d := range hit {
					d.start()
				}
			})
		}
	case Freeze:
		return f.freeze(hit)
	default:
		for _, d := range hit {
			f.network.cut[d]++
		}

		return func() {
			for _, d := range hit {
				f.network.cut[d]--
			}

			f.network.healed()
		}
	}
}

func (f *Fleet) freeze(hit []*daemon) (end func()) {
	var frozen []*run

	for _, d := range hit {
		if d.run != nil {
			d.run.freeze()

			frozen = append(frozen, d.run)
		}
	}

	return func() {
		for _, r := range frozen {
			r.thaw()
		}
	}
}
