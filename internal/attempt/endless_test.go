package attempt_test

import (
	"io"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
		"no reply":   {prefix: "HTTP/1.1 200 OK\r\n\r\n", repeated: "endless"},
	} {
		t.Run(name, func(t *testing.T) {
			peer := serveEndlessReply(t, test.prefix, test.repeated)
			client := newClient(t, fleetKey)

			var before, after runtime.MemStats

			runtime.ReadMemStats(&before)

			started := time.Now()
			_, err := client.Do(t.Context(), peer, newCall(manifest.Idempotent), neverWithdraw)

			require.Error(t, err)
			require.Less(t, time.Since(started), maxTime)
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxMemory))
		})
	}
}

// serveEndlessReply starts a server that answers each connection with a prefix and a text that it repeats until its peer
// closes the connection.
func serveEndlessReply(t *testing.T, prefix, repeated string) netip.AddrPort {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	block := []byte(strings.Repeat(repeated, 1+(16<<10)/len(repeated)))

	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}

			go func() {
				defer accepted.Close()

				_, err := io.WriteString(accepted, prefix)
				for err == nil {
					_, err = accepted.Write(block)
				}
			}()
		}
	}()

	return netip.MustParseAddrPort(listener.Addr().String())
}
