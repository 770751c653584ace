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
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// refusing is a topic of a store that refuses all calls.
type refusing struct {
	ConfigurationTopic

	calls []time.Time
}

func (r *refusing) Newest(context.Context) (store.Page, error) {
	r.calls = append(r.calls, time.Now())

	return store.Page{}, errors.New("refused")
}

// storming is a topic that gets a version of the configuration at each interval until it ends.
type storming struct {
	ConfigurationTopic

	interval time.Duration
	started  time.Time
	last     int64
	reads    int
}

func (s *storming) Newest(context.Context) (store.Page, error) { return store.Page{}, nil }

func (s *storming) Await(_, waiting context.Context, from int64, wait time.Duration) (store.Page, error) {
	s.reads++

	next := s.started.Add(time.Duration(from) * s.interval)
	if from >= s.last {
		next = time.Now().Add(wait)
	}

	select {
	case <-time.After(time.Until(next)):
	case <-waiting.Done():
		return store.Page{}, waiting.Err()
	}

	page := store.Page{End: from}
	for ; page.End < s.last && !time.Now().Before(s.started.Add(time.Duration(page.End)*s.interval)); page.End++ {
		page.Records = append(page.Records, store.Record{Key: "config", Value: []byte{byte(page.End + 1)}, Offset: page.End})
	}

	return page, nil
}

// Guards against a storm of versions that each daemon of a fleet reads one by one, and against a last version that is in
// force late because of the pauses.
func TestStormOfVersions(t *testing.T) {
	const (
		inForce  = 3 * time.Second
		interval = 60 * time.Millisecond
		versions = 25
	)

	synctest.Test(t, func(t *testing.T) {
		topic := &storming{interval: interval, started: time.Now(), last: versions}
		newest := uint64(0)

		// The decoder notes what was read; an error keeps the reducer out of the test.
		decode := func(data []byte) (uint64, manifest.Manifest, error) {
			newest = uint64(data[0])

			return 0, manifest.Manifest{}, errors.New("not applied")
		}

		d := &Daemon{
			platform: Platform{Configuration: topic, ConfigKey: "config", Decode: decode},
			log:      eventlog.New(zerolog.Nop()), rereadConfig: make(chan struct{}, 1), storeAnswered: make(chan struct{}),
		}

		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)

		go func() { ended <- d.followConfiguration(ctx) }()

		time.Sleep((versions - 1) * interval)
		time.Sleep(inForce)
		synctest.Wait()
		require.EqualValues(t, versions, newest)
		// One call waits at the end; the others are at least half of the pause apart.
		require.LessOrEqual(t, topic.reads, int(versions*interval/(updatePause/2))+2)

		cancel()
		require.NoError(t, <-ended)
	})
}

// Guards against a daemon that a store refuses and that calls it, at a price, as often as if it served it; and
// against one that does not call it soon when it hears of a newer configuration.
func TestFollowPausesWhileRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &refusing{}
		d := &Daemon{
			platform: Platform{Configuration: topic}, log: eventlog.New(zerolog.Nop()), rereadConfig: make(chan struct{}, 1),
		}
		d.version.Store(4)

		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)

		go func() { ended <- d.followConfiguration(ctx) }()

		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.LessOrEqual(t, len(topic.calls), 10)

		before := len(topic.calls)
		d.rereadConfig <- struct{}{}

		synctest.Wait()
		require.Len(t, topic.calls, before+1)

		cancel()
		require.NoError(t, <-ended)
	})
}
