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

func start(t *testing.T) (*standin.Store, *config.Publisher) {
	t.Helper()

	s := standin.New()
	server := httptest.NewServer(s.Handler())
	client := platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()))

	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})

	return s, config.NewPublisher(client.Topic(platform.ManifestTopic), 2*time.Second)
}

// Guards against a version that two operators make at the same moment, and against one that is skipped.
func TestTwoOperatorsAtOnce(t *testing.T) {
	_, p := start(t)

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

// Guards against a publish over a version that the operator has not seen.
func TestBase(t *testing.T) {
	_, p := start(t)

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

// Guards against a publish that took effect and is reported as failed, or is made twice, because its answer was
// lost.
func TestLostAnswer(t *testing.T) {
	s, p := start(t)
	s.Set(standin.Faults{LoseAnswers: true})

	result, err := p.Publish(t.Context(), "one", nil)
	require.NoError(t, err)
	require.Equal(t, config.Accepted, result.Outcome)
	require.EqualValues(t, 1, result.Publish.Version)

	s.Set(standin.Faults{})

	_, err = p.Publish(t.Context(), "two", nil)
	require.NoError(t, err)

	again, err := p.Resolve(t.Context(), result.Publish.ID)
	require.NoError(t, err)
	require.Equal(t, result.Publish, again.Publish)
}

// Guards against a publish that is performed late and is reported as one that never will be.
func TestLatePublish(t *testing.T) {
	s, p := start(t)
	s.Set(standin.Faults{Late: 300 * time.Millisecond})

	result, err := p.Publish(t.Context(), "one", nil)
	require.NoError(t, err)
	require.Equal(t, config.Accepted, result.Outcome)
}

// Guards against a failure that is reported as an unknown outcome although the store says that nothing was done.
func TestStoreDown(t *testing.T) {
	s, p := start(t)
	s.Set(standin.Faults{Down: standin.Busy})

	_, err := p.Publish(t.Context(), "one", nil)
	require.Error(t, err)

	s.Set(standin.Faults{})

	_, err = p.Current(t.Context())
	require.ErrorIs(t, err, config.ErrNoManifest)
}
