// Package membership knows the daemons of the fleet. It does no I/O and reads no clock.
//
// Each daemon keeps an entry of its own in a topic of the platform's store. It reads the entries, of which its own
// tells what an earlier run knew, writes its own, reads the others' once more, and greets every daemon that it found.
// Of two daemons that start at the same time, at least one therefore finds the other. What changes quickly (whether a
// daemon lives, its load, its version of the configuration) goes directly from daemon to daemon in beats, and only to
// those that watch it.
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
)

const (
	// watchInterval is the time between two beats that renew a watch.
	watchInterval = time.Second
	// watchTime is how long a watch lasts after a beat that asked for it; two such beats may get lost.
	watchTime = 3500 * time.Millisecond
	// maxWatched bounds the members that one daemon watches, and maxPerService those of one service, so that
	// the traffic of a daemon does not grow with the fleet. A request rarely needs more servers to choose from.
	maxWatched    = 24
	maxPerService = 12
	// idleInterval is the time between beats to a watcher if nothing changes.
	idleInterval = 600 * time.Millisecond
	// changeInterval is the least time between beats to a watcher that tell a change, busyInterval if only the
	// number of requests at the server has changed.
	changeInterval = 15 * time.Millisecond
	busyInterval   = 150 * time.Millisecond
	// busyStep is the share of the slots by which the number of requests has to differ from what a watcher was
	// told.
	busyStep = 0.3
	// silence is the time without a beat after which a watched member counts as accused.
	silence = 2 * time.Second
	// rereadMin and rereadMax bound the time between two reads of all entries, which doubles each time. Greetings that get
	// lost are repeated, so that only a read that was out of date is made up for.
	rereadMin = 2 * time.Minute
	rereadMax = 16 * time.Minute
	// forgetTime is how long a member without an entry is kept after its last beat.
	forgetTime = 30 * time.Second
	// greetMin and greetMax bound the time after which a greeting without an answer is repeated; it doubles each time.
	greetMin = 700 * time.Millisecond
	greetMax = 30 * time.Second
	// firstWrite is the pause before the first write of the own entry, announceTime the one where the server announces
	// itself: an entry without the server would have to be written again, and a server that starts together with its
	// daemon takes some seconds.
	firstWrite   = 400 * time.Millisecond
	announceTime = 4 * time.Second
	// retryMin and retryMax bound the pause after a failed call to the store.
	retryMin = 150 * time.Millisecond
	retryMax = 2 * time.Second
)

// State is what one daemon knows of the others. It is not safe for concurrent use.
type State struct {
	self   Entry
	report load.Report
	// stated is the report with the last change that was not just one of the number of requests.
	stated  load.Report
	version uint64
	random  *rand.Rand
	peers   map[instance.ID]*peer
	// order lists the peers by ID, so that effects do not depend on map order.
	order []*peer
	index index
	// asked is when an address was asked who is there.
	asked map[netip.AddrPort]time.Time
	// services are those that this daemon sends requests of.
	services map[string]bool

	spreading []*spreading
	// budget limits the beats that tell a change of the load, in bytes.
	budget *rate.Limiter

	ready   bool
	left    bool
	writing bool
	// dirty is set while the store does not hold the own entry, stored once it has held one of this run.
	dirty  bool
	stored bool
	// hadEntry is set if the store has had an entry of an earlier run.
	hadEntry bool
	writeAt  time.Time
	reading  bool
	readAt   time.Time
	reread   time.Duration
	retry    time.Duration
	watchAt  time.Time
}

// peer is another daemon.
type peer struct {
	member instance.Member
	// heard is when its last beat arrived; zero if none did.
	heard time.Time
	// watched is set while this daemon watches it, since the given time.
	watched bool
	since   time.Time
	// watcher is until when it watches this daemon.
	watcher time.Time
	// told is when it was last sent a beat, and pending what it was not told since.
	told    time.Time
	pending news
	// toldBusy is the number of requests at the own server that it was told.
	toldBusy int
	// asked is when it was last asked for its beats.
	asked time.Time
	// greetAt is when it is greeted again, after a pause that grows; zero if it has answered or was never greeted.
	greetAt    time.Time
	greetPause time.Duration
	// references is set if it understands them, introduced is the reference to what it was told of this daemon last.
	references bool
	introduced Reference
}

// New returns a state that knows only the daemon itself.
func New(self instance.Member, seed uint64) *State {
	return &State{
		self: Entry{Member: self}, random: rand.New(rand.NewPCG(seed, 1)),
		peers: make(map[instance.ID]*peer), services: make(map[string]bool), retry: retryMin, reread: rereadMin,
		index: make(index), asked: make(map[netip.AddrPort]time.Time),
		budget: rate.NewLimiter(0, 0),
	}
}

// Apply handles one event.
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
		return s.spread(now, e.Message)
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

func (s *State) start(now time.Time, e Started) []Effect {
	s.writeAt = now.Add(firstWrite)
	if e.Announced {
		s.writeAt = now.Add(announceTime)
	}

	effects := append(s.read(now), s.members())

	for _, seed := range e.Seeds {
		if seed != s.self.Member.Peer {
			effects = append(effects, SendBeat{To: seed, Beat: s.beat(false, true)})
		}
	}

	return effects
}

// write stores the own entry unless a call is in progress.
func (s *State) write(now time.Time) []Effect {
	if s.writing || !s.dirty || now.Before(s.writeAt) {
		return nil
	}

	s.writing, s.dirty = true, false

	return []Effect{WriteEntry{Entry: s.self}}
}

func (s *State) read(now time.Time) []Effect {
	if s.reading || s.left {
		return nil
	}

	s.reading = true
	s.readAt = now.Add(s.reread + time.Duration(s.random.Int64N(int64(s.reread/3))))
	s.reread = min(2*s.reread, rereadMax)

	return []Effect{ReadEntries{}}
}

func (s *State) entryWritten(now time.Time, e EntryWritten) []Effect {
	s.writing = false

	if e.Failed {
		s.dirty = true
		s.writeAt = now.Add(s.pause())

		return nil
	}

	s.retry = retryMin
	effects := s.write(now)

	// Daemons that start for the first time at the same time find each other by reading once more. Those that read
	// an entry of an earlier run greet this daemon at the same address.
	if !s.stored && !s.hadEntry {
		effects = append(effects, s.read(now)...)
	}

	s.stored = true

	return effects
}

// pause returns a growing time with jitter.
func (s *State) pause() time.Duration {
	period := s.retry/2 + time.Duration(s.random.Int64N(int64(s.retry)))
	s.retry = min(2*s.retry, retryMax)

	return period
}

func (s *State) entriesRead(now time.Time, e EntriesRead) []Effect {
	s.reading = false

	if e.Failed {
		s.readAt = now.Add(s.pause())

		return s.becomeReady(Ready{})
	}

	var ready Ready

	changed := false
	listed := make(map[instance.ID]bool, len(e.Entries))
	effects := make([]Effect, 0, len(e.Entries))

	for _, entry := range e.Entries {
		if entry.Member.ID == s.self.Member.ID {
			ready.Own, s.hadEntry = entry, entry.Member.Peer == s.self.Member.Peer

			continue
		}

		if entry.Member.Service == s.self.Member.Service {
			ready.Service = append(ready.Service, entry)
		}

		listed[entry.Member.ID] = true

		if s.learn(entry.Member) {
			changed = true

			if p := s.peers[entry.Member.ID]; p != nil {
				effects = append(effects, s.greet(now, p))
			}
		}
	}

	changed = s.dropUnlisted(now, listed) || changed

	if changed {
		s.watch(now)

		effects = append(effects, s.members())
	}

	return append(s.becomeReady(ready), effects...)
}

func (s *State) becomeReady(ready Ready) []Effect {
	if s.ready {
		return nil
	}

	s.ready, s.dirty = true, true

	return []Effect{ready}
}

// members tells all members with the status that follows from their beats.
func (s *State) members() Effect { return MembersChanged{Members: s.List()} }

func (s *State) selfChanged(now time.Time, entry Entry) []Effect {
	entry.Member.Counter = s.self.Member.Counter + 1
	s.dirty = s.dirty || s.ready && !entry.storedAs(s.self)
	s.self = entry

	// The first write waits for nothing else than this.
	if entry.Server != "" && !s.stored {
		s.writeAt = now
	}

	effects := s.write(now)

	effects = append(effects, s.members())

	return append(effects, s.tell(now, memberNews)...)
}

// resumed treats all that was known of others as old.
func (s *State) resumed(now time.Time) []Effect {
	for _, p := range s.order {
		p.since = now
	}

	s.watchAt = now

	return append(s.read(now), s.tick(now)...)
}

// leave tells the others. The entry stays in the store: the next run of this daemon learns from it which server
// it has, and if there is none, the others drop it after a time.
func (s *State) leave(now time.Time) []Effect {
	s.left, s.dirty = true, false
	s.self.Member = s.self.Member.WithStatus(instance.Left, s.self.Member.Counter+1)

	var effects []Effect

	for _, p := range s.order {
		if p.watched || now.Before(p.watcher) {
			effects = append(effects, s.sendTo(now, p, false))
		}
	}

	return effects
}

// Members returns the number of members, this daemon included.
func (s *State) MemberCount() int { return len(s.order) + 1 }

// List returns all members, sorted by ID.
func (s *State) List() []instance.Member {
	all := make([]instance.Member, 0, len(s.order)+1)
	all = append(all, s.self.Member)

	for _, p := range s.order {
		all = append(all, p.member)
	}

	slices.SortFunc(all, func(a, b instance.Member) int { return cmp.Compare(a.ID, b.ID) })

	return all
}

// Member returns a member by its ID.
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

// Watched reports whether another daemon wants to know the load of this daemon's server.
func (s *State) Watched(now time.Time) bool {
	return slices.ContainsFunc(s.order, func(p *peer) bool { return now.Before(p.watcher) })
}
