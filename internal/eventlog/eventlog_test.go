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

// count returns the number of lines with an event, and requires that every line is whole.
func count(t *testing.T, text []byte, event eventlog.Event) int {
	t.Helper()

	found := 0

	for _, line := range bytes.Split(bytes.TrimSpace(text), []byte("\n")) {
		var fields map[string]any
		require.NoError(t, json.Unmarshal(line, &fields))

		if fields["event"] == string(event) {
			found++
		}
	}

	return found
}

// Guards against a log that grows with the load, against a flood of usual lines that hides failures, and against lines
// that are left out without a word.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			seconds   = 5
			perSecond = 2000
			// allowed is the allowance of one kind in the whole time, with what may come at once.
			allowed = 200 * (seconds + 1)
		)

		var out bytes.Buffer

		log := eventlog.New(zerolog.New(&out))

		for range seconds * perSecond {
			log.Routine(eventlog.Sent).Str("request", "r").Send()
			time.Sleep(time.Second / perSecond)
		}

		log.Notable(eventlog.Refused).Str("request", "r").Send()
		log.Routine(eventlog.Answered).Send()

		sent := count(t, out.Bytes(), eventlog.Sent)
		require.LessOrEqual(t, sent, allowed)
		require.Equal(t, 1, count(t, out.Bytes(), eventlog.Refused))
		require.GreaterOrEqual(t, count(t, out.Bytes(), eventlog.LeftOut), seconds-1)
		require.GreaterOrEqual(t, int(log.LeftOut()), seconds*perSecond-sent)
	})
}

// stuck is an output whose reader has stopped.
type stuck struct {
	mutex   sync.Mutex
	release chan struct{}
	written int
}

func (s *stuck) Write(data []byte) (int, error) {
	<-s.release

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.written += len(data)

	return len(data), nil
}

// Guards against a daemon that stops because nobody reads its standard output, against a queue that grows without a
// bound meanwhile, and against lines that stay in the queue at the end.
func TestStuckOutputHoldsUpNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines, size = 5000, 1000

		out := &stuck{release: make(chan struct{})}
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

		// One flush is stuck in Write, and at most a full queue waits.
		dropped := int(queue.Dropped())
		require.Positive(t, dropped)

		cancel()
		close(out.release)
		<-queue.Done()

		require.Equal(t, (lines-dropped)*size, out.written)
		require.LessOrEqual(t, out.written, 2<<20)
	})
}
