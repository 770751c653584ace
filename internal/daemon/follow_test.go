package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// refusingTopic is a topic of a store that refuses all calls. It records their times.
type refusingTopic struct {
	ConfigurationTopic

	calls []time.Time
}

func (r *refusingTopic) Newest(context.Context) (store.Page, error) {
	r.calls = append(r.calls, time.Now())

	return store.Page{}, errors.New("refused")
}

// updatingTopic is a topic that gets a new version of the configuration at each interval, until the version last.
type updatingTopic struct {
	ConfigurationTopic

	interval time.Duration
	started  time.Time
	last     int64
	reads    int
	// answers is the number of reads that brought records.
	answers int
}

func (s *updatingTopic) Newest(context.Context) (store.Page, error) { return store.Page{}, nil }

func (s *updatingTopic) Await(_, waiting context.Context, at store.Position, wait time.Duration) (store.Page, error) {
	from := at.Offset
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

	if len(page.Records) > 0 {
		s.answers++
	}

	return page, nil
}

// Guards against daemons that make one call for each of many versions in quick succession, and against a last version
// that is in force late because of the pauses between calls.
func TestFrequentVersions(t *testing.T) {
	const (
		maxDelay = 3 * time.Second
		interval = 60 * time.Millisecond
		versions = 25
	)

	synctest.Test(t, func(t *testing.T) {
		topic := &updatingTopic{interval: interval, started: time.Now(), last: versions}
		newest := uint64(0)

		// The decoder stores the version that was read. It returns an error so that the test needs no reducer.
		decode := func(data []byte) (uint64, manifest.Manifest, error) {
			newest = uint64(data[0])

			return 0, manifest.Manifest{}, errors.New("not applied")
		}

		d := &Daemon{
			platform: Platform{Configuration: topic, ConfigKey: "config", Decode: decode},
			log:      eventlog.New(zerolog.Nop()), rereadConfig: make(chan reread, 1), storeAnswered: make(chan struct{}),
			state: core.New(core.Options{}),
		}

		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)

		go func() { ended <- d.followConfiguration(ctx) }()

		time.Sleep((versions - 1) * interval)
		time.Sleep(maxDelay)
		synctest.Wait()
		require.EqualValues(t, versions, newest)
		// Calls that bring records are at least half of updatePause apart. After the last of them, one call follows the
		// other, each of which waits for shortWait.
		require.LessOrEqual(t, topic.answers, int(versions*interval/(updatePause/2))+1)
		require.LessOrEqual(t, topic.reads-topic.answers, int(maxDelay/shortWait)+1)

		cancel()
		require.NoError(t, <-ended)
	})
}

// Guards against a daemon that calls a store without pauses while it refuses the calls, which are billed, and against
// one that does not call the store at once when another daemon has a newer configuration.
func TestFollowPausesWhileRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &refusingTopic{}
		d := &Daemon{
			platform: Platform{Configuration: topic}, log: eventlog.New(zerolog.Nop()), rereadConfig: make(chan reread, 1),
			state: core.New(core.Options{}),
		}
		d.version.Store(4)

		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)

		go func() { ended <- d.followConfiguration(ctx) }()

		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.LessOrEqual(t, len(topic.calls), 10)

		before := len(topic.calls)
		d.rereadConfig <- reread{}

		synctest.Wait()
		require.Len(t, topic.calls, before+1)

		cancel()
		require.NoError(t, <-ended)
	})
}

// returningTopic is a topic of a store that refuses all calls until a time. It records the time of the first answer.
type returningTopic struct {
	ConfigurationTopic

	returns, answered time.Time
}

func (r *returningTopic) Newest(context.Context) (store.Page, error) {
	if time.Now().Before(r.returns) {
		return store.Page{}, errors.New("refused")
	}

	if r.answered.IsZero() {
		r.answered = time.Now()
	}

	return store.Page{}, nil
}

func (r *returningTopic) Await(_, waiting context.Context, _ store.Position, _ time.Duration) (store.Page, error) {
	<-waiting.Done()

	return store.Page{}, waiting.Err()
}

// Guards against a configuration that is in force late after an outage of the store because a daemon that hears of it
// from no other one pauses for too long between its reads.
func TestFollowAfterOutage(t *testing.T) {
	// The configuration has to be in force 3 s after the return of the store, and connecting may take one of them.
	const maxPause = 2 * time.Second

	for seconds := range 24 {
		synctest.Test(t, func(t *testing.T) {
			topic := &returningTopic{returns: time.Now().Add(time.Duration(seconds) * time.Second)}
			d := &Daemon{
				platform: Platform{Configuration: topic}, log: eventlog.New(zerolog.Nop()),
				rereadConfig: make(chan reread, 1), storeAnswered: make(chan struct{}), state: core.New(core.Options{}),
			}
			d.version.Store(4)

			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)

			go func() { ended <- d.followConfiguration(ctx) }()

			time.Sleep(time.Minute)
			synctest.Wait()
			cancel()
			require.NoError(t, <-ended)
			require.LessOrEqual(t, topic.answered.Sub(topic.returns), maxPause)
		})
	}
}
