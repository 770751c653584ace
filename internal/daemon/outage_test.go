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

// refusableEntries refuses calls while the store is down, and counts them.
type refusableEntries struct {
	daemon.Entries

	down    *atomic.Bool
	refused *atomic.Int64
}

func (e refusableEntries) Newest(ctx context.Context) (store.Page, error) {
	if e.down.Load() {
		e.refused.Add(1)

		return store.Page{}, errDown
	}

	return e.Entries.Newest(ctx)
}

func (e refusableEntries) Append(ctx context.Context, records ...store.Record) error {
	if e.down.Load() {
		e.refused.Add(1)

		return errDown
	}

	return e.Entries.Append(ctx, records...)
}

// refusableConfiguration refuses lists while the store is down.
type refusableConfiguration struct {
	daemon.Configuration

	down *atomic.Bool
}

func (c refusableConfiguration) Newest(ctx context.Context) (store.Page, error) {
	if c.down.Load() {
		return store.Page{}, errDown
	}

	return c.Configuration.Newest(ctx)
}

// Guards against a fleet that restarts while the store is down, whose daemons each ask it by three ways in turn for what is
// of no use before the configuration, and against one that does not come back with it.
func TestRestartDuringOutage(t *testing.T) {
	const inForce = 3 * time.Second

	var (
		down atomic.Bool
		// refused is the number of calls of the daemon that was started last.
		refused *atomic.Int64
	)

	f := startOnPlatform(t, fleet.WithPlatformChange(func(p *daemon.Platform) {
		refused = &atomic.Int64{}
		p.Entries = refusableEntries{Entries: p.Entries, down: &down, refused: refused}
		p.Configuration = refusableConfiguration{Configuration: p.Configuration, down: &down}
	}))

	down.Store(true)

	restarted := f.Instances[0]
	require.NoError(t, f.RestartDaemon(restarted))
	time.Sleep(inForce)
	// One read begins at once, as the store is not known to be down.
	require.LessOrEqual(t, refused.Load(), int64(1))

	down.Store(false)

	ctx, cancel := context.WithTimeout(t.Context(), inForce)
	defer cancel()

	require.NoError(t, f.Wait(ctx, func() bool {
		return restarted.Daemon.Version() == 7 && restarted.Daemon.Members() == len(f.Instances)
	}))
}
