package simulation

import (
	"math"
	"time"
)

// exitDelay is how long after the drain time a leaving server and its daemon exit.
const exitDelay = 3 * time.Second

// injectFault starts a fault and schedules its end.
func (f *Fleet) injectFault(fault Fault) {
	end := f.startFault(fault)
	if end != nil {
		f.clock.scheduleAfter(fault.Duration, end)
	}
}

// startFault starts a fault and returns the function that ends it, or nil if the fault has no end.
func (f *Fleet) startFault(fault Fault) (end func()) {
	switch fault.Kind {
	case Burst:
		f.callers.rateFactor *= fault.Factor

		return func() { f.callers.rateFactor /= fault.Factor }
	case Abuse:
		f.callers.abusiveShare, f.callers.abusiveRetries = fault.Share, int(fault.Factor)

		return func() { f.callers.abusiveShare = 0 }
	case Slow, Shed, Fail, Lose, Crash, Leave:
		return f.startServerFault(fault)
	case Kill, Freeze, Cut:
		return f.startDaemonFault(fault)
	case Split:
		f.network.splitFaults++

		return func() {
			f.network.splitFaults--
			f.network.deliverHeld()
		}
	case Drop:
		f.network.lossShare = fault.Factor

		return func() { f.network.lossShare = 0 }
	case Outage:
		f.store.outages++

		return func() { f.store.outages-- }
	case Return:
		f.store.comeBack(time.Duration(fault.Factor * float64(time.Second)))
	case Publish:
		f.store.publish()
	}

	return nil
}

// pickDaemons returns a random share of the daemons of a service, or of all services if the name is empty.
func (f *Fleet) pickDaemons(service string, share float64) []*daemon {
	var all []*daemon

	for _, d := range f.daemons {
		if !d.removed && (service == "" || d.server.service.Name == service) {
			all = append(all, d)
		}
	}

	f.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })

	return all[:int(math.Ceil(share*float64(len(all))))]
}

// startServerFault starts a fault of backend servers and returns the function that ends it.
func (f *Fleet) startServerFault(fault Fault) (end func()) {
	affected := f.pickDaemons(fault.Service, fault.Share)
	set := func(value float64) {
		for _, d := range affected {
			f.setServerFault(d.server, fault.Kind, value)
		}
	}

	set(fault.Factor)

	return func() { set(0) }
}

// setServerFault starts a fault of a server, or ends it if value is zero.
func (f *Fleet) setServerFault(s *server, kind FaultKind, value float64) {
	switch kind {
	case Slow:
		s.faultSlowness = value
		s.updateRunning()
	case Shed:
		s.shedShare = value
	case Fail:
		s.failShare = value
	case Lose:
		s.loseShare = value
	case Crash:
		if value > 0 {
			s.crash()
		} else if !s.up {
			s.start()
		}
	case Leave:
		if value > 0 {
			s.drainAndExit()
		}
	default:
	}
}

// drainAndExit drains the server, then ends it and removes its instance.
func (s *server) drainAndExit() {
	if !s.up || s.draining {
		return
	}

	s.draining = true
	s.daemon.deliverAnnouncement(s.announcement())
	s.fleet.clock.scheduleAfter(s.fleet.pattern.DrainTime+exitDelay, func() {
		s.crash()
		s.daemon.removed = true
		s.daemon.kill()
	})
}

// startDaemonFault starts a fault of daemons and returns the function that ends it.
func (f *Fleet) startDaemonFault(fault Fault) (end func()) {
	affected := f.pickDaemons(fault.Service, fault.Share)

	switch fault.Kind {
	case Kill:
		for _, d := range affected {
			d.kill()
		}

		return func() {
			f.clock.scheduleAfter(restartTime, func() {
				for _, d := range affected {
					d.start()
				}
			})
		}
	case Freeze:
		return f.freezeDaemons(affected)
	default:
		for _, d := range affected {
			f.network.cutFaults[d]++
		}

		return func() {
			for _, d := range affected {
				f.network.cutFaults[d]--
			}

			f.network.deliverHeld()
		}
	}
}

func (f *Fleet) freezeDaemons(affected []*daemon) (end func()) {
	var frozen []*process

	for _, d := range affected {
		if d.process != nil {
			d.process.freeze()

			frozen = append(frozen, d.process)
		}
	}

	return func() {
		for _, p := range frozen {
			p.thaw()
		}
	}
}
