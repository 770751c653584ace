package keys

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// simulation runs the daemons of one service with a simulated log and network, and records what happened to each key.
// It checks the guarantees at each effect.
type simulation struct {
	t       require.TestingT
	now     time.Time
	daemons []*daemon
	// members are the members of the service with their true status, sorted by ID.
	members []instance.Member
	log     []Entry
	// firstOffset is the offset of the first record that has not expired.
	firstOffset uint64
	// logDown is set during an outage of the log.
	logDown bool
	// epoch is the epoch of the log, and earlier holds what it held at the end of each earlier epoch.
	epoch   store.Epoch
	earlier map[store.Epoch][]Entry
	// network holds the messages that were not delivered yet.
	network []message
	// posted is the number of messages that were sent.
	posted int
	calls  map[request.ID]*call
	keys   []*keyState
	// reached counts how often each transition was reached.
	reached map[string]int
	// output holds the formatted effects for scripted tests.
	output []string
}

// daemon is a simulated daemon.
type daemon struct {
	id          instance.ID
	incarnation instance.Incarnation
	// skew is the offset of the daemon's clock.
	skew time.Duration
	// state is nil while the daemon is down.
	state  *State
	paused bool
	// logUnreachable is set while this daemon alone cannot read the log.
	logUnreachable bool
	// clockAtPause is the daemon's clock at the start of the pause; zero without one. The first event after the pause
	// has this time, because the daemon read its clock before it paused.
	clockAtPause time.Time
	// inbox holds the events that arrived during the pause.
	inbox   []Event
	running []request.ID
	// trace holds all events of this incarnation, to be replayed.
	trace []traceStep
}

// traceStep is an event and the effects that it caused.
type traceStep struct {
	now     time.Time
	event   Event
	effects []Effect
}

// message is a message in the network. A slow message is not delivered by rounds, so that it can arrive minutes late.
type message struct {
	label   string
	deliver func()
	slow    bool
}

// slowMessageInterval is the number of messages of which one is slow.
const slowMessageInterval = 4

// enqueue puts a message into the network.
func (sim *simulation) enqueue(label string, deliver func()) {
	sim.posted++
	sim.network = append(sim.network, message{label, deliver, sim.posted%slowMessageInterval == 0})
}

// keyState is what really happened to a key.
type keyState struct {
	key Key
	// possibleRuns is the number of admissions, without those that ended as not run.
	possibleRuns int
	answered     bool
	response     *Response
	fingerprint  request.Fingerprint
	// admitter is the state that admitted the key last.
	admitter *State
}

// call is one delivery of a request.
type call struct {
	request  request.Request
	key      *keyState
	admitted bool
	waiting  bool
	done     bool
	// waitsAt is the state at which the call waits.
	waitsAt *State
}

func newSimulation(t require.TestingT, seen map[string]int, ids ...instance.ID) *simulation {
	sim := &simulation{
		t: t, now: start, calls: map[request.ID]*call{}, reached: seen,
		epoch: store.FirstEpoch, earlier: map[store.Epoch][]Entry{},
	}
	for _, id := range ids {
		sim.daemons = append(sim.daemons, &daemon{id: id})
		sim.members = append(sim.members, alive(id, 0))
	}

	for _, d := range sim.daemons {
		sim.restart(d, 0)
	}

	return sim
}

func (sim *simulation) daemon(id instance.ID) *daemon {
	return sim.daemons[slices.IndexFunc(sim.daemons, func(d *daemon) bool { return d.id == id })]
}

// restart stops a daemon and starts it with the next incarnation, an empty state and the given clock skew.
func (sim *simulation) restart(d *daemon, skew time.Duration) {
	sim.finishTrace(d)
	sim.stop(d, instance.Dead)

	d.incarnation++
	d.skew = skew
	d.state = newModelState(d)
	sim.setMember(d, instance.Alive)
	sim.apply(d, EpochChanged{Epoch: sim.epoch})
	sim.apply(d, PolicyChanged{Keys: policy})
	sim.apply(d, MembersChanged{Service: service, Members: slices.Clone(sim.members)})
}

func newModelState(d *daemon) *State {
	return New(WithSelf(d.id, d.incarnation, service), WithSeed(uint64(d.incarnation)), WithMaxEntries(12),
		WithMaxStoredBytes(600), WithBaseRecords(8), WithChunkEntries(2))
}

func (sim *simulation) stop(d *daemon, status instance.Status) {
	d.state, d.paused, d.logUnreachable, d.inbox, d.running = nil, false, false, nil, nil
	sim.setMember(d, status)
}

// setMember sets the true status of a daemon. Other daemons learn of it by MembersChanged.
func (sim *simulation) setMember(d *daemon, status instance.Status) {
	i, _ := searchMember(sim.members, d.id)
	sim.members[i] = alive(d.id, d.incarnation).WithStatus(status, 0)
}

// finishTrace replays the events of a daemon in a new state, to check that equal events cause equal effects.
func (sim *simulation) finishTrace(d *daemon) {
	if d.state == nil {
		return
	}

	replayed := newModelState(d)
	for _, s := range d.trace {
		require.Equal(sim.t, s.effects, replayed.Apply(s.now, s.event), "replayed effects differ")
	}

	d.trace = nil
}

// apply applies an event to a daemon and performs the effects. If the daemon is paused, the event waits in its inbox.
func (sim *simulation) apply(d *daemon, e Event) {
	if d.state == nil {
		return
	}

	if d.paused {
		d.inbox = append(d.inbox, e)

		return
	}

	now, woken := sim.now.Add(d.skew), !d.clockAtPause.IsZero()
	// A daemon reads its clock after it has got what the log says.
	if _, read := e.(RecordsRead); woken && (!read || sim.epoch == store.FirstEpoch) {
		now, d.clockAtPause = d.clockAtPause, time.Time{}
	}

	lost, unknown := d.state.ledger.incomplete, d.state.ledger.unknown
	effects := d.state.Apply(now, e)
	d.trace = append(d.trace, traceStep{now, e, effects})
	sim.countIf(lost && !d.state.ledger.incomplete, "recovered by a base")
	sim.countIf(!lost && d.state.ledger.incomplete, "records expired before they were read")
	sim.countIf(!unknown && d.state.ledger.unknown, "restart not known")

	for _, effect := range effects {
		sim.output = append(sim.output, fmt.Sprintf("%s: %s", d.id, formatEffect(effect)))
		sim.perform(d, effect)

		_, admitted := effect.(Admit)
		sim.countIf(woken && admitted, "admit after a pause")
	}
}

// countIf counts a transition if it happened.
func (sim *simulation) countIf(happened bool, what string) {
	if happened {
		sim.reached[what]++
	}
}

// perform checks and executes one effect of a daemon.
func (sim *simulation) perform(d *daemon, effect Effect) {
	switch e := effect.(type) {
	case Admit:
		sim.recordAdmission(d, sim.calls[e.Request.ID])
	case Wait:
		sim.calls[e.ID].waiting, sim.calls[e.ID].waitsAt = true, d.state
		sim.reached["wait"]++
	case Replay:
		c := sim.endCall(e.ID)
		require.Same(sim.t, c.key.response, e.Response, "response of another key")
		require.Equal(sim.t, c.key.fingerprint, c.request.Fingerprint, "response to another request")
		sim.reached["replay"]++
		sim.countIf(c.key.admitter != d.state, "replay from a handover")
	case Refuse:
		c := sim.endCall(e.ID)
		require.False(sim.t, c.admitted, "refused after admission")
		require.Equal(sim.t, verdict.NotRun, e.Delivery)

		if c.key != nil && e.Verdict == verdict.NotRun {
			require.Zero(sim.t, c.key.possibleRuns, "false verdict not-run: %s", e.Reason)
		}

		if e.Verdict == verdict.Answered {
			require.True(sim.t, c.key.answered, "false verdict answered")
		}

		sim.reached[fmt.Sprintf("refuse %s %s", e.Reason, e.Verdict)]++
	case AppendGrants:
		sim.enqueue(string(d.id)+">log", func() { sim.appendRecord(e.Record) })
		sim.countIf(len(e.Record.Signoffs) > 0 && e.Record.Signoffs[0].Owner != d.id, "sign-off for another owner")
	case SendHandover:
		sim.enqueue(fmt.Sprintf("%s>%s", d.id, e.To), sim.deliverHandover(d, e))
	}
}

// recordAdmission checks that a key cannot have run before, and notes that it runs now.
func (sim *simulation) recordAdmission(d *daemon, c *call) {
	require.Zero(sim.t, c.key.possibleRuns, "second run of a key")
	require.False(sim.t, c.done || c.admitted || c.waiting)

	c.admitted, c.key.admitter, c.key.fingerprint = true, d.state, c.request.Fingerprint
	c.key.possibleRuns++
	d.running = append(d.running, c.request.ID)

	h := d.state.ledger.partition(service, c.key.key.Partition)
	g, inLedger := h.covering(c.key.key.Issued)
	sim.countIf(!inLedger, "admit by a held grant")
	sim.countIf(d.state.ledger.epoch < sim.epoch, "admit by a daemon that has not noticed")
	last, _ := sim.replayLog().partition(service, c.key.key.Partition).last()
	sim.reached["admit"]++
	sim.countIf(c.key.key.Issued == g.From, "admit at the start of a grant")
	sim.countIf(c.key.key.Issued == g.Until-1, "admit at the end of a grant")
	sim.countIf(sim.logDown, "admit during an outage")
	sim.countIf(last.From > c.key.key.Issued, "admit after a successor's claim")
}

// endCall marks a call as answered and checks that this happens only once.
func (sim *simulation) endCall(id request.ID) *call {
	c := sim.calls[id]
	require.False(sim.t, c.done, "answered twice")
	c.done = true

	return c
}

// replayLog returns the grants that follow from the whole log.
func (sim *simulation) replayLog() *ledger {
	l := newLedger("", daemonRun{})
	l.changeEpoch(sim.epoch)
	l.applyAll(sim.log)

	return &l
}

// appendRecord appends a record to the log, or loses it during an outage.
func (sim *simulation) appendRecord(r Record) {
	if sim.logDown {
		sim.reached["append during an outage"]++

		return
	}

	ledger := sim.replayLog()
	before := ledger.base()
	sim.log = append(sim.log, Entry{uint64(len(sim.log)), r})
	after := sim.replayLog().base()
	sim.countIf(before.Ledger != after.Ledger, "ledger restarted")
	sim.countIf(r.Restart != nil && before.Ledger == after.Ledger, "restart appended late")

	same := fmt.Sprint(before.Grants) == fmt.Sprint(after.Grants)
	sim.countIf(same && len(r.Claims) > 0, "claim rejected")
	sim.countIf(!same && len(r.Claims) > 0, "claim accepted")
	sim.countIf(same && len(r.Extensions) > 0, "extension without effect")
	sim.countIf(!same && len(r.Extensions) > 0, "extension accepted")
	sim.countIf(!same && len(r.Signoffs) > 0, "sign-off accepted")
	sim.countIf(r.Base != nil, "base written")

	for _, c := range r.Carried {
		sim.countIf(!same, "grant carried over")
		sim.countIf(!same && c.Uncertain, "uncertain grant carried over")
	}

	for _, c := range r.Claims {
		sim.countIf(!same && ledger.barrier > 0 && c.From == ledger.barrier, "claim after the barrier")
	}
}

// readLog returns the log's answer to a read by a daemon. It holds records with offsets below upTo, as a read that
// returns old data does.
func (sim *simulation) readLog(d *daemon, upTo uint64) RecordsRead {
	from := sim.firstOffset
	if d.state.ledger.epoch == sim.epoch {
		from = max(from, d.state.NextOffset())
	}

	upTo = min(upTo, uint64(len(sim.log)))

	e := RecordsRead{Epoch: sim.epoch, First: min(sim.firstOffset, upTo), Next: upTo}
	if from < upTo {
		e.Records = sim.log[from:upTo:upTo]
	}

	return e
}

// readEarlierLog returns the delayed answer to a read by a daemon that has not noticed yet that the log has come back
// from an older copy. It returns false if there is none.
func (sim *simulation) readEarlierLog(d *daemon) (RecordsRead, bool) {
	log, ok := sim.earlier[d.state.ledger.epoch]
	from := d.state.NextOffset()

	if !ok || from >= uint64(len(log)) {
		return RecordsRead{}, false
	}

	return RecordsRead{Epoch: d.state.ledger.epoch, Records: log[from:], Next: uint64(len(log))}, true
}

// returnFromCopy makes the log come back from an older copy with the first records only.
func (sim *simulation) returnFromCopy(records int) {
	sim.earlier[sim.epoch] = sim.log
	sim.log = slices.Clone(sim.log[:records])
	sim.firstOffset = min(sim.firstOffset, uint64(records))
	sim.epoch++
	sim.reached["log came back"]++
}

// deliverHandover returns a function that delivers a message to the incarnation that runs at that time, and reports the
// outcome to the sending incarnation.
func (sim *simulation) deliverHandover(d *daemon, e SendHandover) func() {
	sender, to := d.state, sim.daemon(e.To)

	return func() {
		up := to.state != nil && !to.paused
		sim.apply(to, HandoverReceived{e.Handover})
		sim.countIf(up, "handover received")

		if d.state == sender {
			sim.apply(d, HandoverEnded{To: e.To, Round: e.Handover.Round, Chunk: e.Handover.Chunk, Delivered: up})
		}
	}
}

// newCall adds a call with a key and returns the event of its arrival.
func (sim *simulation) newCall(d *daemon, k *keyState, fingerprint request.Fingerprint) Event {
	r := request.Request{
		ID: request.ID(fmt.Sprintf("r%d", len(sim.calls)+1)), Service: service,
		Key: k.key.UUID.String(), Fingerprint: fingerprint,
	}
	sim.calls[r.ID] = &call{request: r, key: k}

	return Arrived{r}
}

// finish ends a running request with its true verdict. size is the length of the response body in bytes.
func (sim *simulation) finish(d *daemon, id request.ID, v verdict.Verdict, size int) {
	k := sim.calls[id].key
	d.running = slices.DeleteFunc(d.running, func(r request.ID) bool { return r == id })
	f := Finished{ID: id, Verdict: v}

	switch v {
	case verdict.NotRun:
		k.possibleRuns--
	case verdict.MayHaveRun:
	case verdict.Answered:
		k.answered = true
		k.response = &Response{Status: 200, Body: make([]byte, size)}
		f.Response = k.response
	}

	sim.apply(d, f)

	for _, c := range sim.calls {
		require.False(sim.t, c.waiting && !c.done && c.key == k && c.waitsAt == d.state, "waiting resend is unanswered")
	}
}

func (sim *simulation) pause(d *daemon) {
	if !d.paused {
		d.paused, d.clockAtPause = true, sim.now.Add(d.skew)
	}
}

// wake ends the pause of a daemon and applies the events in its inbox.
func (sim *simulation) wake(d *daemon) {
	inbox := d.inbox
	d.paused, d.inbox = false, nil

	for _, e := range inbox {
		sim.apply(d, e)
	}
}

// formatEffect formats an effect for scripted tests. Times are relative to the start of the simulation.
func formatEffect(effect Effect) string {
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

		for _, c := range e.Record.Carried {
			parts = append(parts, fmt.Sprintf("carry n=%d [%s,%s) uncertain=%t",
				len(c.Partitions), at(c.From), at(c.Until), c.Uncertain))
		}

		if e.Record.Base != nil {
			parts = append(parts, "base")
		}

		if r := e.Record.Restart; r != nil {
			parts = append(parts, fmt.Sprintf("restart epoch=%d through=%d barrier=%s", r.Epoch, r.Through, at(r.Barrier)))
		}

		return "append " + strings.Join(parts, ", ")
	default:
		return fmt.Sprintf("%T", e)
	}
}
