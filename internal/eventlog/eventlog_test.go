package eventlog_test

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
)

// countEvents returns the number of lines with an event, and requires that every line is complete JSON.
func countEvents(t *testing.T, text []byte, event eventlog.Event) int {
	t.Helper()

	events := 0

	for _, line := range bytes.Split(bytes.TrimSpace(text), []byte("\n")) {
		var fields map[string]any
		require.NoError(t, json.Unmarshal(line, &fields))

		if fields["event"] == string(event) {
			events++
		}
	}

	return events
}

// Guards against a log that grows with the load, against a flood of routine lines that hides failures, and against
// suppressed lines that the log does not report.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			seconds   = 5
			perSecond = 2000
			// maxLines is what the rate limit of one kind lets through in the whole test, including the burst.
			maxLines = 200 * (seconds + 1)
		)

		var out bytes.Buffer

		log := eventlog.New(zerolog.New(&out))

		for range seconds * perSecond {
			log.Routine(eventlog.Sent).Str("request", "r").Send()
			time.Sleep(time.Second / perSecond)
		}

		log.Notable(eventlog.Refused).Str("request", "r").Send()
		log.Routine(eventlog.Answered).Send()

		sent := countEvents(t, out.Bytes(), eventlog.Sent)
		require.LessOrEqual(t, sent, maxLines)
		require.Equal(t, 1, countEvents(t, out.Bytes(), eventlog.Refused))
		require.GreaterOrEqual(t, countEvents(t, out.Bytes(), eventlog.LinesSuppressed), seconds-1)
		require.GreaterOrEqual(t, int(log.SuppressedLines()), seconds*perSecond-sent)
	})
}

// blockedWriter blocks in Write until release is closed, like a pipe that nobody reads.
type blockedWriter struct {
	mutex   sync.Mutex
	release chan struct{}
	written int
}

func (s *blockedWriter) Write(data []byte) (int, error) {
	<-s.release

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.written += len(data)

	return len(data), nil
}

// Guards against a daemon that blocks because nobody reads its standard output, against a queue that grows without
// bound in that state, and against lines that are still in the queue when Run returns.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines, size = 5000, 1000

		out := &blockedWriter{release: make(chan struct{})}
		queue := eventlog.NewQueue(out)
		ctx, cancel := context.WithCancel(t.Context())

		go queue.Run(ctx)

		line := append(bytes.Repeat([]byte("x"), size-1), '\n')

		for range lines {
			n, err := queue.Write(line)
			require.NoError(t, err)
			require.Equal(t, size, n)
			time.Sleep(time.Millisecond)
		}

		// One flush blocks in Write, and the queue behind it is full.
		dropped := int(queue.Dropped())
		require.Positive(t, dropped)

		cancel()
		close(out.release)
		<-queue.Done()

		require.Equal(t, (lines-dropped)*size, out.written)
		require.LessOrEqual(t, out.written, 2<<20)
	})
}
