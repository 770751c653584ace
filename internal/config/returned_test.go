package config_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/config"
	standin "github.com/tarragonmill/tarragonmill/internal/standin/store"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/platform"
)

// Guards against a version that is given out twice with different manifests, or is lower than one in force, because the
// store came back from an older copy and lacks the newest versions.
func TestVersionsAfterReturn(t *testing.T) {
	s, p := startStore(t)

	kept, err := p.Publish(t.Context(), "kept", nil)
	require.NoError(t, err)

	time.Sleep(20 * time.Millisecond)

	lostAt := time.Now()
	highest := kept.Publish.Version

	for range 3 {
		lost, err := p.Publish(t.Context(), "lost", nil)
		require.NoError(t, err)

		highest = lost.Publish.Version
	}

	s.Restore(time.Since(lostAt))

	base := kept.Publish.Version
	result, err := p.Publish(t.Context(), "new", &base)
	require.NoError(t, err)
	require.Equal(t, config.Accepted, result.Outcome)
	require.Greater(t, result.Publish.Version, highest)
	require.EqualValues(t, 2, result.Publish.Version>>32)

	next, err := p.Publish(t.Context(), "next", nil)
	require.NoError(t, err)
	require.Equal(t, result.Publish.Version+1, next.Publish.Version)
}

// returningLog is a topic whose store comes back from an older copy between the read of a publisher and its append. Then
// another publisher appends, so that the topic ends at the same offset again.
type returningLog struct {
	config.Log

	comeBack func()
	// loseResponse makes the response to the next append get lost.
	loseResponse func(lose bool)
}

func (l *returningLog) AppendAt(ctx context.Context, end store.Position, records ...store.Record) error {
	if l.comeBack == nil {
		return l.Log.AppendAt(ctx, end, records...) //nolint:wrapcheck // This is the log itself.
	}

	l.comeBack()
	l.comeBack = nil

	l.loseResponse(true)
	defer l.loseResponse(false)

	return l.Log.AppendAt(ctx, end, records...) //nolint:wrapcheck // This is the log itself.
}

// startReturning returns a publisher whose store comes back while it publishes, and the log.
func startReturning(t *testing.T, loseResponse bool) (*config.Publisher, *config.Publisher) {
	t.Helper()

	s, p := startStore(t)
	log := &returningLog{Log: startTopic(t, s), loseResponse: func(lose bool) {
		s.SetFaults(standin.Faults{DropResponses: lose && loseResponse})
	}}
	log.comeBack = func() {
		s.Restore(time.Hour)

		_, err := p.Publish(t.Context(), "other", nil)
		require.NoError(t, err)
	}

	_, err := p.Publish(t.Context(), "lost", nil)
	require.NoError(t, err)

	return config.NewPublisher(log, 2*time.Second), p
}

// Guards against a conditional append that counts as accepted although the history before it is another one: the base
// that it replaces, and the version that it gives out.
func TestConditionOfEarlierEpoch(t *testing.T) {
	for name, loseResponse := range map[string]bool{"answered": false, "response lost": true} {
		t.Run(name, func(t *testing.T) {
			returning, p := startReturning(t, loseResponse)

			result, err := returning.Publish(t.Context(), "new", nil)
			require.NoError(t, err)
			require.Equal(t, config.Accepted, result.Outcome)

			current, err := p.Current(t.Context())
			require.NoError(t, err)
			require.Equal(t, "new", current.Manifest)
			require.Equal(t, result.Publish, current.Publish)
			require.Greater(t, current.Version, uint64(2)<<32)
		})

		t.Run(name+", with a base", func(t *testing.T) {
			returning, _ := startReturning(t, loseResponse)

			base := uint64(1)
			result, err := returning.Publish(t.Context(), "new", &base)
			require.NoError(t, err)
			require.Equal(t, config.Unknown, result.Outcome)
		})
	}
}

// startTopic returns a client of its own for the topic of manifests.
func startTopic(t *testing.T, s *standin.Store) *platform.Topic {
	t.Helper()

	return newClient(t, s).Topic(platform.ManifestTopic)
}
