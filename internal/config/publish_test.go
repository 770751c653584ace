package config_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/config"
	standin "github.com/tarragonmill/tarragonmill/internal/standin/store"
	"github.com/tarragonmill/tarragonmill/platform"
)

// startStore starts a stand-in store and returns it with a publisher to it.
func startStore(t *testing.T) (*standin.Store, *config.Publisher) {
	t.Helper()

	s := standin.New()

	return s, config.NewPublisher(newClient(t, s).Topic(platform.ManifestTopic), 2*time.Second)
}

// newClient returns a client for a stand-in store.
func newClient(t *testing.T, s *standin.Store) *platform.Store {
	t.Helper()

	server := httptest.NewServer(s.Handler())
	client := platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()))

	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})

	return client
}

// Guards against two concurrent publishers that create the same version, and against a version that is skipped.
func TestConcurrentPublishers(t *testing.T) {
	_, p := startStore(t)

	const publishers = 8

	var (
		group    sync.WaitGroup
		mutex    sync.Mutex
		versions = make(map[uint64]string)
	)

	for range publishers {
		group.Go(func() {
			result, err := p.Publish(context.Background(), "text", nil)
			if err != nil || result.Outcome != config.Accepted {
				return
			}

			mutex.Lock()
			defer mutex.Unlock()

			versions[result.Publish.Version] = result.Publish.ID
		})
	}

	group.Wait()
	require.Len(t, versions, publishers)

	current, err := p.Current(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, publishers, current.Version)
	require.Equal(t, versions[publishers], current.ID)
}

// Guards against a publish that replaces a version other than the base that the operator has stated.
func TestBase(t *testing.T) {
	_, p := startStore(t)

	_, err := p.Current(t.Context())
	require.ErrorIs(t, err, config.ErrNoManifest)

	none, first := uint64(0), uint64(1)

	result, err := p.Publish(t.Context(), "one", &none)
	require.NoError(t, err)
	require.Equal(t, config.Accepted, result.Outcome)

	result, err = p.Publish(t.Context(), "other", &none)
	require.NoError(t, err)
	require.Equal(t, config.Rejected, result.Outcome)
	require.EqualValues(t, 1, result.Current.Version)

	result, err = p.Publish(t.Context(), "two", &first)
	require.NoError(t, err)
	require.EqualValues(t, 2, result.Publish.Version)
}

// Guards against a publish that takes effect but is reported as failed, or takes effect twice, because the response of
// the store was lost.
func TestLostResponse(t *testing.T) {
	store, p := startStore(t)
	store.SetFaults(standin.Faults{DropResponses: true})

	result, err := p.Publish(t.Context(), "one", nil)
	require.NoError(t, err)
	require.Equal(t, config.Accepted, result.Outcome)
	require.EqualValues(t, 1, result.Publish.Version)

	store.SetFaults(standin.Faults{})

	_, err = p.Publish(t.Context(), "two", nil)
	require.NoError(t, err)

	again, err := p.Resolve(t.Context(), result.Publish.ID)
	require.NoError(t, err)
	require.Equal(t, result.Publish, again.Publish)
}

// Guards against a publish that the store performs late and that is reported as rejected.
func TestLatePublish(t *testing.T) {
	s, p := startStore(t)
	s.SetFaults(standin.Faults{AppendDelay: 300 * time.Millisecond})

	result, err := p.Publish(t.Context(), "one", nil)
	require.NoError(t, err)
	require.Equal(t, config.Accepted, result.Outcome)
}

// Guards against an unknown outcome for a publish of which the store has said that it was not performed.
func TestStoreDown(t *testing.T) {
	s, p := startStore(t)
	s.SetFaults(standin.Faults{Down: standin.Busy})

	_, err := p.Publish(t.Context(), "one", nil)
	require.Error(t, err)

	s.SetFaults(standin.Faults{})

	_, err = p.Current(t.Context())
	require.ErrorIs(t, err, config.ErrNoManifest)
}
