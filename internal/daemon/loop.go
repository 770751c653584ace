package daemon

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/quota"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// apply feeds an event to the reducer and performs its effects. An effect only starts a task, sends a datagram, sends
// to a buffered channel or queues another event, so that the mutex is held briefly.
func (d *Daemon) apply(event core.Event) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.applyLocked(event)
}

// applyLocked does what apply does, for a caller that holds the mutex. If it is called while an effect is performed, it
// only queues the event.
func (d *Daemon) applyLocked(event core.Event) {
	d.pending = append(d.pending, event)
	if d.applying {
		return
	}

	d.applying = true

	for len(d.pending) > 0 {
		next := d.pending[0]
		d.pending = d.pending[1:]

		// A panic affects only this event. A request that loses effects of it ends when it is overdue.
		d.catchPanic("event", func() { d.step(next) })
	}

	d.applying = false
	d.pending = d.pending[:0]
	d.setTimer()
}

// step applies one event and performs its effects. The caller holds the mutex.
func (d *Daemon) step(event core.Event) {
	now := d.now()
	effects := d.state.Apply(now, event)

	if d.observe != nil {
		d.observe(now, event, effects)
	}

	for _, effect := range effects {
		d.perform(effect)
	}
}

// setTimer sets the timer to the next time at which the reducer needs a core.Tick. The caller holds the mutex.
func (d *Daemon) setTimer() {
	next := d.state.Next()
	if next.Equal(d.timerDue) || d.timer == nil {
		return
	}

	d.timerDue = next
	if next.IsZero() {
		d.timer.Stop()

		return
	}

	d.timer.Reset(max(0, next.Sub(d.now())))
}

// tick applies core.Tick. The timer calls it.
func (d *Daemon) tick() {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.timerDue = time.Time{}
	d.applyLocked(core.Tick{})
}

// perform performs an effect. The caller holds the mutex.
func (d *Daemon) perform(effect core.Effect) {
	switch e := effect.(type) {
	case routing.Effect:
		d.performRouting(e)
	case admission.Effect:
		d.performAdmission(e)
	case membership.Effect:
		d.performMembership(e)
	case health.Probe:
		d.probe()
	case health.ColdChanged:
		d.log.Notable(eventlog.ServerCold).Str("server", string(d.state.Server())).Bool("cold", e.ColdFor > 0).
			Float64("left_ms", milliseconds(e.ColdFor)).Send()
	case quota.Effect:
		d.performQuota(e)
	case suspects.Announce:
		d.logSuspects(e)
	case keys.Effect:
		d.performKeys(e)
	case core.Forward:
		d.forward(e)
	case core.FollowGrants:
		d.tasks.Go("follow grants", d.followGrants)
	case core.Refuse:
		d.refuse(e)
	case core.ManifestChanged:
		d.changeManifest(e)
	case core.RereadManifest:
		d.log.Notable(eventlog.ConfigurationBehind).Uint64("version", d.version.Load()).Uint64("newest", e.Version).
			Uint64("epoch", uint64(e.Read.Epoch)).Int64("offset", e.Read.Offset).Send()
		d.requestReread(reread{version: e.Version, read: e.Read})
	case core.EvacuationsChanged:
		d.logEvacuations(e)
	case core.FetchConfiguration:
		d.fetchConfiguration(e)
	case core.StoreReturned:
		d.storeReturned(e)
	case core.CheckStore:
		d.log.Notable(eventlog.StoreBehind).Uint64("epoch", d.storeEpoch.Load()).Uint64("newest", uint64(e.Epoch)).Send()
		d.requestReread(reread{epoch: e.Epoch})
	case core.ServerReplaced:
		d.backend.Reset()
	case core.ServerChanged:
		d.log.Notable(eventlog.ServerState).Str("server", string(e.ID)).Str("closed", string(e.Closed)).
			Int("slots", e.Slots).Str("why", e.Why).Send()
	}
}

// requestReread makes the follower of the configuration read the store at once. A reason that it has not taken yet is
// merged with the new one. The caller holds the mutex.
func (d *Daemon) requestReread(reason reread) {
	select {
	case earlier := <-d.rereadConfig:
		reason = reason.merge(earlier)
	default:
	}

	select {
	case d.rereadConfig <- reason:
	default:
	}
}

func (d *Daemon) performRouting(effect routing.Effect) {
	switch e := effect.(type) {
	case routing.Attempt:
		d.startAttempt(e)
	case routing.CancelAttempt:
		d.cancelAttempt(e)
	case routing.Deliver:
		d.deliver(e)
	}
}

func (d *Daemon) performAdmission(effect admission.Effect) {
	switch e := effect.(type) {
	case admission.Start:
		d.sendDecision(e.Attempt, decision{start: true})
	case admission.Refuse:
		d.sendDecision(e.Attempt, decision{refusal: e})
	case admission.Queued:
		d.sendDecision(e.Attempt, decision{queued: true})
	case admission.Abort:
		if local, ok := d.localAttempts[e.Attempt]; ok {
			local.cancel()
		}
	}
}

func (d *Daemon) performKeys(effect keys.Effect) {
	switch e := effect.(type) {
	case keys.Replay:
		d.replay(e)
	case keys.AppendGrants:
		d.appendGrants(e)
	case keys.SendHandover:
		d.sendHandover(e)
	}
}

func (d *Daemon) performMembership(effect membership.Effect) {
	switch e := effect.(type) {
	case membership.ReadEntries:
		d.startTask("read entries", d.readEntries, func() { d.apply(membership.EntriesRead{Failed: true}) })
	case membership.WriteEntry:
		d.writeEntry(e)
	case membership.SendBeat:
		d.sendBeat(e)
	case membership.MembersChanged:
		d.logMembers(e.Members)
		d.attempts.RetainPeers(peersOf(e.Members))
	}
}

// changeManifest makes a manifest apply to new requests of callers. The caller holds the mutex.
func (d *Daemon) changeManifest(e core.ManifestChanged) {
	matcher, err := manifest.NewMatcher(e.Manifest)
	if err != nil {
		d.log.Warn(eventlog.BadRecord).Uint64("version", e.Version).AnErr("error", err).Send()

		return
	}

	m := e.Manifest
	d.manifest.Store(&m)
	d.record.Store(d.incoming)

	if d.matcher.Swap(matcher) == nil {
		close(d.manifestReady)
	}

	d.version.Store(e.Version)
	d.log.Notable(eventlog.Configuration).Uint64("version", e.Version).Int("routes", len(m.Routes)).Send()
}
