package keys

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// world is a model of a service: reducers, the log, the network and what happened to each key. It
// checks the guarantees at each effect.
type world struct {
	t       require.TestingT
	now     time.Time
	daemons []*daemon
	members []instance.Member
	log     []Entry
	first   uint64
	down    bool
	net     []message
	posted  int
	calls   map[request.ID]*call
	keys    []*keyState
	seen    map[string]int
	out     []string
}

type daemon struct {
	id          instance.ID
	incarnation instance.Incarnation
	skew        time.Duration
	state       *State // nil while it is down
	paused      bool
	cut         bool      // does not reach the log
	stale       time.Time // clock at the pause; the first event afterwards was stamped before it
	inbox       []Event
	running     []request.ID
	trace       []step
}

type step struct {
	now     time.Time
	event   Event
	effects []Effect
}

// A slow message is not delivered by rounds, so that it can arrive minutes late.
type message struct {
	label   string
	deliver func()
	slow    bool
}

// slowShare makes one of so many messages slow.
const slowShare = 4

func (w *world) post(label string, deliver func()) {
	w.posted++
	w.net = append(w.net, message{label, deliver, w.posted%slowShare == 0})
}

// keyState is the truth about a key. Admissions that did not end as not run count as possible runs.
type keyState struct {
	key         Key
	possible    int
	answered    bool
	response    *Response
	fingerprint request.Fingerprint
	admitter    *State
}

type call struct {
	request  request.Request
	key      *keyState
	admitted bool
	waiting  bool
	done     bool
	at       *State // where it waits
}

func newWorld(t require.TestingT, seen map[string]int, ids ...instance.ID) *world {
	w := &world{t: t, now: start, calls: map[request.ID]*call{}, seen: seen}
	for _, id := range ids {
		w.daemons = append(w.daemons, &daemon{id: id})
		w.members = append(w.members, alive(id, 0))
	}

	for _, d := range w.daemons {
		w.restart(d, 0)
	}

	return w
}

func (w *world) daemon(id instance.ID) *daemon {
	return w.daemons[slices.IndexFunc(w.daemons, func(d *daemon) bool { return d.id == id })]
}

func (w *world) restart(d *daemon, skew time.Duration) {
	w.finishTrace(d)
	w.stop(d, instance.Dead)

	d.incarnation++
	d.skew = skew
	d.state = newModelState(d)
	w.setMember(d, instance.Alive)
	w.apply(d, PolicyChanged{Keys: policy})
	w.apply(d, MembersChanged{Service: service, Members: slices.Clone(w.members)})
}

func newModelState(d *daemon) *State {
	return New(WithSelf(d.id, d.incarnation, service), WithSeed(uint64(d.incarnation)), WithMaxEntries(12),
		WithMaxStoredBytes(600), WithBaseRecords(8), WithChunkEntries(2))
}

func (w *world) stop(d *daemon, status instance.Status) {
	d.state, d.paused, d.cut, d.inbox, d.running = nil, false, false, nil, nil
	w.setMember(d, status)
}

func (w *world) setMember(d *daemon, status instance.Status) {
	i, _ := searchMember(w.members, d.id)
	w.members[i] = alive(d.id, d.incarnation).WithStatus(status, 0)
}

// finishTrace replays the events of a daemon, to show that equal events give equal effects.
func (w *world) finishTrace(d *daemon) {
	if d.state == nil {
		return
	}

	again := newModelState(d)
	for _, s := range d.trace {
		require.Equal(w.t, s.effects, again.Apply(s.now, s.event), "replay differs")
	}

	d.trace = nil
}

// apply gives a daemon an event, or keeps it until the daemon wakes up.
func (w *world) apply(d *daemon, e Event) {
	if d.state == nil {
		return
	}

	if d.paused {
		d.inbox = append(d.inbox, e)

		return
	}

	now, woken := w.now.Add(d.skew), !d.stale.IsZero()
	if woken {
		now, d.stale = d.stale, time.Time{}
	}

	lost := d.state.ledger.lost
	effects := d.state.Apply(now, e)
	d.trace = append(d.trace, step{now, e, effects})
	w.count(lost && !d.state.ledger.lost, "recovered by a base")
	w.count(!lost && d.state.ledger.lost, "records expired before they were read")

	for _, effect := range effects {
		w.out = append(w.out, fmt.Sprintf("%s: %s", d.id, describe(effect)))
		w.perform(d, effect)

		_, admitted := effect.(Admit)
		w.count(woken && admitted, "admit after a pause")
	}
}

func (w *world) count(happened bool, what string) {
	if happened {
		w.seen[what]++
	}
}

func (w *world) perform(d *daemon, effect Effect) {
	switch e := effect.(type) {
	case Admit:
		w.admitted(d, w.calls[e.Request.ID])
	case Wait:
		w.calls[e.ID].waiting, w.calls[e.ID].at = true, d.state
		w.seen["wait"]++
	case Replay:
		c := w.answer(e.ID)
		require.Same(w.t, c.key.response, e.Response, "response of another key")
		require.Equal(w.t, c.key.fingerprint, c.request.Fingerprint, "response to another request")
		w.seen["replay"]++
		w.count(c.key.admitter != d.state, "replay from a handover")
	case Refuse:
		c := w.answer(e.ID)
		require.False(w.t, c.admitted, "refused after admission")
		require.Equal(w.t, verdict.NotRun, e.Delivery)

		if c.key != nil && e.Verdict == verdict.NotRun {
			require.Zero(w.t, c.key.possible, "untrue not-run: %s", e.Reason)
		}

		if e.Verdict == verdict.Answered {
			require.True(w.t, c.key.answered, "untrue answered")
		}

		w.seen[fmt.Sprintf("refuse %s %s", e.Reason, e.Verdict)]++
	case AppendGrants:
		w.post(string(d.id)+">log", func() { w.append(e.Record) })
		w.count(len(e.Record.Signoffs) > 0 && e.Record.Signoffs[0].Owner != d.id, "sign-off for another owner")
	case SendHandover:
		w.post(fmt.Sprintf("%s>%s", d.id, e.To), w.handover(d, e))
	}
}

func (w *world) admitted(d *daemon, c *call) {
	require.Zero(w.t, c.key.possible, "second run of a key")
	require.False(w.t, c.done || c.admitted || c.waiting)

	c.admitted, c.key.admitter, c.key.fingerprint = true, d.state, c.request.Fingerprint
	c.key.possible++
	d.running = append(d.running, c.request.ID)

	h := d.state.ledger.partition(service, c.key.key.Partition)
	g, _ := h.covering(c.key.key.Issued)
	last, _ := w.truth().partition(service, c.key.key.Partition).last()
	w.seen["admit"]++
	w.count(c.key.key.Issued == g.From, "admit at the start of a grant")
	w.count(c.key.key.Issued == g.Until-1, "admit at the end of a grant")
	w.count(w.down, "admit during an outage")
	w.count(last.From > c.key.key.Issued, "admit after a successor's claim")
}

// answer marks the end of a call, which happens once.
func (w *world) answer(id request.ID) *call {
	c := w.calls[id]
	require.False(w.t, c.done, "answered twice")
	c.done = true

	return c
}

// truth replays the whole log.
func (w *world) truth() *ledger {
	l := newLedger()
	l.applyAll(w.log)

	return &l
}

func (w *world) append(r Record) {
	if w.down {
		w.seen["append during an outage"]++

		return
	}

	before := w.truth().base()
	w.log = append(w.log, Entry{uint64(len(w.log)), r})
	after := w.truth().base()
	same := fmt.Sprint(before.Grants) == fmt.Sprint(after.Grants)
	w.count(same && len(r.Claims) > 0, "claim rejected")
	w.count(!same && len(r.Claims) > 0, "claim accepted")
	w.count(same && len(r.Extensions) > 0, "extension without effect")
	w.count(!same && len(r.Extensions) > 0, "extension accepted")
	w.count(!same && len(r.Signoffs) > 0, "sign-off accepted")
	w.count(r.Base != nil, "base written")
}

// read returns what the log answers to a daemon. Up to limits the offset, for old data.
func (w *world) read(d *daemon, upTo uint64) RecordsRead {
	from := max(d.state.NextOffset(), w.first)
	upTo = min(upTo, uint64(len(w.log)))

	e := RecordsRead{First: min(w.first, upTo), Next: upTo}
	if from < upTo {
		e.Records = w.log[from:upTo:upTo]
	}

	return e
}

// handover delivers a message to whichever incarnation runs, and its outcome to the sending one.
func (w *world) handover(d *daemon, e SendHandover) func() {
	sender, to := d.state, w.daemon(e.To)

	return func() {
		up := to.state != nil && !to.paused
		w.apply(to, HandoverReceived{e.Handover})
		w.count(up, "handover received")

		if d.state == sender {
			w.apply(d, HandoverEnded{To: e.To, Round: e.Handover.Round, Chunk: e.Handover.Chunk, Delivered: up})
		}
	}
}

func (w *world) send(d *daemon, k *keyState, fingerprint request.Fingerprint) Event {
	r := request.Request{
		ID: request.ID(fmt.Sprintf("r%d", len(w.calls)+1)), Service: service,
		Key: k.key.UUID.String(), Fingerprint: fingerprint,
	}
	w.calls[r.ID] = &call{request: r, key: k}

	return Arrived{r}
}

// finish ends a running request. Its verdict is the truth.
func (w *world) finish(d *daemon, id request.ID, v verdict.Verdict, size int) {
	k := w.calls[id].key
	d.running = slices.DeleteFunc(d.running, func(r request.ID) bool { return r == id })
	f := Finished{ID: id, Verdict: v}

	switch v {
	case verdict.NotRun:
		k.possible--
	case verdict.MayHaveRun:
	case verdict.Answered:
		k.answered = true
		k.response = &Response{Status: 200, Body: make([]byte, size)}
		f.Response = k.response
	}

	w.apply(d, f)

	for _, c := range w.calls {
		require.False(w.t, c.waiting && !c.done && c.key == k && c.at == d.state, "resend is not answered")
	}
}

func (w *world) pause(d *daemon) {
	if !d.paused {
		d.paused, d.stale = true, w.now.Add(d.skew)
	}
}

func (w *world) wake(d *daemon) {
	inbox := d.inbox
	d.paused, d.inbox = false, nil

	for _, e := range inbox {
		w.apply(d, e)
	}
}

// describe formats an effect for scripted tests. Times are relative to the start.
func describe(effect Effect) string {
	at := func(ms int64) string { return time.UnixMilli(ms).Sub(start).String() }

	switch e := effect.(type) {
	case Admit:
		return "admit " + string(e.Request.ID)
	case Wait:
		return "wait " + string(e.ID)
	case Replay:
		return "replay " + string(e.ID)
	case Refuse:
		return fmt.Sprintf("refuse %s %s delivery=%s %s after=%s", e.ID, e.Verdict, e.Delivery, e.Reason, e.RetryAfter)
	case SendHandover:
		h := e.Handover
		text := fmt.Sprintf("handover to %s chunk=%d/%d end=%s", e.To, h.Chunk, h.Chunks, at(h.End))

		for _, entry := range h.Entries {
			text += fmt.Sprintf(" state=%d", entry.State)
		}

		return text
	case AppendGrants:
		var parts []string
		for _, c := range e.Record.Claims {
			parts = append(parts, fmt.Sprintf("claim n=%d [%s,%s)", len(c.Partitions), at(c.From), at(c.Until)))
		}

		for _, x := range e.Record.Extensions {
			parts = append(parts, fmt.Sprintf("extension until=%s", at(x.Until)))
		}

		for _, x := range e.Record.Signoffs {
			parts = append(parts, fmt.Sprintf("sign-off of %s end=%s", x.Owner, at(x.End)))
		}

		if e.Record.Base != nil {
			parts = append(parts, "base")
		}

		return "append " + strings.Join(parts, ", ")
	default:
		return fmt.Sprintf("%T", e)
	}
}
