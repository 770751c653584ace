package daemon_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/raw"
	"github.com/tarragonmill/tarragonmill/platform"
)

// uploadConfig has a route for orders with large bodies and one for uploads that may run twice.
const uploadConfig = `{"version":"r8",
	"routes":{"columns":["name","hostname","pathPrefix","routeType","timeoutMs","service","maxAttempts"],
		"rows":[["orders","shop.example","/","unsafe",5000,"stockdesk",3],
			["uploads","label.example","/","safe",5000,"stockdesk",3]]},
	"services":{"columns":["name"],"rows":[["stockdesk"]]}}`

// startForUploads starts a fleet on the users' platform in which uploadConfig is in force.
func startForUploads(t *testing.T) *fleet.Fleet {
	t.Helper()

	f := startOnPlatform(t)
	f.Store.Put(platform.ConfigTopic, platform.ConfigKey, []byte(uploadConfig))
	awaitVersion(t, f, 8, 10*time.Second)

	return f
}

// answerWith makes all servers respond by a function.
func answerWith(f *fleet.Fleet, answer func(*net.TCPConn, http.Header)) {
	changeBehaviours(f, func(b *backend.Behaviour) { b.Answer = answer })
}

// writeUnframed writes a response whose body ends with the connection.
func writeUnframed(connection *net.TCPConn, header http.Header, body string) {
	writeMarked(connection, header, "HTTP/1.1 200 OK\r\n", "\r\n"+body)
}

// writeMarked writes the header between the text before it and that after it. It makes one write, because a reset would
// discard later ones that wait for an acknowledgement.
func writeMarked(connection *net.TCPConn, header http.Header, before, after string) {
	var response bytes.Buffer

	_, _ = response.WriteString(before)
	_ = header.Write(&response)
	_, _ = response.WriteString(after)
	_, _ = connection.Write(response.Bytes())
}

const (
	// orderHost and uploadHost are the hosts of the routes of uploadConfig.
	orderHost  = "shop.example"
	uploadHost = "label.example"
	// uploadSize is the size in bytes of a body that does not fit into the buffers of a connection.
	uploadSize = 6 << 20
)

// upload sends a request with a body of the given size in bytes to a daemon. It returns the identifier of the attempt, the
// response and its body. The error is that of reading the body.
func upload(t *testing.T, f *fleet.Fleet, host string, entry, size int) (string, *http.Response, string, error) {
	t.Helper()

	id := uuid.NewString()

	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.Instances[entry].CallerURL()+"/orders",
		bytes.NewReader(make([]byte, size)))
	require.NoError(t, err)

	r.Host = host
	r.Header.Set(platform.Dialect().Attempt, id)

	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)

	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()

	return id, response, string(body), err
}

// runsOf returns how often an attempt ran at all servers together.
func runsOf(f *fleet.Fleet, id string) int {
	runs := 0
	for _, i := range f.Instances {
		runs += i.Server.ExecutionsByAttempt()[id].Count
	}

	return runs
}

// restoreServers makes the servers respond themselves, and sends them requests. With too few whole responses among the broken
// ones, they would count as failing and get no requests.
func restoreServers(t *testing.T, f *fleet.Fleet, host string, entry int) {
	t.Helper()

	const wholeResponses = 10

	answerWith(f, nil)

	for range wholeResponses {
		_, response, body, err := upload(t, f, host, entry, 1)
		require.NoError(t, err)
		require.Equal(t, http.StatusCreated, response.StatusCode, body)
	}
}

// TestResetDuringUpload guards against a caller that gets a part of a response as the whole, because the server answered at
// once, without a length, and reset the connection while the upload was written.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 5

	f := startForUploads(t)

	for _, delay := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
		// The larger part exceeds what a daemon keeps in memory.
		for _, part := range []int{100, 1 << 20} {
			reset := func(connection *net.TCPConn, header http.Header) {
				writeUnframed(connection, header, strings.Repeat("x", part))
				raw.ResetAfter(delay)(connection)
			}

			for _, host := range []string{orderHost, uploadHost} {
				t.Run(fmt.Sprintf("%s, %d bytes, reset after %v", host, part, delay), func(t *testing.T) {
					whole, ran := 0, 0

					for entry := range rounds {
						answerWith(f, reset)

						id, response, _, err := upload(t, f, host, entry, uploadSize)
						if response.StatusCode == http.StatusOK && err == nil {
							whole++
						}

						runs := runsOf(f, id)
						ran += runs

						if host == orderHost {
							require.LessOrEqual(t, runs, 1)
						}

						restoreServers(t, f, host, entry)
					}

					require.Zero(t, whole, "of %d parts were taken for the whole", rounds)
					require.GreaterOrEqual(t, ran, rounds, "a request has not reached a server")
				})
			}
		}
	}
}

// TestResponseBeforeEndOfUpload guards against a caller that loses a whole response without a length, because the server
// ends the connection in order before it has read the upload.
func TestResponseBeforeEndOfUpload(t *testing.T) {
	f := startForUploads(t)

	for name, end := range map[string]func(*net.TCPConn){
		"upload is not read":  func(*net.TCPConn) { time.Sleep(time.Second) },
		"upload is read":      raw.End,
		"reset after the end": raw.ResetAfter(0),
	} {
		const body = "taken"

		answerWith(f, func(connection *net.TCPConn, header http.Header) {
			writeUnframed(connection, header, body)

			_ = connection.CloseWrite()

			end(connection)
		})

		for _, host := range []string{orderHost, uploadHost} {
			t.Run(name+", "+host, func(t *testing.T) {
				for entry := range f.Instances {
					id, response, received, err := upload(t, f, host, entry, uploadSize)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, response.StatusCode, received)
					require.Equal(t, body, received)
					require.Equal(t, 1, runsOf(f, id))
				}
			})
		}
	}
}

// TestBrokenHeads guards against a caller that gets a response whose head or trailer is invalid, a body that is not that of
// the server, or a refusal that says that the request has not run.
func TestBrokenHeads(t *testing.T) {
	const (
		// entries is the number of daemons to which each request is sent.
		entries = 3
		ok      = "HTTP/1.1 200 OK\r\n"
		framed  = "Content-Length: 4\r\n\r\nbody"
	)

	f := startForUploads(t)

	for name, text := range map[string]struct{ before, after string }{
		"status 000":                    {"HTTP/1.1 000 None\r\n", framed},
		"status 000 without a length":   {"HTTP/1.1 000 None\r\n", "\r\nbody"},
		"status 000 in HTTP/1.0":        {"HTTP/1.0 000 None\r\n", framed},
		"status 000 after an interim":   {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\n", framed},
		"status 000 before a response":  {"HTTP/1.1 000 None\r\n\r\n" + ok, framed},
		"blank in a name":               {ok, "X Field: 1\r\n" + framed},
		"blank in the first name":       {ok + "X Field: 1\r\n", framed},
		"blank at the end of a name":    {ok, "X-Field : 1\r\n" + framed},
		"blank at the start of a name":  {ok, " X-Field: 1\r\n" + framed},
		"tab at the start of a name":    {ok, "\tX-Field: 1\r\n" + framed},
		"tab in a name":                 {ok, "X\tField: 1\r\n" + framed},
		"control byte in a name":        {ok, "X\x01Field: 1\r\n" + framed},
		"zero byte in a name":           {ok, "X\x00Field: 1\r\n" + framed},
		"carriage return in a name":     {ok, "X\rField: 1\r\n" + framed},
		"deleted byte in a name":        {ok, "X\x7fField: 1\r\n" + framed},
		"blank after the length":        {ok, "Content-Length : 4\r\n\r\nbody of another"},
		"blank in the length":           {ok, "Content Length: 4\r\n\r\nbody of another"},
		"blank before the length":       {ok, " Content-Length: 4\r\n\r\nbody of another"},
		"blank after the coding":        {ok, "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"coding in HTTP/1.0":            {"HTTP/1.0 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"coding and length in HTTP/1.0": {"HTTP/1.0 200 OK\r\n", "transfer-encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"blank in a name in HTTP/1.0":   {"HTTP/1.0 200 OK\r\n", "X Field: 1\r\n\r\nbody"},
		"blank in a name of an interim": {"HTTP/1.1 103 Early Hints\r\nContent-Length : 4\r\n\r\n" + ok, framed},
		"blank in a name of a trailer":  {ok, "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Field: 1\r\n\r\n"},
		"control byte in a trailer":     {ok, "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX\x01Field: 1\r\n\r\n"},
	} {
		for _, host := range []string{orderHost, uploadHost} {
			t.Run(name+", "+host, func(t *testing.T) {
				ran := 0

				for entry := range entries {
					answerWith(f, func(connection *net.TCPConn, header http.Header) {
						writeMarked(connection, header, text.before, text.after)
					})

					id, response, body, err := upload(t, f, host, entry, 1)
					require.NoError(t, err)
					require.GreaterOrEqual(t, response.StatusCode, http.StatusInternalServerError, body)
					require.True(t, strings.HasPrefix(body, "{\"title\""), body)

					runs := runsOf(f, id)
					ran += runs

					if runs > 0 {
						require.Equal(t, http.StatusBadGateway, response.StatusCode, body)
					}

					if host == orderHost {
						require.LessOrEqual(t, runs, 1)
					}

					restoreServers(t, f, host, entry)
				}

				require.GreaterOrEqual(t, ran, entries, "a request has not reached a server")
			})
		}
	}
}
