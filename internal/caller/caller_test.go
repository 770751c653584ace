package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/caller"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const manifestText = `[service stockdesk]
hosts = stockdesk
probes = 0
bytes = 0
[rule stockdesk orders]
methods = POST
path = /orders
kind = non-idempotent
deadline = 5s
body = 10
[rule stockdesk lookup]
methods = GET
path = /stock/{id}
kind = idempotent
deadline = 2s
body = 0
`

var now = time.Unix(1_800_000_000, 0)

// fake records submissions and answers them all in the same way.
type fake struct {
	submitted []caller.Submission
	result    caller.Result
}

func (f *fake) Submit(_ context.Context, s caller.Submission) caller.Result {
	f.submitted = append(f.submitted, s)

	return f.result
}

// Parent knows one nested call.
func (f *fake) Parent(call string) (request.Request, bool) {
	if call != "parent.0" {
		return request.Request{}, false
	}

	return request.Request{Depth: 3, Deadline: now.Add(time.Second)}, true
}

func serve(t *testing.T, f *fake) string {
	t.Helper()

	parsed, err := manifest.Parse("manifest", []byte(manifestText))
	require.NoError(t, err)
	matcher, err := manifest.NewMatcher(parsed)
	require.NoError(t, err)

	handler := caller.NewHandler(func() caller.Matcher { return matcher }, f, f, func() time.Time { return now })
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)

	return strings.TrimPrefix(server.URL, "http://")
}

// raw sends bytes and returns the response.
func raw(t *testing.T, address, text string) *http.Response {
	t.Helper()

	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })

	_, err = io.WriteString(connection, text)
	require.NoError(t, err)

	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)

	return response
}

// Guards against a request that is passed on although its framing is ambiguous, it is too large, or nothing
// is known of it, and against a refusal without the verdict that nothing ran.
func TestRefusedRequests(t *testing.T) {
	f := &fake{}
	address := serve(t, f)

	for name, test := range map[string]struct {
		text   string
		status int
		reason caller.Reason
	}{
		"unknown host":    {"GET /stock/1 HTTP/1.1\r\nHost: other\r\n\r\n", http.StatusNotFound, caller.NoRule},
		"unknown path":    {"GET /secret HTTP/1.1\r\nHost: stockdesk\r\n\r\n", http.StatusNotFound, caller.NoRule},
		"large body":      {"POST /orders HTTP/1.1\r\nHost: stockdesk\r\nContent-Length: 11\r\n\r\n12345678901", http.StatusRequestEntityTooLarge, caller.BodyTooLarge},
		"large chunks":    {"POST /orders HTTP/1.1\r\nHost: stockdesk\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n12345678901\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge, caller.BodyTooLarge},
		"broken chunks":   {"POST /orders HTTP/1.1\r\nHost: stockdesk\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest, caller.BodyBroken},
		"upgrade":         {"GET /stock/1 HTTP/1.1\r\nHost: stockdesk\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", http.StatusNotImplemented, caller.Unsupported},
		"connect":         {"CONNECT stockdesk:80 HTTP/1.1\r\nHost: stockdesk\r\n\r\n", http.StatusNotImplemented, caller.Unsupported},
		"two lengths":     {"POST /orders HTTP/1.1\r\nHost: stockdesk\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest, ""},
		"bad coding":      {"POST /orders HTTP/1.1\r\nHost: stockdesk\r\nTransfer-Encoding: chunked, identity\r\n\r\n", http.StatusNotImplemented, ""},
		"control in name": {"POST /orders HTTP/1.1\r\nHost: stockdesk\r\nX\x01Y: 1\r\n\r\n", http.StatusBadRequest, ""},
	} {
		t.Run(name, func(t *testing.T) {
			response := raw(t, address, test.text)
			require.Equal(t, test.status, response.StatusCode)

			if test.reason == "" {
				return
			}

			var problem struct{ Verdict, Delivery, Reason string }

			require.Equal(t, "application/problem+json", response.Header.Get("Content-Type"))
			require.NoError(t, json.NewDecoder(response.Body).Decode(&problem))
			require.Equal(t, verdict.NotRun.String(), problem.Verdict)
			require.Equal(t, verdict.NotRun.String(), problem.Delivery)
			require.Equal(t, string(test.reason), problem.Reason)
		})
	}

	require.Empty(t, f.submitted)
}

// Guards against a caller that sets headers of the protocol between daemons, and against a length that
// stands beside a transfer coding.
func TestPassedOn(t *testing.T) {
	f := &fake{result: caller.Result{Response: &attempt.Response{
		Reply:  attempt.Reply{Status: http.StatusCreated, Size: 5},
		Header: http.Header{"Etag": {`"x"`}},
		Body:   io.NopCloser(strings.NewReader("taken")),
	}}}
	address := serve(t, f)

	response := raw(t, address, "POST /orders?a=1 HTTP/1.1\r\nHost: StockDesk:80\r\nTransfer-Encoding: chunked\r\n"+
		"Connection: close, X-Secret\r\nX-Secret: 1\r\nTarragonmill-Verdict: not-run\r\nTarragonmill-Call: parent.0\r\n"+
		"Idempotency-Key: k\r\nX-Kept: 1\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	require.Equal(t, http.StatusCreated, response.StatusCode)
	require.Equal(t, int64(5), response.ContentLength)
	require.Equal(t, verdict.Answered.String(), response.Header.Get("Tarragonmill-Verdict"))

	sent := f.submitted[0]
	require.Equal(t, "/orders?a=1", sent.Target)
	require.Equal(t, []byte("ab"), sent.Body)
	require.Equal(t, http.Header{"Idempotency-Key": {"k"}, "X-Kept": {"1"}}, sent.Header)
	// The nested call has a second left, less than its rule allows.
	require.Equal(t, 4, sent.Request.Depth)
	require.Equal(t, now.Add(time.Second), sent.Request.Deadline)
	require.False(t, sent.Request.Idempotent())
}

// Guards against a refusal that is held back or does not say when to come back.
func TestFinalRefusal(t *testing.T) {
	f := &fake{result: caller.Result{Refusal: caller.Refusal{
		Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: "overloaded", RetryAfter: 1200 * time.Millisecond,
	}}}
	response := raw(t, serve(t, f), "GET /stock/1 HTTP/1.1\r\nHost: stockdesk\r\n\r\n")

	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "2", response.Header.Get("Retry-After"))
}

// Guards against a response that is shorter than stated and ends as if it were whole.
func TestBrokenResponse(t *testing.T) {
	f := &fake{result: caller.Result{Response: &attempt.Response{
		Reply:  attempt.Reply{Status: http.StatusOK, Size: -1},
		Header: http.Header{},
		Body:   io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", 100_000)), broken{})),
	}}}
	response := raw(t, serve(t, f), "GET /stock/1 HTTP/1.1\r\nHost: stockdesk\r\n\r\n")

	_, err := io.ReadAll(response.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, attempt.ErrIncomplete }
