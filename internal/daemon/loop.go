package daemon

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// apply feeds an event to the reducer and performs its effects. Effects only start tasks, send on
// buffered channels or queue further events, so that the mutex is held briefly.
func (d *Daemon) apply(event core.Event) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.applyLocked(event)
}

// applyLocked is apply for a holder of the mutex, which may itself be performing an effect.
func (d *Daemon) applyLocked(event core.Event) {
	d.pending = append(d.pending, event)
	if d.applying {
		return
	}

	d.applying = true

	for len(d.pending) > 0 {
		next := d.pending[0]
		d.pending = d.pending[1:]
		now := d.now()
		effects := d.state.Apply(now, next)

		if d.observe != nil {
			d.observe(now, next, effects)
		}

		for _, effect := range effects {
			d.perform(effect)
		}
	}

	d.applying = false
	d.pending = nil
}

// perform starts what an effect asks for. The mutex is held.
func (d *Daemon) perform(effect core.Effect) {
	switch e := effect.(type) {
	case routing.Effect:
		d.performRouting(e)
	case admission.Effect:
		d.performAdmission(e)
	case keys.Effect:
		d.performKeys(e)
	case membership.Effect:
		d.performMembership(e)
	case logrelay.Effect:
		d.performRelay(e)
	case suspects.Announce:
		d.announceSuspects(e)
	case config.Decided:
		d.logger.Info().Str("id", e.ID).Bool("accepted", e.Accepted).Uint64("version", e.Version).
			Str("reason", string(e.Reason)).Msg("publish record decided")
	default:
		d.performCore(effect)
	}
}

func (d *Daemon) performCore(effect core.Effect) {
	switch e := effect.(type) {
	case core.Forward:
		d.forward(e)
	case core.Refuse:
		d.refuse(e)
	case core.Abandon:
		d.abandon(e.ID)
	case core.Exchange:
		d.exchange(e)
	case core.ExchangeReply:
		d.replies[e.Call] = e
	case core.ManifestChanged:
		d.changeManifest(e)
	case core.SendGrants:
		d.sendGrants(e)
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
	case routing.StartTimer:
		time.AfterFunc(e.After, func() { d.apply(routing.TimerFired{ID: e.ID}) })
	case routing.Probe:
		d.probe(e)
	}
}

func (d *Daemon) performAdmission(effect admission.Effect) {
	switch e := effect.(type) {
	case admission.Start:
		d.decide(e.Attempt, decision{start: true})
	case admission.Refuse:
		d.decide(e.Attempt, decision{refusal: e})
	case admission.Abort:
		if j, ok := d.jobs[e.Attempt]; ok {
			j.cancel()
		}
	case admission.Drained:
		close(d.drained)
	}
}

func (d *Daemon) performKeys(effect keys.Effect) {
	switch e := effect.(type) {
	case keys.Replay:
		d.replay(e)
	case keys.SendHandover:
		d.sendHandover(e)
	}
}

func (d *Daemon) performMembership(effect membership.Effect) {
	switch e := effect.(type) {
	case membership.Pull:
		d.pullMembers(e)
	case membership.ReplyPage:
		d.replies[e.Call] = e
	case membership.Ready:
		d.ready.Store(true)
		d.logger.Info().Bool("alone", e.Alone).Msg("member table is ready")
	case membership.Superseded:
		d.logger.Error().Uint64("by", uint64(e.By.Incarnation)).Msg("a later run of this instance was seen")

		select {
		case <-d.superseded:
		default:
			close(d.superseded)
		}
	}
}

func (d *Daemon) performRelay(effect logrelay.Effect) {
	switch e := effect.(type) {
	case logrelay.Read:
		d.readLog(e)
	case logrelay.Pull:
		d.pullRecords(e)
	case logrelay.Answer:
		d.replies[e.Call] = e
	case logrelay.Announce:
		d.announceThroughs(e)
	case logrelay.Append:
		d.appendLog(e)
	}
}

// changeManifest puts a manifest in force at the caller interface.
func (d *Daemon) changeManifest(e core.ManifestChanged) {
	matcher, err := manifest.NewMatcher(e.Manifest)
	if err != nil {
		d.logger.Error().Err(err).Uint64("version", e.Version).Msg("manifest in force cannot be compiled")

		return
	}

	d.matcher.Store(matcher)
	d.version.Store(e.Version)
	d.logger.Info().Uint64("version", e.Version).Msg("manifest in force")
}
