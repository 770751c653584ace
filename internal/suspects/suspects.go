// Package suspects decides whether a request may run that was in flight when a backend server crashed.
// It does no I/O and reads no clock.
//
// A crash implicates the fingerprint of each request that was in flight, together with its key if it has
// one. The rules for a fingerprint, counted over the crashes of one expiry period:
//
//  1. Implicated once: it runs once more, alone, and only at the decider, which is the daemon that saw the
//     crash. One decider needs no agreement about members. It waits for SettleTime first, in which the
//     report of a second crash reaches it. The other daemons refuse, or pass the request on to the decider.
//  2. Implicated by two crashes: it is refused until the suspicions expire.
//  3. Completing alone clears the crash that it was suspected for, at all daemons. A clearance that
//     arrives before its report, or twice, has the same effect.
//  4. A suspicion expires ExpiryTime after the crash. Reports carry their age and no time of day, so that
//     clock skew neither shortens nor renews a suspicion.
//
// Bound: a request whose copies do not run at the same time crashes at most 2 servers in an expiry period,
// if reports reach the daemons before they start another copy, and the decider within SettleTime, and
// requests have deadlines below ExpiryTime. A copy
// that was started before its daemon heard of the first crash can add one crash each. A request that
// completes alone between its crashes counts anew.
//
// If the decider is lost or restarts, its suspects are refused until they expire. A daemon that starts
// asks a peer for the reports before it lets requests run. A crash that takes the daemon with it is not
// reported and not counted.
package suspects

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

const (
	// ExpiryTime is how long a suspicion lasts.
	ExpiryTime = 10 * time.Minute
	// SettleTime is the delay of the run alone. Direct reports take milliseconds; reports by exchange
	// between neighbours once a second take about 3 s through a fleet of 610.
	SettleTime = 3 * time.Second
	// barring is the number of crashes after which a fingerprint is refused.
	barring = 2
)

// Source names a crash: the daemon that saw it and a number within its incarnation.
type Source struct {
	Instance    instance.ID
	Incarnation instance.Incarnation
	Number      uint64
}

// String returns a text that is unique for the crash.
func (s Source) String() string { return fmt.Sprintf("%s/%d/%d", s.Instance, s.Incarnation, s.Number) }

// Suspect is a request that was in flight at a crash.
type Suspect struct {
	// Key is empty for a request without an idempotency key.
	Key         string
	Fingerprint request.Fingerprint
}

// Event is something that happened to a backend server or a suspect.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

type (
	// Crashed reports that the local backend server died with requests in flight.
	Crashed struct{ Suspects []Suspect }
	// ReportHeard brings a report of another daemon, directly or by exchange.
	ReportHeard struct{ Report Report }
	// Cleared reports that a request that ran alone was answered.
	Cleared struct{ Fingerprint request.Fingerprint }
	// Returned reports that a request that was to run alone ended as not run.
	Returned struct{ Fingerprint request.Fingerprint }
	// Tick lets time pass.
	Tick struct{}
)

// Report is sent to the other daemons of the service, and to all by exchange.
type Report struct {
	Source   Source
	Suspects []Suspect
	// Age is the time since the crash.
	Age     time.Duration
	Cleared bool
}

func (Crashed) isEvent()     {}
func (ReportHeard) isEvent() {}
func (Cleared) isEvent()     {}
func (Returned) isEvent()    {}
func (Tick) isEvent()        {}

func (Report) isEffect() {}

// Status says whether a request may run.
type Status uint8

const (
	// Free requests are not suspect.
	Free Status = iota
	// Alone requests run while nothing else runs at the server, and only if they are idempotent or
	// Answer.Earlier is false.
	Alone
	// Barred requests are refused.
	Barred
)

// Answer is the result of Check.
type Answer struct {
	Status Status
	// Earlier is set if an earlier delivery of the request was in flight at a crash: the same key, or,
	// without a key, the same fingerprint. It can have run, so a refusal is NotRun only if this is not set.
	// Deliveries that ended otherwise are known to the key's owner.
	Earlier bool
	// Decider is the daemon that may let a barred request run, or empty.
	Decider instance.ID
	// RetryAfter is set for barred requests.
	RetryAfter time.Duration
}

// crash is what is known of one crash for one fingerprint.
type crash struct {
	source  Source
	keys    []string
	at      time.Time // by the local clock
	cleared bool
	granted bool
}

// State is the reducer's state. It is owned by the daemon's event loop.
type State struct {
	self    instance.ID
	run     instance.Incarnation
	number  uint64
	now     time.Time
	crashes map[request.Fingerprint][]crash
}

// Option configures New.
type Option func(*State)

// WithSelf sets the daemon's own identity.
func WithSelf(id instance.ID, incarnation instance.Incarnation) Option {
	return func(s *State) { s.self, s.run = id, incarnation }
}

// New returns a state without suspects.
func New(options ...Option) *State {
	s := &State{crashes: map[request.Fingerprint][]crash{}}
	for _, option := range options {
		option(s)
	}

	return s
}

// Apply changes the state by an event and returns the effects.
func (s *State) Apply(now time.Time, event Event) []Effect {
	s.advance(now)

	switch e := event.(type) {
	case Crashed:
		s.number++
		r := Report{Source: Source{s.self, s.run, s.number}, Suspects: e.Suspects}
		s.hear(r)

		return []Effect{r}
	case ReportHeard:
		s.hear(e.Report)
	case Cleared:
		return s.clear(e.Fingerprint)
	case Returned:
		s.eachGranted(e.Fingerprint, func(c *crash) { c.granted = false })
	case Tick:
		s.expire()
	}

	return nil
}

func (s *State) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

// hear merges a report. Crashes are told apart by their source, so that a report counts once.
func (s *State) hear(r Report) {
	if r.Age >= ExpiryTime {
		return
	}

	for _, suspect := range r.Suspects {
		list := s.crashes[suspect.Fingerprint]

		i := slices.IndexFunc(list, func(c crash) bool { return c.source == r.Source })
		if i < 0 {
			i = len(list)
			list = append(list, crash{source: r.Source, at: s.now.Add(-max(0, r.Age))})
		}

		list[i].cleared = list[i].cleared || r.Cleared
		if !slices.Contains(list[i].keys, suspect.Key) {
			list[i].keys = append(list[i].keys, suspect.Key)
		}

		s.crashes[suspect.Fingerprint] = list
	}
}

func (s *State) eachGranted(f request.Fingerprint, visit func(*crash)) {
	for i := range s.crashes[f] {
		if c := &s.crashes[f][i]; c.granted && !c.cleared {
			visit(c)
		}
	}
}

func (s *State) clear(f request.Fingerprint) []Effect {
	var effects []Effect

	s.eachGranted(f, func(c *crash) {
		c.cleared = true
		effects = append(effects, s.report(f, *c))
	})

	return effects
}

func (s *State) report(f request.Fingerprint, c crash) Report {
	r := Report{Source: c.source, Age: s.now.Sub(c.at), Cleared: c.cleared}
	for _, key := range c.keys {
		r.Suspects = append(r.Suspects, Suspect{Key: key, Fingerprint: f})
	}

	return r
}

// Reports returns all present reports for the exchange with neighbours, in a fixed order.
func (s *State) Reports(now time.Time) []Report {
	s.advance(now)
	s.expire()

	var reports []Report

	for f, list := range s.crashes {
		for _, c := range list {
			reports = append(reports, s.report(f, c))
		}
	}

	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Source.String(), b.Source.String()),
			cmp.Compare(a.Suspects[0].Fingerprint, b.Suspects[0].Fingerprint))
	})

	return reports
}

func (s *State) expire() {
	for f, list := range s.crashes {
		list = slices.DeleteFunc(list, s.expired)
		if len(list) == 0 {
			delete(s.crashes, f)
		} else {
			s.crashes[f] = list
		}
	}
}

func (s *State) expired(c crash) bool { return s.now.Sub(c.at) >= ExpiryTime }

// Check says whether a request may run now. The answer Alone is given once for a crash: the caller of Check
// then runs the request, and reports Cleared, Returned or Crashed.
func (s *State) Check(now time.Time, key string, f request.Fingerprint) Answer {
	s.advance(now)

	var (
		answer Answer
		open   *crash
	)

	count := 0

	for i := range s.crashes[f] {
		c := &s.crashes[f][i]
		if s.expired(*c) {
			continue
		}

		answer.Earlier = answer.Earlier || slices.Contains(c.keys, key)
		if !c.cleared {
			count, open = count+1, c
		}

		if left := ExpiryTime - s.now.Sub(c.at); !c.cleared && left > answer.RetryAfter {
			answer.RetryAfter = left
		}
	}

	switch {
	case count == 0:
		answer.RetryAfter = 0
	case count >= barring || open.granted:
		answer.Status = Barred
	case open.source.Instance != s.self || open.source.Incarnation != s.run:
		answer.Status, answer.Decider = Barred, open.source.Instance
		answer.RetryAfter = min(answer.RetryAfter, SettleTime)
	case s.now.Sub(open.at) < SettleTime:
		answer.Status, answer.Decider = Barred, s.self
		answer.RetryAfter = SettleTime - s.now.Sub(open.at)
	default:
		open.granted = true
		answer.Status = Alone
	}

	return answer
}

// Dump is the state as plain values.
type Dump struct{ Reports []Report }

// Dump returns the state for operators.
func (s *State) Dump() Dump { return Dump{Reports: s.Reports(s.now)} }
