package keys_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

var measure = flag.Bool("keys.measure", false, "print the figures of docs/measurements/keys.md")

// Simulated time step and assumed delays of the parts of a fleet around keys.State.
const (
	stepInterval     = 100 * time.Millisecond
	tickInterval     = time.Second
	pollInterval     = 500 * time.Millisecond // between two reads of the log
	appendDelay      = 100 * time.Millisecond
	batchDelay       = 2 * time.Second        // extensions wait this long for others of their failure domain
	crashNoticeDelay = 5 * time.Second        // from a crash to MembersChanged
	drainNoticeDelay = 300 * time.Millisecond // from the start of a drain to MembersChanged
)

// fleet is a simulated fleet with a log.
type fleet struct {
	now     time.Time
	daemons []*node
	log     []keys.Entry
	batches map[string]*batch // by failure domain
	logDown bool
	records int
	bytes   int
	number  uint32
}

// node is a simulated daemon. phase shifts its ticks and reads relative to those of other nodes.
type node struct {
	member instance.Member
	state  *keys.State
	phase  time.Duration
}

// batch collects the records of a failure domain into one, which is appended when it is due.
type batch struct {
	record keys.Record
	due    time.Time
}

func newFleet(owners, services, domains int, grant time.Duration) *fleet {
	f := &fleet{now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), batches: map[string]*batch{}}
	policy := manifest.Keys{Window: 10 * time.Minute, Tolerance: 5 * time.Second, Grant: grant}

	for i := range owners {
		n := &node{phase: time.Duration(i) * 37 * stepInterval % tickInterval, member: instance.Member{
			ID: instance.ID(fmt.Sprintf("i%03d", i)), Incarnation: instance.Incarnation(f.now.UnixNano()),
			Service: fmt.Sprintf("s%03d", i%services), Place: instance.Place{Domain: fmt.Sprint(i % domains)},
		}}
		n.state = keys.New(keys.WithSelf(n.member.ID, n.member.Incarnation, n.member.Service), keys.WithSeed(uint64(i)))
		f.daemons = append(f.daemons, n)
		f.apply(n, keys.PolicyChanged{Keys: policy})
	}

	f.announce()

	return f
}

// announce sends the current members to all daemons.
func (f *fleet) announce() {
	members := map[string][]instance.Member{}
	for _, n := range f.daemons {
		members[n.member.Service] = append(members[n.member.Service], n.member)
	}

	for _, n := range f.daemons {
		f.apply(n, keys.MembersChanged{Service: n.member.Service, Members: members[n.member.Service]})
	}
}

func (f *fleet) apply(n *node, event keys.Event) []keys.Effect {
	if n.member.Status == instance.Dead {
		return nil
	}

	effects := n.state.Apply(f.now, event)
	for _, effect := range effects {
		if a, ok := effect.(keys.AppendGrants); ok {
			f.combine(n.member.Place.Domain, a.Record)
		}
	}

	return effects
}

// combine adds a record to the batch of a failure domain. Claims and sign-offs shorten the delay. The daemon itself
// does not batch: it appends each record at once.
func (f *fleet) combine(domain string, r keys.Record) {
	b, ok := f.batches[domain]
	if !ok {
		b = &batch{due: f.now.Add(batchDelay)}
		f.batches[domain] = b
	}

	b.record.Claims = append(b.record.Claims, r.Claims...)
	b.record.Extensions = append(b.record.Extensions, r.Extensions...)
	b.record.Signoffs = append(b.record.Signoffs, r.Signoffs...)

	if r.Base != nil {
		b.record.Base = r.Base
	}

	if len(r.Claims)+len(r.Signoffs) > 0 && b.due.After(f.now.Add(appendDelay)) {
		b.due = f.now.Add(appendDelay)
	}
}

// run advances the simulation by a time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(stepInterval)

		for domain, b := range f.batches {
			if f.now.Before(b.due) {
				continue
			}

			delete(f.batches, domain)

			if !f.logDown {
				data := keys.EncodeRecord(b.record)
				f.records, f.bytes = f.records+1, f.bytes+len(data)
				f.log = append(f.log, keys.Entry{Offset: uint64(len(f.log)), Record: b.record})
			}
		}

		for _, n := range f.daemons {
			elapsed := time.Duration(f.now.UnixNano()) + n.phase
			if !f.logDown && elapsed%pollInterval < stepInterval {
				from := min(n.state.NextOffset(), uint64(len(f.log)))
				f.apply(n, keys.RecordsRead{Records: f.log[from:], Next: uint64(len(f.log))})
			}

			if elapsed%tickInterval < stepInterval {
				f.apply(n, keys.Tick{})
			}
		}
	}
}

// sendNewKey sends a new key to the daemon that entry considers its owner, and reports whether it was admitted. Keys
// whose owner accept rejects are skipped; nil accepts all.
func (f *fleet) sendNewKey(entry *node, accept func(instance.ID) bool) (instance.ID, bool) {
	for {
		f.number++
		key := newKey(f.now, f.number)
		r := request.Request{ID: request.NewID(), Service: entry.member.Service, Key: key}
		owner, _, ok := entry.state.Owner(r.Service, key)

		if accept != nil && !accept(owner) {
			continue
		}

		i := slices.IndexFunc(f.daemons, func(n *node) bool { return n.member.ID == owner })
		if !ok || i < 0 {
			return owner, false
		}

		for _, effect := range f.apply(f.daemons[i], keys.Arrived{Request: r}) {
			if _, admitted := effect.(keys.Admit); admitted {
				f.apply(f.daemons[i], keys.Finished{ID: r.ID, Verdict: verdict.Answered})

				return owner, true
			}
		}

		return owner, false
	}
}

func newKey(issued time.Time, number uint32) string {
	var id uuid.UUID

	binary.BigEndian.PutUint64(id[:8], uint64(issued.UnixMilli())<<16|0x7000)
	id[8] = 0x80
	binary.BigEndian.PutUint32(id[12:], number)

	return id.String()
}

// TestMeasure prints the figures on which the choice of the grant length is based.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("prints figures; run with -keys.measure")
	}

	for _, grant := range []time.Duration{time.Minute, 10 * time.Minute, 35 * time.Minute} {
		measureAppends(t, grant)
		measureLeave(t, grant, false)
		measureLeave(t, grant, true)

		for _, outage := range []time.Duration{time.Second, time.Minute, 30 * time.Minute} {
			measureOutage(t, grant, outage)
		}
	}
}

// measureAppends prints the rate and size of the appends in a large fleet.
func measureAppends(t *testing.T, grant time.Duration) {
	f := newFleet(610, 120, 7, grant)
	f.run(grant / 5)

	f.records, f.bytes = 0, 0
	duration := max(2*time.Minute, grant/2)
	f.run(duration)
	t.Logf("grant %s: %d records, %d bytes in %s: %.3f appends/s, %.0f B/s per reader", grant, f.records, f.bytes,
		duration, float64(f.records)/duration.Seconds(), float64(f.bytes)/duration.Seconds())
}

// measureLeave prints the time from the crash or drain of an owner until a new key of one of its partitions is
// admitted, for several phases of the grant.
func measureLeave(t *testing.T, grant time.Duration, graceful bool) {
	const owners = 5

	times := make([]time.Duration, 0, 10)

	for phase := range 10 {
		f := newFleet(owners, 1, owners, grant)
		f.run(grant + time.Duration(phase)*grant/100 + time.Duration(phase)*70*time.Millisecond)

		victim, other := f.daemons[0], f.daemons[1]
		lost := map[string]bool{}

		base, _ := other.state.Base()
		for _, g := range base.Grants {
			for _, p := range g.Partitions {
				lost[fmt.Sprint(p)] = g.Owner == victim.member.ID
			}
		}

		acceptsLostPartition := func() bool {
			for {
				f.number++
				key := newKey(f.now, f.number)
				parsed, err := keys.ParseKey(key)
				require.NoError(t, err)

				if !lost[fmt.Sprint(parsed.Partition)] {
					continue
				}

				r := request.Request{ID: request.NewID(), Service: victim.member.Service, Key: key}
				owner, _, _ := other.state.Owner(r.Service, key)

				for _, n := range f.daemons {
					if n.member.ID != owner || n == victim {
						continue
					}

					for _, e := range f.apply(n, keys.Arrived{Request: r}) {
						if _, ok := e.(keys.Admit); ok {
							return true
						}
					}
				}

				return false
			}
		}

		startedAt := f.now
		delay, status := crashNoticeDelay, instance.Dead

		if graceful {
			f.apply(victim, keys.DrainStarted{})

			delay, status = drainNoticeDelay, instance.Draining
		} else {
			victim.member.Status = instance.Dead // handles no events from now on
		}

		f.run(delay)

		victim.member.Status = status
		f.announce()

		for !acceptsLostPartition() {
			f.run(stepInterval)
		}

		times = append(times, f.now.Sub(startedAt))
	}

	slices.Sort(times)
	t.Logf("grant %s: graceful %t: fresh key accepted after %s to %s, median %s", grant, graceful,
		times[0], times[len(times)-1], times[len(times)/2])
}

// measureOutage prints the share of new keys admitted during an outage of the log, for several phases of the grant.
func measureOutage(t *testing.T, grant, outage time.Duration) {
	sent, accepted := 0, 0

	for phase := range 10 {
		f := newFleet(5, 1, 5, grant)
		f.run(grant + time.Duration(phase)*grant/100)

		f.logDown = true
		for range int(outage / stepInterval) {
			f.run(stepInterval)

			for _, n := range f.daemons {
				_, ok := f.sendNewKey(n, nil)
				sent++

				if ok {
					accepted++
				}
			}
		}
	}

	t.Logf("grant %s: outage %s: %d of %d fresh keys accepted (%.1f %%)", grant, outage, accepted, sent,
		100*float64(accepted)/float64(sent))
}

// TestMeasureMemory prints the memory per key, without and with stored responses. The table holds 50,000 keys, whose
// responses all fit.
func TestMeasureMemory(t *testing.T) {
	if !*measure {
		t.Skip("prints figures; run with -keys.measure")
	}

	const count = 50_000

	for _, size := range []int{-1, 512} {
		f := newFleet(1, 1, 1, time.Hour)
		f.run(3 * time.Second)

		heap := func() uint64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)

			return m.HeapAlloc
		}

		before := heap()

		for i := range count {
			admitOne(f.daemons[0].state, f.now, uint32(i), size)
		}

		t.Logf("response of %d B: %d B per key (%d stored B)", size, (heap()-before)/count,
			f.daemons[0].state.Dump().Stored)
		require.Equal(t, count, f.daemons[0].state.Dump().Keys)
	}
}

// admitOne admits a new key and answers it with a response of the given size in bytes; none if the size is negative.
func admitOne(s *keys.State, now time.Time, number uint32, size int) {
	r := request.Request{ID: request.ID(fmt.Sprint(number)), Service: "s000", Key: newKey(now, number)}
	s.Apply(now, keys.Arrived{Request: r})

	f := keys.Finished{ID: r.ID, Verdict: verdict.Answered}
	if size >= 0 {
		f.Response = &keys.Response{Status: 200, Body: make([]byte, size)}
	}

	s.Apply(now, f)
}

// BenchmarkAdmit measures Arrived and Finished of a new key while the table holds 100,000 keys.
func BenchmarkAdmit(b *testing.B) {
	f := newFleet(1, 1, 1, time.Hour)
	f.run(3 * time.Second)

	n := f.daemons[0]
	for i := range 100_000 {
		admitOne(n.state, f.now, uint32(i), -1)
	}

	text := make([]string, 50_000)
	for i := range text {
		text[i] = newKey(f.now, uint32(100_000+i))
	}

	b.ReportAllocs()
	b.ResetTimer()

	for i := 0; b.Loop(); i++ {
		r := request.Request{ID: "r", Service: "s000", Key: text[i%len(text)]}

		n.state.Apply(f.now, keys.Arrived{Request: r})
		n.state.Apply(f.now, keys.Finished{ID: "r", Verdict: verdict.NotRun})
	}
}
