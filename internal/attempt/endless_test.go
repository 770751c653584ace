package attempt_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/standin/raw"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// TestEndlessReply guards against another daemon, or a process that has its address, which sends bytes without end in the
// head of a reply or before it.
func TestEndlessReply(t *testing.T) {
	const (
		maxTime   = 2 * time.Second
		maxMemory = 16 << 20
	)

	for name, test := range map[string]struct{ prefix, repeated string }{
		"processing": {repeated: "HTTP/1.1 102 Processing\r\n\r\n"},
		"continue":   {repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
		"fields":     {prefix: "HTTP/1.1 200 OK\r\n", repeated: "X-Field: value\r\n"},
		"no line":    {repeated: "x"},
		"zero":       {prefix: "HTTP/1.1 000 None\r\n\r\n", repeated: "HTTP/1.1 200 OK\r\n\r\n"},
		"no reply":   {prefix: "HTTP/1.1 200 OK\r\n\r\n", repeated: "endless"},
	} {
		t.Run(name, func(t *testing.T) {
			peer, err := raw.Serve(t.Context(), func(accepted net.Conn) {
				_, _ = io.WriteString(accepted, test.prefix)

				raw.Repeat(accepted, test.repeated)
			})
			require.NoError(t, err)

			client := newClient(t, fleetKey)
			started := time.Now()

			require.Less(t, raw.Allocated(func() {
				_, err = client.Do(t.Context(), peer, newCall(manifest.Idempotent), neverWithdraw)
			}), uint64(maxMemory))
			require.Error(t, err)
			require.Less(t, time.Since(started), maxTime)
		})
	}
}
