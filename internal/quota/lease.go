package quota

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

const (
	// leaseTime is how long a lease is valid after the pool has sent the stamp that the lease repeats. It is longer than
	// four reports, so that a pool can lend for loanTime what is leased to it.
	leaseTime = 3000 * time.Millisecond
	// leaseMargin is how much longer a daemon regards its share as leased than the pool does.
	leaseMargin = 20 * time.Millisecond
	// contactTime is how long a daemon that has started waits for the other daemons of its failure domain. One that does
	// not answer by then is most likely down; if it is only cut off, it may use the share for the rest of the lease, for the
	// requests that it receives itself. Waiting for the whole leaseTime would refuse all requests of limited tenants after
	// many daemons were killed.
	contactTime = time.Second
	// reportInterval is the time between two reports to the pool.
	reportInterval = 500 * time.Millisecond
	// reportTimeout is the time after which a report without a reply is repeated, maxReports how often it is sent.
	reportTimeout = 60 * time.Millisecond
	maxReports    = 3
	// releaseInterval is the time between two messages that ask for the share back.
	releaseInterval = 250 * time.Millisecond
	// probeInterval is the time between two reports to a daemon that has not answered before.
	probeInterval = 2 * time.Second
)

// lease is the daemon's choice of a pool and the lease of its share.
type lease struct {
	// pool is the daemon whose tokens are used.
	pool instance.Member
	// holder is the daemon to which the share was last leased; zero if to none. heldUntil is when that lease has certainly
	// ended, unless the holder is this daemon.
	holder    instance.Member
	heldUntil time.Time
	// releasing is set while the share is asked back from the holder, releasedAt is when it was last asked, and
	// releaseSequence the number of the first message that did.
	releasing       bool
	releasedAt      time.Time
	releaseSequence uint64
	// echo is the newest stamp of the pool, and echoAt when it arrived; zero if there is none.
	echo   uint64
	echoAt time.Time
	// sentAt is when the last report was sent, unanswered the number of reports without a reply.
	sentAt     time.Time
	unanswered int
	// silent holds the members of the failure domain that do not answer, with the time of the next probe.
	silent map[instance.ID]time.Time
	// failures is the number of pools in a row that did not answer.
	failures int
}

// sameRun reports whether two records belong to the same run of a daemon.
func sameRun(a, b instance.Member) bool { return a.ID == b.ID && a.Incarnation == b.Incarnation }

// choosePool returns the usable member of the failure domain with the lowest ID that is not silent.
func (s *State) choosePool() instance.Member {
	for _, member := range s.neighbours {
		if _, silent := s.lease.silent[member.ID]; !silent && member.Usable() {
			return member
		}
	}

	return s.self
}

// stepLease chooses the pool and leases the share to it, or keeps it if this daemon is the pool.
func (s *State) stepLease(now time.Time, out *effects) {
	l := &s.lease

	if chosen := s.choosePool(); !sameRun(chosen, l.pool) {
		s.changePool(now, chosen, out)
	}

	s.releaseShare(now, out)
	s.probe(now, out)

	if l.pool.ID == s.self.ID {
		s.holdOwnShare(now)

		return
	}

	switch due := now.Sub(l.sentAt); {
	case l.unanswered >= maxReports && due >= reportTimeout:
		s.poolSilent(now, out)
	case l.sentAt.IsZero(), due >= reportInterval, l.unanswered > 0 && due >= reportTimeout:
		l.sentAt = now
		l.unanswered++
		s.send(l.pool, s.report(now), out)
	}
}

// nextLease returns when the lease needs attention.
func (s *State) nextLease() time.Time {
	l := &s.lease

	var next time.Time

	if l.releasing {
		next = times.Earlier(l.releasedAt.Add(releaseInterval), l.heldUntil)
	}

	for _, at := range l.silent {
		next = times.Next(next, at)
	}

	if l.pool.ID == s.self.ID {
		if !sameRun(l.holder, s.self) {
			next = times.Next(next, s.shareFreeAt())
		}

		return next
	}

	if l.unanswered > 0 {
		return times.Next(next, l.sentAt.Add(reportTimeout))
	}

	return times.Next(next, l.sentAt.Add(reportInterval))
}

// changePool makes the daemon use another pool. The share is leased to it once it is free.
func (s *State) changePool(now time.Time, chosen instance.Member, out *effects) {
	l := &s.lease

	switch {
	case sameRun(l.holder, s.self):
		l.holder, l.heldUntil = instance.Member{}, s.releaseOwnShare(now)
	case l.holder.ID != "" && l.holder.ID != chosen.ID && !l.releasing:
		l.releasing, l.releasedAt, l.releaseSequence = true, time.Time{}, s.sequence+1
	}

	if l.pool.ID != "" {
		out.add(PoolChosen{Pool: chosen.ID})
	}

	l.pool, l.echo, l.sentAt, l.unanswered = chosen, 0, time.Time{}, 0
}

// shareFreeAt returns when the share may be leased to the present pool: after the last lease to another daemon, or to
// an earlier run of it, has ended. After the start of this daemon, its earlier run may have leased the share.
func (s *State) shareFreeAt() time.Time {
	if s.contacted {
		return s.lease.heldUntil
	}

	return times.Later(s.lease.heldUntil, s.started.Add(contactTime))
}

// mayLease reports whether the share may be leased to the present pool.
func (s *State) mayLease(now time.Time) bool {
	return sameRun(s.lease.holder, s.lease.pool) || !now.Before(s.shareFreeAt())
}

// report returns a report to the pool that leases the share to it if that is possible.
func (s *State) report(now time.Time) Message {
	l := &s.lease
	m := Message{Kind: Report, Sequence: s.nextSequence(), Echo: l.echo}

	if l.echo != 0 && s.mayLease(now) && now.Sub(l.echoAt) < leaseTime {
		m.Lease = true
		l.holder, l.releasing = l.pool, false
		l.heldUntil = times.Later(l.heldUntil, l.echoAt.Add(leaseTime+leaseMargin))
	}

	return m
}

// handleReply handles the answer of a pool to a report.
func (s *State) handleReply(now time.Time, from instance.Member, m Message, out *effects) {
	l := &s.lease

	if m.Release && l.releasing && sameRun(l.holder, from) && m.Sequence >= l.releaseSequence {
		l.holder, l.releasing, l.heldUntil, l.sentAt = instance.Member{}, false, now, time.Time{}
	}

	if !sameRun(from, l.pool) {
		return
	}

	if m.Lease && l.holder.ID == from.ID && !sameRun(l.holder, from) {
		// The earlier run of the pool has ended, and all daemons know it.
		l.holder, l.releasing, l.heldUntil = instance.Member{}, false, now
	}

	l.failures, l.unanswered = 0, 0

	if m.Stamp > l.echo {
		l.echo, l.echoAt = m.Stamp, now
	}

	for _, item := range m.Items {
		if t := s.byID[item.Tenant]; t != nil {
			s.handleAnswer(now, t, item, out)
		}
	}

	if !sameRun(l.holder, l.pool) && s.mayLease(now) {
		l.sentAt = now
		l.unanswered++
		s.send(l.pool, s.report(now), out)
	}
}

// releaseShare asks the holder to give the share back before the lease ends.
func (s *State) releaseShare(now time.Time, out *effects) {
	l := &s.lease

	switch {
	case !l.releasing:
	case !now.Before(l.heldUntil):
		l.holder, l.releasing, l.sentAt = instance.Member{}, false, time.Time{}
	case now.Sub(l.releasedAt) >= releaseInterval:
		l.releasedAt = now
		s.send(l.holder, Message{Kind: Report, Sequence: s.nextSequence(), Release: true}, out)
	}
}

// holdOwnShare leases the share to this daemon itself.
func (s *State) holdOwnShare(now time.Time) {
	if s.pool.holds(s.self.ID) || !s.mayLease(now) {
		return
	}

	s.lease.holder, s.lease.releasing = s.self, false
	s.refillAll(now)
	s.pool.put(heldLease{id: s.self.ID, run: s.run, own: true})
}

// poolSilent makes the daemon use the next pool. If that does not answer either, all members of the failure domain are
// asked at once, and those that answer are candidates again.
func (s *State) poolSilent(now time.Time, out *effects) {
	l := &s.lease
	if l.pool.ID == s.self.ID {
		return
	}

	l.failures++
	l.silent[l.pool.ID] = now.Add(probeInterval)
	s.counts.PoolsLost++

	if l.failures > 1 {
		for _, member := range s.neighbours {
			if member.ID == s.self.ID || !member.Usable() {
				continue
			}

			l.silent[member.ID] = now.Add(probeInterval)
			s.send(member, Message{Kind: Report, Sequence: s.nextSequence()}, out)
		}
	}

	s.changePool(now, s.choosePool(), out)
}

// probe asks the silent members that would be chosen again.
func (s *State) probe(now time.Time, out *effects) {
	if len(s.lease.silent) == 0 {
		return
	}

	for _, member := range s.neighbours {
		at, silent := s.lease.silent[member.ID]
		if !silent || now.Before(at) {
			continue
		}

		s.lease.silent[member.ID] = now.Add(probeInterval)

		if member.Usable() && (member.ID < s.lease.pool.ID || s.lease.pool.ID == s.self.ID) {
			s.send(member, Message{Kind: Report, Sequence: s.nextSequence()}, out)
		}
	}
}
