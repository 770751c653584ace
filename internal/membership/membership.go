// Package membership tracks the daemons of the fleet. It does no I/O and reads no clock.
//
// Each daemon stores one entry in a topic of the platform's store. At startup it reads all entries (its own one holds
// the state of its previous run), greets every daemon that it finds, and writes its own entry. On its first start it
// reads all entries again after the write, so that of two daemons that start at the same time at least one finds the
// other. State that changes quickly (liveness, load and configuration version) is sent directly between daemons in
// datagrams called beats, and only to the daemons that watch the sender.
package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

const (
	// watchInterval is the time between two beats that renew a watch.
	watchInterval = time.Second
	// watchLifetime is how long a watch lasts after the beat that requested it. It survives the loss of two renewals.
	watchLifetime = 3500 * time.Millisecond
	// maxWatched is the maximum number of members that one daemon watches, maxWatchedPerService the maximum for each
	// service. They keep the traffic of a daemon independent of the size of the fleet. A request rarely needs more
	// servers to choose from.
	maxWatched           = 24
	maxWatchedPerService = 12
	// enoughInDomain is the number of servers of a service in the own failure domain from which no others are watched.
	enoughInDomain = 6
	// idleBeatInterval is the time between beats to a watcher while nothing changes.
	idleBeatInterval = 600 * time.Millisecond
	// changeBeatInterval is the minimum time between beats that report a change to a watcher, and
	// requestCountBeatInterval the minimum if only the number of requests at the server has changed.
	changeBeatInterval       = 15 * time.Millisecond
	requestCountBeatInterval = 150 * time.Millisecond
	// requestCountStep is the smallest change of the number of requests that is reported to a watcher before the next
	// idle beat, as a fraction of the slots.
	requestCountStep = 0.3
	// beatTimeout is the time without a beat after which a watched member becomes accused.
	beatTimeout = 2 * time.Second
	// minReadInterval and maxReadInterval bound the time between two reads of all entries, which doubles each time.
	// Lost greetings are repeated, so a later read only has to make up for an earlier one that returned old data.
	minReadInterval = 2 * time.Minute
	maxReadInterval = 16 * time.Minute
	// unlistedRetention is how long a member without an entry in the store is kept after its last beat.
	unlistedRetention = 30 * time.Second
	// minGreetInterval and maxGreetInterval bound the time after which an unanswered greeting is repeated, which
	// doubles each time.
	minGreetInterval = 700 * time.Millisecond
	maxGreetInterval = 30 * time.Second
	// firstWriteDelay is the delay before the daemon first writes its own entry. announcedWriteDelay replaces it if the
	// server announces itself: a server that starts together with its daemon takes some seconds, and an entry written
	// without it would have to be written again.
	firstWriteDelay     = 400 * time.Millisecond
	announcedWriteDelay = 4 * time.Second
	// rewriteDelay is the mean delay, for each member, before a daemon writes its entry again after the store has come back
	// from an older copy. The store limits the calls of all daemons together.
	rewriteDelay = 10 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call to the store, before jitter is applied.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// State is what one daemon knows of the fleet. It is not safe for concurrent use.
type State struct {
	self   Entry
	report load.Report
	// baseline is the report at the last change other than one of the number of requests. Later reports are compared
	// with it.
	baseline load.Report
	// version is the version of the configuration in force at this daemon.
	version uint64
	// epoch is the newest epoch that the store has stated to this daemon; zero if it states none.
	epoch store.Epoch
	// read is the position up to which this daemon has read the topic of the configuration.
	read   store.Position
	random *rand.Rand
	peers  map[instance.ID]*peer
	// order lists the peers by ID, so that effects do not depend on map order.
	order            []*peer
	peersByReference referenceIndex
	// introductionRequests holds the time at which the daemon at each address was last asked to introduce itself.
	introductionRequests map[netip.AddrPort]time.Time
	// usedServices are the services to which this daemon sends requests.
	usedServices map[string]bool

	broadcasts []*broadcast
	// budget limits the bytes per second of beats that report a change of the load.
	budget *rate.Limiter

	// ready is set once Ready was emitted, left once the daemon is leaving.
	ready bool
	left  bool
	// writing is set while a WriteEntry is in progress.
	writing bool
	// dirty is set while the daemon's own entry differs from the stored one, stored once this run has written an entry.
	dirty  bool
	stored bool
	// storedAt is when the last write ended.
	storedAt time.Time
	// returnedAt is when the store came back from an older copy; zero if it never did. rereadDue is set until the entries
	// are read again after that.
	returnedAt time.Time
	rereadDue  bool
	// listed is set once a read of the entries has found the daemon's own one.
	listed bool
	// hadEntry is set if the store had an entry of an earlier run at the same address.
	hadEntry bool
	writeAt  time.Time
	// reading is set while a ReadEntries is in progress.
	reading      bool
	readAt       time.Time
	readInterval time.Duration
	retryDelay   time.Duration
	// renewAt is when the watches are renewed next.
	renewAt time.Time
}

// peer is another daemon.
type peer struct {
	member instance.Member
	// heardAt is when its last beat arrived; zero if none did.
	heardAt time.Time
	// watched is set while this daemon watches the peer. watchedSince is when that began or the process last resumed.
	watched      bool
	watchedSince time.Time
	// watchesUntil is when the peer's watch of this daemon expires.
	watchesUntil time.Time
	// sentAt is when the last beat was sent to the peer, pending the most important change since then.
	sentAt  time.Time
	pending change
	// sentRequestCount is the number of requests at this daemon's server as stated in that beat.
	sentRequestCount int
	// renewedAt is when the watch of this peer was last renewed.
	renewedAt time.Time
	// greetAt is when the greeting is repeated; zero if the peer has answered or was never greeted. greetInterval
	// doubles with each repetition.
	greetAt       time.Time
	greetInterval time.Duration
	// understandsReferences is set if the peer's beats say that it resolves references.
	understandsReferences bool
	// sentReference is the reference to the member record of this daemon that was last sent to the peer in full; zero
	// if none was.
	sentReference Reference
}

// New returns the state of a daemon that does not know any other daemon yet. The seed determines the jitter of delays.
func New(self instance.Member, seed uint64) *State {
	return &State{
		self: Entry{Member: self}, random: rand.New(rand.NewPCG(seed, 1)),
		peers: make(map[instance.ID]*peer), usedServices: make(map[string]bool),
		retryDelay: minRetryDelay, readInterval: minReadInterval,
		peersByReference: make(referenceIndex), introductionRequests: make(map[netip.AddrPort]time.Time),
		budget: rate.NewLimiter(0, 0),
	}
}

// Apply updates the state for one event and returns the resulting effects in order.
func (s *State) Apply(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Started:
		return s.start(now, e)
	case EntriesRead:
		return s.entriesRead(now, e)
	case EntryWritten:
		return s.entryWritten(now, e)
	case BeatHeard:
		return s.beatHeard(now, e)
	case SelfChanged:
		return s.selfChanged(now, e.Entry)
	case LoadChanged:
		return s.loadChanged(now, e)
	case BudgetChanged:
		s.budgetChanged(now, e)

		return nil
	case Used:
		return s.used(now, e.Service)
	case Spread:
		return s.startBroadcast(now, e.Message)
	case StoreReturned:
		s.storeReturned(now)

		return nil
	case Resumed:
		return s.resumed(now)
	case Left:
		return s.leave(now)
	case Tick:
		return s.tick(now)
	default:
		return nil
	}
}

// start reads the entries and greets the seeds.
func (s *State) start(now time.Time, e Started) []Effect {
	s.writeAt = now.Add(firstWriteDelay)
	if e.Announced {
		s.writeAt = now.Add(announcedWriteDelay)
	}

	effects := append(s.readEntries(now), s.membersChanged())

	for _, seed := range e.Seeds {
		if seed != s.self.Member.Peer {
			effects = append(effects, SendBeat{To: seed, Beat: s.newBeat(false, true)})
		}
	}

	return effects
}

// writeEntry stores the daemon's own entry if it has changed and is due, unless a write is in progress.
func (s *State) writeEntry(now time.Time) []Effect {
	if s.writing || !s.dirty || now.Before(s.writeAt) {
		return nil
	}

	s.writing, s.dirty = true, false

	return []Effect{WriteEntry{Entry: s.self}}
}

// readEntries reads all entries, unless a read is in progress or the daemon is leaving, and schedules the next read.
func (s *State) readEntries(now time.Time) []Effect {
	if s.reading || s.left {
		return nil
	}

	s.reading = true
	s.readAt = now.Add(s.readInterval + time.Duration(s.random.Int64N(int64(s.readInterval/3))))
	s.readInterval = min(2*s.readInterval, maxReadInterval)

	return []Effect{ReadEntries{}}
}

func (s *State) entryWritten(now time.Time, e EntryWritten) []Effect {
	s.writing = false

	if e.Failed {
		s.dirty = true
		s.writeAt = now.Add(s.nextRetryDelay())

		return nil
	}

	s.retryDelay = minRetryDelay
	effects := s.writeEntry(now)

	// Daemons that start for the first time at the same time find each other by reading again after the write. If
	// there was an entry of an earlier run, the daemons that read it greet this one at the same address.
	if !s.stored && !s.hadEntry || s.rereadDue && !s.writing {
		effects = append(effects, s.readEntries(now)...)
		s.rereadDue = false
	}

	s.stored, s.storedAt = true, now

	return effects
}

// storeReturned schedules another write of the daemon's own entry, and a read of all entries after it, as on a first
// start. The store may have lost the entry, and daemons that have started meanwhile may not have found this one.
func (s *State) storeReturned(now time.Time) {
	s.returnedAt = now

	if s.left || !s.stored && !s.writing {
		// The entry is written for the first time, or no more.
		return
	}

	spread := 2 * int64(rewriteDelay) * int64(s.MemberCount())
	s.dirty, s.rereadDue = true, true
	s.writeAt = now.Add(time.Duration(s.random.Int64N(spread)))
}

// nextRetryDelay returns an exponentially growing delay with jitter.
func (s *State) nextRetryDelay() time.Duration {
	delay := s.retryDelay/2 + time.Duration(s.random.Int64N(int64(s.retryDelay)))
	s.retryDelay = min(2*s.retryDelay, maxRetryDelay)

	return delay
}

// entriesRead updates the members from the entries and greets those that are new or have changed.
func (s *State) entriesRead(now time.Time, e EntriesRead) []Effect {
	s.reading = false

	if e.Failed {
		s.readAt = now.Add(s.nextRetryDelay())

		return s.becomeReady(Ready{})
	}

	var ready Ready

	changed, ownListed := false, false
	listed := make(map[instance.ID]bool, len(e.Entries))
	effects := make([]Effect, 0, len(e.Entries))

	for _, entry := range e.Entries {
		if entry.Member.ID == s.self.Member.ID {
			ready.Own, s.hadEntry = entry, entry.Member.Peer == s.self.Member.Peer
			ownListed, s.listed = true, true

			continue
		}

		if entry.Member.Service == s.self.Member.Service {
			ready.Service = append(ready.Service, entry)
		}

		listed[entry.Member.ID] = true

		if s.updateMember(entry.Member) {
			changed = true

			if p := s.peers[entry.Member.ID]; p != nil {
				effects = append(effects, s.greet(now, p))
			}
		}
	}

	changed = s.dropUnlisted(now, listed) || changed

	if changed {
		s.chooseWatched(now)

		effects = append(effects, s.membersChanged())
	}

	effects = append(s.becomeReady(ready), effects...)

	if s.stored && !ownListed && !s.writing && now.Sub(s.storedAt) > unlistedRetention {
		// Another writer has deleted the entry or replaced it by one that cannot be read.
		s.dirty = true
		effects = append(effects, s.writeEntry(now)...)
	}

	return effects
}

// becomeReady emits Ready if that has not happened yet, and allows the first write of the daemon's own
// entry.
func (s *State) becomeReady(ready Ready) []Effect {
	if s.ready {
		return nil
	}

	s.ready, s.dirty = true, true

	return []Effect{ready}
}

// membersChanged returns the effect that reports all members.
func (s *State) membersChanged() Effect { return MembersChanged{Members: s.List()} }

func (s *State) selfChanged(now time.Time, entry Entry) []Effect {
	entry.Member.Counter = s.self.Member.Counter + 1
	s.dirty = s.dirty || s.ready && !entry.equalInStore(s.self)
	s.self = entry

	// The first write is delayed only until the server is known.
	if entry.Server != "" && !s.stored {
		s.writeAt = now
	}

	effects := s.writeEntry(now)

	effects = append(effects, s.membersChanged())

	return append(effects, s.notifyWatchers(now, urgentChange)...)
}

// resumed restarts the beat timeout of all watched members, renews the watches and reads the entries, because beats may
// have been lost while the process was suspended.
func (s *State) resumed(now time.Time) []Effect {
	for _, p := range s.order {
		p.watchedSince = now
	}

	s.renewAt = now

	return append(s.readEntries(now), s.tick(now)...)
}

// leave sends the status Left to the members that watch this daemon or are watched by it. The entry stays in the store,
// because the next run of this daemon reads from it which server it has. If no run follows, the other daemons drop this
// member after some time.
func (s *State) leave(now time.Time) []Effect {
	s.left, s.dirty = true, false
	s.self.Member = s.self.Member.WithStatus(instance.Left, s.self.Member.Counter+1)

	var effects []Effect

	for _, p := range s.order {
		if p.watched || now.Before(p.watchesUntil) {
			effects = append(effects, s.sendTo(now, p, false))
		}
	}

	return effects
}

// MemberCount returns the number of members, including this daemon.
func (s *State) MemberCount() int { return len(s.order) + 1 }

// List returns all members, including this daemon, sorted by ID.
func (s *State) List() []instance.Member {
	all := make([]instance.Member, 0, len(s.order)+1)
	all = append(all, s.self.Member)

	for _, p := range s.order {
		all = append(all, p.member)
	}

	slices.SortFunc(all, func(a, b instance.Member) int { return cmp.Compare(a.ID, b.ID) })

	return all
}

// Member returns the member with an ID, which may be this daemon. It returns false if the ID is unknown.
func (s *State) Member(id instance.ID) (instance.Member, bool) {
	if id == s.self.Member.ID {
		return s.self.Member, true
	}

	if p := s.peers[id]; p != nil {
		return p.member, true
	}

	return instance.Member{}, false
}

// Self returns the daemon's own entry.
func (s *State) Self() Entry { return s.self }

// Watched reports whether another daemon currently watches this one.
func (s *State) Watched(now time.Time) bool {
	return slices.ContainsFunc(s.order, func(p *peer) bool { return now.Before(p.watchesUntil) })
}
