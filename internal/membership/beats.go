package membership

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

// beatBytes is what a beat takes on the network, with the headers of a datagram, referBytes if it has a reference.
const (
	beatBytes  = 130
	referBytes = 70
)

// sendTo sends a beat to a peer. It renews the watch if the peer is watched.
func (s *State) sendTo(now time.Time, p *peer, greeting bool) Effect {
	p.told, p.pending, p.toldBusy = now, noNews, s.report.RequestCount()
	if p.watched {
		p.asked = now
	}

	return SendBeat{To: p.member.Peer, Beat: s.refer(p, s.beat(p.watched, greeting))}
}

// beat describes the daemon to another one.
func (s *State) beat(watch, greeting bool) Beat {
	return Beat{
		From: s.self.Member, References: true, Watch: watch, Greeting: greeting, Version: s.version, Report: s.report,
	}
}

func (s *State) beatHeard(now time.Time, e BeatHeard) []Effect {
	b, known, effects := s.resolve(now, e)
	if !known || b.From.ID == s.self.Member.ID {
		return effects
	}

	return append(effects, s.memberHeard(now, b)...)
}

// memberHeard takes a beat whose sender is known.
func (s *State) memberHeard(now time.Time, b Beat) []Effect {
	var effects []Effect

	known := s.peers[b.From.ID]
	if s.learn(b.From) {
		s.watch(now)

		effects = append(effects, s.members())
	}

	p := s.peers[b.From.ID]
	if p == nil || b.From.Incarnation < p.member.Incarnation {
		return effects
	}

	p.heard, p.greetAt, p.references = now, time.Time{}, b.References

	if p.member.Status == instance.Accused && s.accuse(now) {
		effects = append(effects, s.members())
	}

	if b.Watch {
		p.watcher = now.Add(watchTime)
	}

	// A daemon that was not known before has to learn of this one, too.
	if b.Greeting || known == nil {
		effects = append(effects, s.sendTo(now, p, false))
	}

	if b.Report.Server == b.From.ID {
		effects = append(effects, Reported{Report: b.Report})
	}

	if len(b.Message) > 0 {
		effects = append(effects, MessageHeard{Message: b.Message})
	}

	if b.Version > s.version {
		effects = append(effects, VersionHeard{Version: b.Version, From: p.member})
	}

	return effects
}

func (s *State) loadChanged(now time.Time, e LoadChanged) []Effect {
	news := newsOf(s.stated, e.Report)
	s.report, s.version = e.Report, e.Version

	if news > busyNews {
		s.stated = e.Report
	}

	return s.tell(now, news)
}

// news is what a watcher does not know yet.
type news uint8

const (
	noNews news = iota
	// busyNews is a changed number of requests at the server.
	busyNews
	// loadNews is another change of the load. Like busyNews, it waits if the budget for measuring is spent.
	loadNews
	// memberNews is a change after which requests would be sent to a daemon that does not take them.
	memberNews
)

// newsOf says what a change of the report means to a watcher.
func newsOf(before, after load.Report) news {
	switch {
	case before.Open != after.Open:
		return memberNews
	case after.CapacityDiffers(before):
		return loadNews
	default:
		return busyNews
	}
}

// tell sends beats to those who watch this daemon and are due one.
func (s *State) tell(now time.Time, changed news) []Effect {
	var effects []Effect

	for _, p := range s.order {
		if !now.Before(p.watcher) {
			continue
		}

		p.pending = max(p.pending, changed)
		if p.pending == busyNews && !s.worthTelling(p) {
			p.pending = noNews
		}

		if now.Before(s.dueTo(p)) {
			continue
		}

		early := now.Before(p.told.Add(idleInterval))
		if early && p.pending < memberNews && !s.budget.AllowN(now, s.bytesTo(p)) {
			// The next idle beat tells it.
			p.pending = noNews

			continue
		}

		effects = append(effects, s.sendTo(now, p, false))
	}

	return effects
}

// bytesTo is what a beat to a peer takes.
func (s *State) bytesTo(p *peer) int {
	if s.knows(p) {
		return referBytes
	}

	return beatBytes
}

// worthTelling reports whether the number of requests at the server differs enough from what a peer was told.
func (s *State) worthTelling(p *peer) bool {
	step := int(math.Ceil(busyStep * float64(max(1, s.report.Slots))))
	diff := s.report.RequestCount() - p.toldBusy

	return diff >= step || diff <= -step
}

func (s *State) budgetChanged(now time.Time, e BudgetChanged) {
	limit := rate.Limit(e.Bytes)
	if e.Unlimited {
		limit = rate.Inf
	}

	s.budget.SetLimitAt(now, limit)
	s.budget.SetBurstAt(now, max(beatBytes, int(e.Bytes)))
}

// dueTo is when the next beat to a watcher is due.
func (s *State) dueTo(p *peer) time.Time {
	switch p.pending {
	case noNews:
		return p.told.Add(idleInterval)
	case busyNews:
		return p.told.Add(busyInterval)
	default:
		return p.told.Add(changeInterval)
	}
}

func (s *State) used(now time.Time, service string) []Effect {
	if s.services[service] {
		return nil
	}

	s.services[service] = true
	s.watch(now)

	return s.renew(now)
}

// renew asks those watched members for their beats that no other beat has asked for some time.
func (s *State) renew(now time.Time) []Effect {
	var effects []Effect

	s.watchAt = now.Add(watchInterval)

	for _, p := range s.order {
		if p.watched && now.Sub(p.asked) >= watchInterval {
			effects = append(effects, s.sendTo(now, p, p.heard.IsZero()))
		}
	}

	return effects
}

// greet asks a member for a beat, so that it learns of this daemon.
func (s *State) greet(now time.Time, p *peer) Effect {
	p.greetPause = min(max(greetMin, 2*p.greetPause), greetMax)
	p.greetAt = now.Add(p.greetPause)

	return SendBeat{To: p.member.Peer, Beat: s.refer(p, s.beat(p.watched, true))}
}

// greetAgain greets members that have not answered.
func (s *State) greetAgain(now time.Time) []Effect {
	var effects []Effect

	for _, p := range s.order {
		if !p.greetAt.IsZero() && !now.Before(p.greetAt) {
			effects = append(effects, s.greet(now, p))
		}
	}

	return effects
}

// accuse changes the status of watched members that have fallen silent, and of those that are heard again.
func (s *State) accuse(now time.Time) bool {
	changed := false

	for _, p := range s.order {
		quiet := p.watched && now.Sub(times.Later(p.heard, p.since)) >= silence

		switch {
		case quiet && p.member.Status == instance.Alive:
			p.member.Status = instance.Accused
		case !quiet && p.member.Status == instance.Accused:
			p.member.Status = instance.Alive
		default:
			continue
		}

		changed = true
	}

	return changed
}

func (s *State) tick(now time.Time) []Effect {
	effects := s.write(now)

	if !now.Before(s.readAt) && !s.readAt.IsZero() {
		effects = append(effects, s.read(now)...)
	}

	if !now.Before(s.watchAt) && len(s.services) > 0 {
		effects = append(effects, s.renew(now)...)
	}

	if s.accuse(now) {
		effects = append(effects, s.members())
	}

	effects = append(effects, s.sendSpreads(now)...)
	effects = append(effects, s.greetAgain(now)...)

	return append(effects, s.tell(now, noNews)...)
}

// Next is when Tick is due; the zero time if nothing waits.
func (s *State) Next() time.Time {
	var next time.Time

	if s.dirty && !s.writing {
		next = times.Next(next, s.writeAt)
	}

	if !s.reading && !s.left {
		next = times.Next(next, s.readAt)
	}

	if len(s.services) > 0 {
		next = times.Next(next, s.watchAt)
	}

	for _, sp := range s.spreading {
		next = times.Next(next, sp.next)
	}

	for _, p := range s.order {
		next = times.Next(next, p.greetAt)

		if p.watched && p.member.Status == instance.Alive {
			next = times.Next(next, times.Later(p.heard, p.since).Add(silence))
		}

		if p.watcher.After(p.told) {
			if at := s.dueTo(p); at.Before(p.watcher) {
				next = times.Next(next, at)
			}
		}
	}

	return next
}
