package daemon_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/daemon"
	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

var errDown = errors.New("store is down")

// outageEntries refuses calls while the store is down, and counts them.
type outageEntries struct {
	daemon.KeyedTopic

	down    *atomic.Bool
	refused *atomic.Int64
}

func (e outageEntries) Newest(ctx context.Context) (store.Page, error) {
	if e.down.Load() {
		e.refused.Add(1)

		return store.Page{}, errDown
	}

	return e.KeyedTopic.Newest(ctx)
}

func (e outageEntries) Append(ctx context.Context, records ...store.Record) error {
	if e.down.Load() {
		e.refused.Add(1)

		return errDown
	}

	return e.KeyedTopic.Append(ctx, records...)
}

// outageConfiguration refuses calls of Newest while the store is down.
type outageConfiguration struct {
	daemon.ConfigurationTopic

	down *atomic.Bool
}

func (c outageConfiguration) Newest(ctx context.Context) (store.Page, error) {
	if c.down.Load() {
		return store.Page{}, errDown
	}

	return c.ConfigurationTopic.Newest(ctx)
}

// Guards against daemons that, restarted while the store is down, keep reading and writing membership entries in
// addition to reading the configuration, without which entries are of no use. Also guards against daemons that do not
// recover when the store is back.
func TestRestartDuringOutage(t *testing.T) {
	const maxRecoveryTime = 3 * time.Second

	var (
		down atomic.Bool
		// refused counts the refused calls for entries of the daemon that was started last.
		refused *atomic.Int64
	)

	f := startOnPlatform(t, fleet.WithPlatformChange(func(p *daemon.Platform) {
		refused = &atomic.Int64{}
		p.Entries = outageEntries{KeyedTopic: p.Entries, down: &down, refused: refused}
		p.Configuration = outageConfiguration{ConfigurationTopic: p.Configuration, down: &down}
	}))

	down.Store(true)

	restarted := f.Instances[0]
	require.NoError(t, f.RestartDaemon(restarted))
	time.Sleep(maxRecoveryTime)
	// One read starts at once, because the daemon does not know yet that the store is down.
	require.LessOrEqual(t, refused.Load(), int64(1))

	down.Store(false)

	ctx, cancel := context.WithTimeout(t.Context(), maxRecoveryTime)
	defer cancel()

	require.NoError(t, f.Wait(ctx, func() bool {
		return restarted.Daemon.Version() == 7 && restarted.Daemon.Members() == len(f.Instances)
	}))
}
