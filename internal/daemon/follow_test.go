package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// refusing is a topic of a store that refuses all calls.
type refusing struct {
	Configuration

	calls []time.Time
}

func (r *refusing) Newest(context.Context) (store.Page, error) {
	r.calls = append(r.calls, time.Now())

	return store.Page{}, errors.New("refused")
}

// Guards against a daemon that a store refuses and that calls it, at a price, as often as if it served it; and
// against one that does not call it soon when it hears of a newer configuration.
func TestFollowPausesWhileRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &refusing{}
		d := &Daemon{
			platform: Platform{Configuration: topic}, log: eventlog.New(zerolog.Nop()), reread: make(chan struct{}, 1),
		}
		d.version.Store(4)

		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)

		go func() { ended <- d.followConfiguration(ctx) }()

		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.LessOrEqual(t, len(topic.calls), 10)

		before := len(topic.calls)
		d.reread <- struct{}{}

		synctest.Wait()
		require.Len(t, topic.calls, before+1)

		cancel()
		require.NoError(t, <-ended)
	})
}
