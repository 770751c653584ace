package membership

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

// fullBeatBytes is the approximate size of a beat on the network with the headers of the datagram, and
// referenceBeatBytes that of a beat with a reference.
const (
	fullBeatBytes      = 130
	referenceBeatBytes = 70
)

// sendTo returns a beat to a peer. If the peer is watched, the beat also renews the watch.
func (s *State) sendTo(now time.Time, p *peer, greeting bool) Effect {
	p.sentAt, p.pending, p.sentRequestCount = now, noChange, s.report.RequestCount()
	if p.watched {
		p.renewedAt = now
	}

	return SendBeat{To: p.member.Peer, Beat: s.useReference(p, s.newBeat(p.watched, greeting))}
}

// newBeat returns a beat with the full member record of this daemon and the load of its server.
func (s *State) newBeat(watch, greeting bool) Beat {
	return Beat{
		From: s.self.Member, References: true, Watch: watch, Greeting: greeting, Version: s.version, Epoch: s.epoch,
		End: s.readEnd(), Report: s.report,
	}
}

// readEnd returns the offset up to which this daemon has read the topic of the configuration, if that is of the epoch
// that its beats state.
func (s *State) readEnd() int64 {
	if s.read.Epoch != s.epoch {
		return 0
	}

	return s.read.Offset
}

func (s *State) beatHeard(now time.Time, e BeatHeard) []Effect {
	b, resolved, effects := s.resolveSender(now, e)
	if !resolved || b.From.ID == s.self.Member.ID {
		return effects
	}

	return append(effects, s.processBeat(now, b)...)
}

// processBeat handles a beat whose sender is resolved.
func (s *State) processBeat(now time.Time, b Beat) []Effect {
	var effects []Effect

	previous := s.peers[b.From.ID]
	if s.updateMember(b.From) {
		s.chooseWatched(now)

		effects = append(effects, s.membersChanged())
	}

	p := s.peers[b.From.ID]
	if p == nil || b.From.Incarnation < p.member.Incarnation {
		return effects
	}

	p.heardAt, p.greetAt, p.understandsReferences = now, time.Time{}, b.References

	if p.member.Status == instance.Accused && s.updateAccused(now) {
		effects = append(effects, s.membersChanged())
	}

	if b.Watch {
		p.watchesUntil = now.Add(watchLifetime)
	}

	// A sender that was not known before may not know this daemon either.
	if b.Greeting || previous == nil {
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

	if position := (store.Position{Epoch: b.Epoch, Offset: b.End}); b.End > 0 && position.After(s.read) {
		effects = append(effects, PositionHeard{Position: position, From: p.member})
	}

	if b.Epoch > s.epoch {
		effects = append(effects, EpochHeard{Epoch: b.Epoch})
	}

	return effects
}

func (s *State) loadChanged(now time.Time, e LoadChanged) []Effect {
	kind := classifyChange(s.baseline, e.Report)
	readMore := e.Version != s.version || e.Read.After(s.read)
	returned := e.Epoch > s.epoch && s.epoch != 0
	s.report, s.version, s.epoch, s.read = e.Report, e.Version, e.Epoch, e.Read

	if kind > requestCountChange {
		s.baseline = e.Report
	}

	switch {
	case returned:
		return append(s.notifyWatchers(now, urgentChange), s.notifyWatched(now)...)
	case readMore:
		return append(s.notifyWatchers(now, loadChange), s.notifyWatched(now)...)
	default:
		return s.notifyWatchers(now, kind)
	}
}

// notifyWatched sends a beat to each watched member that does not get one as a watcher.
func (s *State) notifyWatched(now time.Time) []Effect {
	var effects []Effect

	for _, p := range s.order {
		if p.watched && !now.Before(p.watchesUntil) {
			effects = append(effects, s.sendTo(now, p, false))
		}
	}

	return effects
}

// change classifies what has changed since the last beat to a watcher, in ascending order of importance.
type change uint8

const (
	noChange change = iota
	// requestCountChange is a changed number of requests at the server.
	requestCountChange
	// loadChange is another change of the load, or that more of the configuration's topic was read. Like
	// requestCountChange, it is left to the next idle beat if the budget is spent.
	loadChange
	// urgentChange is sent regardless of the budget: without it, others would send requests to a daemon that does not
	// accept them.
	urgentChange
)

// classifyChange returns the kind of change between two reports.
func classifyChange(before, after load.Report) change {
	switch {
	case before.Open != after.Open:
		return urgentChange
	case after.CapacityDiffers(before):
		return loadChange
	default:
		return requestCountChange
	}
}

// notifyWatchers records a change for each watcher and sends the beats that are due.
func (s *State) notifyWatchers(now time.Time, changed change) []Effect {
	var effects []Effect

	for _, p := range s.order {
		if !now.Before(p.watchesUntil) {
			continue
		}

		p.pending = max(p.pending, changed)
		if p.pending == requestCountChange && !s.requestCountDiffers(p) {
			p.pending = noChange
		}

		if now.Before(s.nextBeatAt(p)) {
			continue
		}

		early := now.Before(p.sentAt.Add(idleBeatInterval))
		if early && p.pending < urgentChange && !s.budget.AllowN(now, s.beatSize(p)) {
			// The next idle beat reports the change.
			p.pending = noChange

			continue
		}

		effects = append(effects, s.sendTo(now, p, false))
	}

	return effects
}

// beatSize returns the size of a beat to a peer in bytes.
func (s *State) beatSize(p *peer) int {
	if s.hasCurrentReference(p) {
		return referenceBeatBytes
	}

	return fullBeatBytes
}

// requestCountDiffers reports whether the number of requests at the server differs by at least requestCountStep from
// the one last sent to a peer.
func (s *State) requestCountDiffers(p *peer) bool {
	step := int(math.Ceil(requestCountStep * float64(max(1, s.report.Slots))))
	diff := s.report.RequestCount() - p.sentRequestCount

	return diff >= step || diff <= -step
}

func (s *State) budgetChanged(now time.Time, e BudgetChanged) {
	limit := rate.Limit(e.Bytes)
	if e.Unlimited {
		limit = rate.Inf
	}

	s.budget.SetLimitAt(now, limit)
	s.budget.SetBurstAt(now, max(fullBeatBytes, int(e.Bytes)))
}

// nextBeatAt returns when the next beat to a watcher is due.
func (s *State) nextBeatAt(p *peer) time.Time {
	switch p.pending {
	case noChange:
		return p.sentAt.Add(idleBeatInterval)
	case requestCountChange:
		return p.sentAt.Add(requestCountBeatInterval)
	default:
		return p.sentAt.Add(changeBeatInterval)
	}
}

func (s *State) used(now time.Time, service string) []Effect {
	if s.usedServices[service] {
		return nil
	}

	s.usedServices[service] = true
	s.chooseWatched(now)

	return s.renewWatches(now)
}

// renewWatches renews the watch of each watched member to which no beat was sent within watchInterval.
func (s *State) renewWatches(now time.Time) []Effect {
	var effects []Effect

	s.renewAt = now.Add(watchInterval)

	for _, p := range s.order {
		if p.watched && now.Sub(p.renewedAt) >= watchInterval {
			effects = append(effects, s.sendTo(now, p, p.heardAt.IsZero()))
		}
	}

	return effects
}

// greet introduces this daemon to a member and asks for a beat in return.
func (s *State) greet(now time.Time, p *peer) Effect {
	p.greetInterval = min(max(minGreetInterval, 2*p.greetInterval), maxGreetInterval)
	p.greetAt = now.Add(p.greetInterval)

	return SendBeat{To: p.member.Peer, Beat: s.useReference(p, s.newBeat(p.watched, true))}
}

// repeatGreetings repeats greetings that were not answered in time.
func (s *State) repeatGreetings(now time.Time) []Effect {
	var effects []Effect

	for _, p := range s.order {
		if !p.greetAt.IsZero() && !now.Before(p.greetAt) {
			effects = append(effects, s.greet(now, p))
		}
	}

	return effects
}

// updateAccused marks watched members without a beat for beatTimeout as accused. It marks accused members as alive once
// their beats arrive again or they are no longer watched. It reports whether a status has changed.
func (s *State) updateAccused(now time.Time) bool {
	changed := false

	for _, p := range s.order {
		silent := p.watched && now.Sub(times.Later(p.heardAt, p.watchedSince)) >= beatTimeout

		switch {
		case silent && p.member.Status == instance.Alive:
			p.member.Status = instance.Accused
		case !silent && p.member.Status == instance.Accused:
			p.member.Status = instance.Alive
		default:
			continue
		}

		changed = true
	}

	return changed
}

func (s *State) tick(now time.Time) []Effect {
	effects := s.writeEntry(now)

	if !now.Before(s.readAt) && !s.readAt.IsZero() {
		effects = append(effects, s.readEntries(now)...)
	}

	if !now.Before(s.renewAt) && len(s.usedServices) > 0 {
		effects = append(effects, s.renewWatches(now)...)
	}

	if s.updateAccused(now) {
		effects = append(effects, s.membersChanged())
	}

	effects = append(effects, s.sendBroadcasts(now)...)
	effects = append(effects, s.repeatGreetings(now)...)

	return append(effects, s.notifyWatchers(now, noChange)...)
}

// Next returns when the next Tick is due; the zero time if none is.
func (s *State) Next() time.Time {
	var next time.Time

	if s.dirty && !s.writing {
		next = times.Next(next, s.writeAt)
	}

	if !s.reading && !s.left {
		next = times.Next(next, s.readAt)
	}

	if len(s.usedServices) > 0 {
		next = times.Next(next, s.renewAt)
	}

	for _, b := range s.broadcasts {
		next = times.Next(next, b.nextSend)
	}

	for _, p := range s.order {
		next = times.Next(next, p.greetAt)

		if p.watched && p.member.Status == instance.Alive {
			next = times.Next(next, times.Later(p.heardAt, p.watchedSince).Add(beatTimeout))
		}

		if p.watchesUntil.After(p.sentAt) {
			if at := s.nextBeatAt(p); at.Before(p.watchesUntil) {
				next = times.Next(next, at)
			}
		}
	}

	return next
}
