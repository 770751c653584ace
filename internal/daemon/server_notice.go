package daemon

import (
	"cmp"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/health"
)

// observeResponse passes what a response says of its server to the reducer. Another server may have replaced it since the
// request was sent.
func (d *Daemon) observeResponse(response *backend.Response, sc serverCall) {
	if response.HasLoad {
		d.apply(health.Observed{Load: response.Load})
	}

	d.observeLimit(response.Limit)

	if response.Draining {
		d.apply(health.Leaving{ID: cmp.Or(response.Instance, sc.server)})
	}
}

// observeLimit passes a limit to the reducer if it has changed.
func (d *Daemon) observeLimit(statement backend.Statement) {
	if !statement.Made {
		return
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	before, known := d.state.ServerLimit()
	if known && before == statement.Limit {
		return
	}

	d.applyLocked(health.LimitStated{Limit: statement.Limit})

	if before != statement.Limit {
		d.log.Notable(eventlog.ServerLimit).Bool("limited", statement.Limit.Set).
			Float64("per_second", statement.Limit.PerSecond).Send()
	}
}

// observeProbe passes on what a probe answers about leaving and limits. An answer without a limit says nothing, because
// servers need not state it there.
func (d *Daemon) observeProbe(answer backend.Health) {
	if answer.Limit.Limit.Set {
		d.observeLimit(answer.Limit)
	}

	if answer.Draining {
		d.apply(health.Leaving{ID: answer.Instance})
	}
}
