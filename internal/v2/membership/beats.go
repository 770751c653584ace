package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// beat describes the daemon to another one.
func (s *State) beat(_ time.Time, watch, greeting bool) Beat {
	return Beat{From: s.self.Member, Watch: watch, Greeting: greeting, Version: s.version, Report: s.report}
}

func (s *State) beatHeard(now time.Time, b Beat) []Effect {
	if b.From.ID == s.self.Member.ID {
		return nil
	}

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

	p.heard = now

	if p.member.Status == instance.Accused && s.accuse(now) {
		effects = append(effects, s.members())
	}

	if b.Watch {
		p.watcher = now.Add(watchTime)
	}

	// A daemon that was not known before has to learn of this one, too.
	if b.Greeting || known == nil {
		p.told, p.pending = now, false
		effects = append(effects, SendBeat{To: p.member.Peer, Beat: s.beat(now, p.watched, false)})
	}

	if b.Report.Server == b.From.ID {
		effects = append(effects, Reported{Report: b.Report})
	}

	if b.Version > s.version {
		effects = append(effects, VersionHeard{Version: b.Version, From: p.member})
	}

	return effects
}

func (s *State) loadChanged(now time.Time, e LoadChanged) []Effect {
	s.report, s.version = e.Report, e.Version

	if !e.Urgent {
		for _, p := range s.order {
			p.pending = true
		}

		return nil
	}

	return s.tell(now, true)
}

// tell sends beats to those who watch this daemon and are due one.
func (s *State) tell(now time.Time, changed bool) []Effect {
	var effects []Effect

	for _, p := range s.order {
		if !now.Before(p.watcher) {
			continue
		}

		p.pending = p.pending || changed

		if now.Before(s.dueTo(p)) {
			continue
		}

		p.told, p.pending = now, false
		effects = append(effects, SendBeat{To: p.member.Peer, Beat: s.beat(now, false, false)})
	}

	return effects
}

// dueTo is when the next beat to a watcher is due.
func (s *State) dueTo(p *peer) time.Time {
	if p.pending {
		return p.told.Add(changeInterval)
	}

	return p.told.Add(idleInterval)
}

func (s *State) used(now time.Time, service string) []Effect {
	if s.services[service] {
		return nil
	}

	s.services[service] = true
	s.watch(now)

	return s.renew(now)
}

// watch chooses the members to watch: those whose servers this daemon sends requests to, the near ones
// first.
func (s *State) watch(now time.Time) {
	var wanted []*peer

	for _, p := range s.order {
		if s.services[p.member.Service] && p.member.Place.Region == s.self.Member.Place.Region {
			wanted = append(wanted, p)
		}
	}

	own := s.self.Member.Place
	slices.SortStableFunc(wanted, func(a, b *peer) int {
		return cmp.Compare(rank(a.member.Place, own), rank(b.member.Place, own))
	})

	wanted = wanted[:min(len(wanted), maxWatched)]

	for _, p := range s.order {
		chosen := slices.Contains(wanted, p)
		if chosen && !p.watched {
			p.since = now
			s.watchAt = now
		}

		p.watched = chosen
	}
}

func rank(place, own instance.Place) int {
	if place == own {
		return 0
	}

	return 1
}

// renew asks the watched members for their beats.
func (s *State) renew(now time.Time) []Effect {
	var effects []Effect

	s.watchAt = now.Add(watchInterval)

	for _, p := range s.order {
		if p.watched {
			p.told, p.pending = now, false
			effects = append(effects, SendBeat{To: p.member.Peer, Beat: s.beat(now, true, p.heard.IsZero())})
		}
	}

	return effects
}

// accuse changes the status of watched members that have fallen silent, and of those that are heard again.
func (s *State) accuse(now time.Time) bool {
	changed := false

	for _, p := range s.order {
		quiet := p.watched && now.Sub(latest(p.heard, p.since)) >= silence

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

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
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

	return append(effects, s.tell(now, false)...)
}

// Next is when Tick is due; the zero time if nothing waits.
func (s *State) Next() time.Time {
	var next time.Time

	consider := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}

	if s.dirty && !s.writing {
		consider(s.writeAt)
	}

	if !s.reading && !s.left {
		consider(s.readAt)
	}

	if len(s.services) > 0 {
		consider(s.watchAt)
	}

	for _, p := range s.order {
		if p.watched && p.member.Status == instance.Alive {
			consider(latest(p.heard, p.since).Add(silence))
		}

		if p.watcher.After(p.told) {
			if at := s.dueTo(p); at.Before(p.watcher) {
				consider(at)
			}
		}
	}

	return next
}
