package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/daemon"
	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Guards against a panic during one event that ends the process, keeps the request from ever ending, keeps its slot
// occupied, or stops the event loop.
func TestPanicIsContained(t *testing.T) {
	t.Parallel()

	const (
		deadline = 300 * time.Millisecond
		slack    = time.Second
		slots    = 2
	)

	// panicOn is the type of the next event at which the observer panics. The type int, which no event has, disarms it.
	var panicOn atomic.Value

	observe := func(instance.ID) daemon.Observer {
		return func(_ time.Time, event core.Event, _ []core.Effect) {
			if kind, ok := panicOn.Load().(reflect.Type); ok && kind == reflect.TypeOf(event) {
				panicOn.Store(reflect.TypeOf(0))
				panic(fmt.Sprintf("test: %T", event))
			}
		}
	}

	nodes := []fleet.Node{faultyNode(backend.None), faultyNode(backend.None)}
	nodes[1].ID = "stockdesk-2"
	nodes[0].Slots, nodes[1].Slots = slots, slots

	f, err := fleet.Start(t.Context(), nodes, fleet.WithObserver(observe))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })

	_, err = f.Publish(t.Context(), strings.ReplaceAll(fleet.Manifest, "deadline = 2s", "deadline = "+deadline.String()))
	require.NoError(t, err)

	events := []core.Event{
		core.RequestArrived{},
		core.AttemptArrived{},
		routing.Accepted{},
		core.AttemptServed{},
		core.AttemptEnded{},
		core.Tick{},
		health.Ran{},
		membership.BeatHeard{},
		core.RequestCancelled{},
	}

	// There are as many rounds as slots of all servers, so that slots that stay occupied would make later requests fail.
	for range 2 * slots {
		for _, event := range events {
			panicOn.Store(reflect.TypeOf(event))

			startTime := time.Now()
			response, body := doRequest(t, http.MethodGet, f.Instances[0].CallerURL()+"/stock/1", "stockdesk", "", "")
			require.Less(t, time.Since(startTime), deadline+slack, "%T", event)
			require.Contains(t, []int{200, 502, 503, 504}, response.StatusCode, "%T: %s", event, body)
		}
	}

	panicOn.Store(reflect.TypeOf(0))

	for range 2 * slots {
		response, body := doRequest(t, http.MethodGet, f.Instances[0].CallerURL()+"/stock/1", "stockdesk", "", "")
		require.Equal(t, http.StatusOK, response.StatusCode, body)
	}
}

// Guards against a configuration record that ends the process by a panic of the decoder, or keeps later records from
// being read.
func TestPanicInDecoder(t *testing.T) {
	t.Parallel()

	// badVersion is the version at which the decoder panics.
	const badVersion = 2

	f, err := fleet.Start(t.Context(), []fleet.Node{faultyNode(backend.None)}, fleet.WithPlatformChange(func(
		p *daemon.Platform,
	) {
		decode := p.Decode
		p.Decode = func(data []byte) (uint64, manifest.Manifest, error) {
			version, m, err := decode(data)
			if version == badVersion {
				panic("test: decoder")
			}

			return version, m, err
		}
	}))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })

	_, err = f.Publish(t.Context(), fleet.Manifest)
	require.NoError(t, err)

	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()

	_, err = f.Publish(ctx, fleet.Manifest)
	require.Error(t, err)

	_, err = f.Publish(t.Context(), fleet.Manifest)
	require.NoError(t, err)
	require.EqualValues(t, badVersion+1, f.Instances[0].Daemon.Version())
}
