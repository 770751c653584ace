package config_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
	"github.com/tarragonmill/tarragonmill/internal/standin/logstore"
)

// newLog serves a stand-in of the log service on loopback and returns a client for it.
func newLog(t *testing.T, options ...logstore.Option) (*logstore.Store, *logservice.Client) {
	t.Helper()

	store := logstore.New(options...)
	url, stop, err := store.Start(context.Background())
	require.NoError(t, err)

	client, err := logservice.New(url, logservice.WithTimeout(time.Second))
	require.NoError(t, err)
	t.Cleanup(func() {
		client.Close()
		require.NoError(t, stop())
		goleak.VerifyNone(t)
	})

	return store, client
}

// Guards against two operators both being told that their change on one base was accepted, or
// neither.
func TestTwoOperatorsAtOnce(t *testing.T) {
	store, client := newLog(t)
	store.SetFaults(logstore.Faults{Latency: 5 * time.Millisecond})

	for round := uint64(0); round < 10; round++ {
		var (
			group   errgroup.Group
			results [2]config.Result
		)

		for i := range results {
			group.Go(func() (err error) {
				results[i], err = config.NewPublisher(client).PublishOver(t.Context(), round, "manifest")

				return err
			})
		}

		require.NoError(t, group.Wait())

		winner, loser := results[0], results[1]
		if winner.Outcome != config.OutcomeAccepted {
			winner, loser = loser, winner
		}

		require.Equal(t, config.Result{
			Outcome: config.OutcomeAccepted, ID: winner.ID, Version: round + 1, Winner: winner.ID,
		}, winner)
		require.Equal(t, config.Result{
			Outcome: config.OutcomeRejected, ID: loser.ID, Version: round + 1, Winner: winner.ID, Reason: config.Outdated,
		}, loser)
	}
}

// Guards against a publish whose append answer was lost being repeated, or reported as failed.
func TestLostAppendAnswer(t *testing.T) {
	store, client := newLog(t, logstore.WithFaults(logstore.Faults{Lose: 1}))

	result, err := config.NewPublisher(client).Publish(t.Context(), "manifest")
	require.NoError(t, err)
	require.Equal(t, config.OutcomeAccepted, result.Outcome)
	require.Equal(t, uint64(1), result.Version)
	require.Equal(t, uint64(1), store.Counts().Appends)
}

// Guards against an open outcome being reported as a failure: the operator would publish twice.
func TestUnknownOutcomeIsResolvedLater(t *testing.T) {
	store, client := newLog(t, logstore.WithFaults(logstore.Faults{Lose: 1, Stale: time.Hour}))
	publisher := config.NewPublisher(client, config.WithWait(500*time.Millisecond))

	result, err := publisher.Publish(t.Context(), "manifest")
	require.NoError(t, err)
	require.Equal(t, config.Result{ID: result.ID}, result)

	store.SetFaults(logstore.Faults{})

	result, err = publisher.Resolve(t.Context(), result.ID)
	require.NoError(t, err)
	require.Equal(t, config.OutcomeAccepted, result.Outcome)
}

// Guards against an outage being reported as an unknown outcome, and against publishing over a log
// that lacks decisive records.
func TestPublishIsRefused(t *testing.T) {
	store, client := newLog(t)
	publisher := config.NewPublisher(client)

	store.SetFaults(logstore.Faults{Outage: logstore.Refuse})

	_, err := publisher.Publish(t.Context(), "manifest")
	require.ErrorIs(t, err, config.ErrUnavailable)

	store.SetFaults(logstore.Faults{})

	for range 3 {
		_, err = publisher.Publish(t.Context(), "manifest")
		require.NoError(t, err)
	}

	store.Expire(record.ConfigStream, 2)

	_, err = publisher.Publish(t.Context(), "manifest")
	require.ErrorIs(t, err, config.ErrNoBase)

	snapshot := record.Snapshot{Version: 3, Through: 3, Manifest: "manifest", ID: "third"}
	store.Append(record.ConfigStream, record.EncodeConfig(snapshot))

	result, err := publisher.Publish(t.Context(), "manifest")
	require.NoError(t, err)
	require.Equal(t, uint64(4), result.Version)

	_, err = publisher.PublishOver(t.Context(), 3, "manifest")
	require.ErrorIs(t, err, config.ErrOutdated)

	invalid := config.WithCheck(func(string) error { return errors.New("no service") })
	_, err = config.NewPublisher(client, invalid).Publish(context.Background(), "manifest")
	require.ErrorIs(t, err, config.ErrInvalid)
	require.Equal(t, uint64(5), store.Counts().Appends)
}

// Guards against a log that lost the current version staying without one for ever, and against two
// operators both being told that they restarted it.
func TestRestartAfterExpiry(t *testing.T) {
	store, client := newLog(t)
	publisher := config.NewPublisher(client)

	for range 3 {
		_, err := publisher.Publish(t.Context(), "manifest")
		require.NoError(t, err)
	}

	_, err := publisher.Restart(t.Context(), "manifest")
	require.ErrorIs(t, err, config.ErrHasBase)

	store.Expire(record.ConfigStream, 3)
	store.SetFaults(logstore.Faults{Latency: 5 * time.Millisecond})

	var (
		group   errgroup.Group
		results [2]config.Result
	)

	for i := range results {
		group.Go(func() (err error) {
			results[i], err = publisher.Restart(t.Context(), "manifest")

			return err
		})
	}

	require.NoError(t, group.Wait())

	outcomes := []config.Outcome{results[0].Outcome, results[1].Outcome}
	require.ElementsMatch(t, []config.Outcome{config.OutcomeAccepted, config.OutcomeRejected}, outcomes)
	require.Equal(t, results[0].Winner, results[1].Winner)

	result, err := publisher.Publish(t.Context(), "next")
	require.NoError(t, err)
	require.Equal(t, uint64(5), result.Version)
}
