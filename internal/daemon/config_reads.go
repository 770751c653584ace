package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// configReads counts the reads of the configuration by how they ended.
type configReads struct {
	answered, expired, returned, interrupted, silent, failed atomic.Int64
	// rejected counts the configurations that were read and not used, because they are malformed or invalid.
	rejected atomic.Int64
	// fetched, nothingNewer and fetchFailed count the fetches from other daemons by how they ended.
	fetched, nothingNewer, fetchFailed atomic.Int64
	// answeredAt is the time of the last answer in Unix nanoseconds; zero if there was none.
	answeredAt atomic.Int64
}

// count records the end of a read. It ignores a read that ended because ctx ended.
func (r *configReads) count(ctx context.Context, err error) {
	switch {
	case err == nil:
		r.answered.Add(1)
		r.answeredAt.Store(time.Now().UnixNano())
	case ctx.Err() != nil:
	case errors.Is(err, errNewerConfig):
		r.interrupted.Add(1)
	case errors.Is(err, store.ErrReturned):
		r.returned.Add(1)
	case errors.HasType(err, (*store.ExpiredError)(nil)):
		r.expired.Add(1)
	case errors.Is(err, store.ErrSilent):
		r.silent.Add(1)
	default:
		r.failed.Add(1)
	}
}

// countFetch records the end of a fetch from another daemon.
func (r *configReads) countFetch(err error) {
	switch {
	case err == nil:
		r.fetched.Add(1)
	case errors.IsAny(err, errNothingNewer, attempt.ErrNoConfiguration):
		r.nothingNewer.Add(1)
	default:
		r.fetchFailed.Add(1)
	}
}

// export exports the totals and the time since the last answer.
func (r *configReads) export(m *metrics) {
	for outcome, total := range map[string]*atomic.Int64{
		"answered": &r.answered, "expired": &r.expired, "returned": &r.returned, "interrupted": &r.interrupted,
		"silent": &r.silent, failedOutcome: &r.failed,
	} {
		m.exportTotal("config_reads_total", outcomeLabel, outcome, total.Load())
	}

	for outcome, total := range map[string]*atomic.Int64{
		"fetched": &r.fetched, "nothing-newer": &r.nothingNewer, failedOutcome: &r.fetchFailed,
	} {
		m.exportTotal("config_fetches_total", outcomeLabel, outcome, total.Load())
	}

	m.exportTotal("config_rejected_total", "", "", r.rejected.Load())

	if at := r.answeredAt.Load(); at != 0 {
		m.scope.Gauge("config_read_age_seconds").Update(time.Since(time.Unix(0, at)).Seconds())
	}
}
