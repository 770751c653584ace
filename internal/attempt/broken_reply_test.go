package attempt_test

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/standin/raw"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// servePeer starts a process at the address of a daemon that sends a response before it has read the body of a request, and
// then ends the connection with end.
func servePeer(t *testing.T, response string, end func(*net.TCPConn)) netip.AddrPort {
	t.Helper()

	address, err := raw.ServeResponse(t.Context(), response, end)
	require.NoError(t, err)

	return address
}

// replyHead returns the head of a reply to newCall, without its end and without the length of its body.
func replyHead(status string) string {
	return "HTTP/1.1 " + status + "\r\nTarragonmill-Reply: request=r-1&attempt=4&verdict=answered&status=200\r\n"
}

// TestResetDuringCall guards against a reply that looks whole because its connection was reset while the call was written.
func TestResetDuringCall(t *testing.T) {
	const (
		rounds   = 20
		bodySize = 6 << 20
	)

	for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
		for _, delay := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
			t.Run(fmt.Sprintf("%q, reset after %v", interim, delay), func(t *testing.T) {
				peer := servePeer(t, interim+replyHead("200 OK")+"\r\npart", raw.ResetAfter(delay))
				client := newClient(t, fleetKey)

				call := newCall(manifest.Idempotent)
				if interim != "" {
					call = newCall(manifest.NonIdempotent)
				}

				call.Body = make([]byte, bodySize)

				for range rounds {
					_, err := readReply(t, client, peer, call)
					require.Error(t, err)
					require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
				}
			})
		}
	}
}

// readReply sends a call and returns the body of the reply. An error of the body has the zero verdict.
func readReply(t *testing.T, client *attempt.Client, peer netip.AddrPort, call attempt.Call) (string, error) {
	t.Helper()

	response, err := client.Do(t.Context(), peer, call, neverWithdraw)
	if err != nil {
		return "", err
	}

	defer func() { require.NoError(t, response.Body.Close()) }()

	body, err := io.ReadAll(response.Body)

	return string(body), err
}

// TestBrokenReplies guards against a reply of another daemon, or of a process that has its address, whose head is invalid, and
// against a reply whose body another parser would end elsewhere.
func TestBrokenReplies(t *testing.T) {
	const framed = "Content-Length: 4\r\n\r\nbody"

	for name, text := range map[string]string{
		"status 000":                 replyHead("000 None") + framed,
		"status 000 before a reply":  "HTTP/1.1 000 None\r\n\r\n" + replyHead("200 OK") + framed,
		"blank in a name":            replyHead("200 OK") + "X Field: 1\r\n" + framed,
		"blank at the start":         replyHead("200 OK") + " X-Field: 1\r\n" + framed,
		"tab at the start":           replyHead("200 OK") + "\tX-Field: 1\r\n" + framed,
		"control byte in a name":     replyHead("200 OK") + "X\x01Field: 1\r\n" + framed,
		"blank after the length":     replyHead("200 OK") + "Content-Length : 4\r\n\r\nbody of another",
		"blank in a name of interim": "HTTP/1.1 100 Continue\r\nContent-Length : 4\r\n\r\n" + replyHead("200 OK") + framed,
		"blank in a trailer":         replyHead("200 OK") + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Field: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			peer := servePeer(t, text, raw.End)

			_, err := readReply(t, newClient(t, fleetKey), peer, newCall(manifest.Idempotent))
			require.Error(t, err)
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		})
	}
}

// TestBrokenConfiguration guards against a configuration of another daemon that is taken from an invalid response.
func TestBrokenConfiguration(t *testing.T) {
	whole := string(attempt.EncodeConfiguration(attempt.Configuration{Version: 9, Record: []byte("record")}))

	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 None\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Field: 1\r\n",
		"blank after the length": "HTTP/1.1 200 OK\r\nContent-Length : 4000\r\n",
		"control byte":           "HTTP/1.1 200 OK\r\nX\x01Field: 1\r\n",
		"interim":                "HTTP/1.1 103 Early Hints\r\nX Field: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			peer := servePeer(t, head+"\r\n"+whole, raw.End)

			_, err := newClient(t, fleetKey).FetchConfiguration(t.Context(), peer, 8, store.Position{})
			require.Error(t, err)
			require.NotErrorIs(t, err, attempt.ErrNoConfiguration)
		})
	}
}

// TestResetDuringFetch guards against a part of a configuration that looks whole because its connection was reset.
func TestResetDuringFetch(t *testing.T) {
	const rounds = 20

	whole := string(attempt.EncodeConfiguration(attempt.Configuration{Version: 9, Record: []byte("record")}))

	for _, delay := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
		t.Run(fmt.Sprintf("reset after %v", delay), func(t *testing.T) {
			peer := servePeer(t, "HTTP/1.1 200 OK\r\n\r\n"+whole, raw.ResetAfter(delay))
			client := newClient(t, fleetKey)

			for range rounds {
				_, err := client.FetchConfiguration(t.Context(), peer, 8, store.Position{})
				require.Error(t, err)
			}
		})
	}
}

// TestBrokenHandoverAnswers guards against a part of a key table that counts as delivered by an invalid response.
func TestBrokenHandoverAnswers(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"

	for name, text := range map[string]string{
		"status 000":                 "HTTP/1.1 000 None\r\n" + empty,
		"status 000 before another":  "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n" + empty,
		"blank in a name":            "HTTP/1.1 200 OK\r\nX Field: 1\r\n" + empty,
		"blank at the start":         "HTTP/1.1 200 OK\r\nX-Other: 1\r\n X-Field: 1\r\n" + empty,
		"control byte in a name":     "HTTP/1.1 200 OK\r\nX\x01Field: 1\r\n" + empty,
		"blank in a name of interim": "HTTP/1.1 103 Early Hints\r\nX Field: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + empty,
	} {
		t.Run(name, func(t *testing.T) {
			require.Error(t, newClient(t, fleetKey).SendHandover(t.Context(), servePeer(t, text, raw.End), []byte("{}")))
		})
	}

	require.NoError(t, newClient(t, fleetKey).SendHandover(
		t.Context(), servePeer(t, "HTTP/1.1 200 OK\r\n"+empty, raw.End), []byte("{}")))
}
