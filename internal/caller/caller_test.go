package caller_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/caller"
	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const rules = `
[service stock]
hosts = stock.example
probes = 0
bytes = 0
[rule stock items]
methods = GET
path = /items/{id}
kind = idempotent
deadline = 2s
target = 500ms
body = 0
[rule stock orders]
methods = POST
path = /orders
kind = non-idempotent
deadline = 1s
body = 16
`

// submitter returns the same result for every submission.
type submitter struct {
	result      caller.Result
	submissions chan caller.Submission
}

func (s *submitter) Submit(_ context.Context, submission caller.Submission) caller.Result {
	s.submissions <- submission

	return s.result
}

// noParents finds no parent of any call.
type noParents struct{}

func (noParents) Parent(string) (request.Request, bool) { return request.Request{}, false }

var testTime = time.Unix(1_800_000_000, 0)

// serve starts the caller interface with a manifest. An empty text means that the daemon has no manifest.
func serve(t *testing.T, text string, result caller.Result, options ...caller.Option) (string, *submitter) {
	t.Helper()

	var matcher caller.Matcher

	if text != "" {
		m, err := manifest.Parse("rules.ini", []byte(text))
		require.NoError(t, err)

		matcher, err = manifest.NewMatcher(m)
		require.NoError(t, err)
	}

	s := &submitter{result: result, submissions: make(chan caller.Submission, 1)}
	handler := caller.NewHandler(
		func() caller.Matcher { return matcher }, noParents{}, s, func() time.Time { return testTime }, options...)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	server := http1.NewServer(handler)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)

	go func() { ended <- server.Serve(ctx, listener) }()

	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})

	return "http://" + listener.Addr().String(), s
}

func do(t *testing.T, method, url, body string) (*http.Response, string, error) {
	t.Helper()

	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)

	r.Host = "stock.example"

	response, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)

	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()

	return response, string(data), err
}

func answer(body io.Reader, length int64) caller.Result {
	return caller.Result{Response: &caller.Response{
		Status: http.StatusAccepted, Header: http.Header{"X-Answer": {"yes"}}, Body: io.NopCloser(body), Length: length,
	}}
}

// Guards against a submission whose deadline, target, kind or body differs from what its rule and caller state.
func TestSubmission(t *testing.T) {
	url, s := serve(t, rules, answer(strings.NewReader("done"), 4))

	response, body, err := do(t, http.MethodGet, url+"/items/7?x=1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusAccepted, response.StatusCode)
	require.Equal(t, "yes", response.Header.Get("X-Answer"))
	require.Equal(t, "done", body)

	lookup := <-s.submissions
	require.Equal(t, "stock", lookup.Request.Service)
	require.True(t, lookup.Request.Idempotent())
	require.Equal(t, testTime.Add(2*time.Second), lookup.Request.Deadline)
	require.Equal(t, testTime.Add(500*time.Millisecond), lookup.Request.Target)
	require.Equal(t, "/items/7?x=1", lookup.Target)

	url, s = serve(t, rules, answer(strings.NewReader("done"), 4))
	_, _, err = do(t, http.MethodPost, url+"/orders", "two boxes")
	require.NoError(t, err)

	order := <-s.submissions
	require.False(t, order.Request.Idempotent())
	require.Equal(t, testTime.Add(time.Second), order.Request.Deadline)
	require.True(t, order.Request.Target.IsZero())
	require.Equal(t, "two boxes", string(order.Body))
	require.NotEqual(t, lookup.Request.ID, order.Request.ID)
}

// Guards against refusals whose status contradicts the verdict, or that lack Retry-After.
func TestRefusals(t *testing.T) {
	for _, test := range []struct {
		refusal caller.Refusal
		status  int
		retry   string
	}{
		{caller.Refusal{Verdict: verdict.NotRun, Reason: "overloaded", RetryAfter: 1200 * time.Millisecond}, 503, "2"},
		{caller.Refusal{Verdict: verdict.NotRun, Reason: caller.Deadline}, 503, ""},
		{caller.Refusal{Verdict: verdict.MayHaveRun, Reason: caller.Deadline}, 504, ""},
		{caller.Refusal{Verdict: verdict.MayHaveRun, Reason: "connection-lost"}, 502, ""},
		{caller.Refusal{Verdict: verdict.MayHaveRun, Reason: caller.KeyInDoubt}, 409, ""},
	} {
		test.refusal.Delivery = test.refusal.Verdict
		url, s := serve(t, rules, caller.Result{Refusal: test.refusal})

		response, body, err := do(t, http.MethodGet, url+"/items/7", "")
		require.NoError(t, err)

		<-s.submissions
		require.Equal(t, test.status, response.StatusCode)
		require.Equal(t, test.refusal.Verdict.String(), response.Header.Get("Tarragonmill-Verdict"))
		require.Equal(t, test.retry, response.Header.Get("Retry-After"))
		require.Contains(t, body, string(test.refusal.Reason))
	}
}

// Guards against requests that are routed although no rule matches, and against a daemon that answers 404 for existing
// services because it has just started and not read the manifest.
func TestRefusedBeforeSubmission(t *testing.T) {
	for _, test := range []struct {
		rules, method, path, body string
		status                    int
		verdict                   string
	}{
		{"", http.MethodGet, "/items/7", "", http.StatusServiceUnavailable, "not-run"},
		{rules, http.MethodGet, "/nowhere", "", http.StatusNotFound, "not-run"},
		{rules, http.MethodPost, "/items/7", "", http.StatusNotFound, "not-run"},
		{rules, http.MethodPost, "/orders", strings.Repeat("x", 17), http.StatusRequestEntityTooLarge, "not-run"},
	} {
		url, s := serve(t, test.rules, answer(strings.NewReader(""), 0))

		response, _, err := do(t, test.method, url+test.path, test.body)
		require.NoError(t, err)
		require.Equal(t, test.status, response.StatusCode)
		require.Equal(t, test.verdict, response.Header.Get("Tarragonmill-Verdict"))
		require.Empty(t, s.submissions)

		if test.status == http.StatusServiceUnavailable {
			require.NotEmpty(t, response.Header.Get("Retry-After"))
		}
	}
}

// Guards against a 404 for a route of the newest manifest from a daemon that knows that it has not read it yet: callers do
// not send such a request again.
func TestNewerManifest(t *testing.T) {
	newer := caller.WithNewerManifest(func() bool { return true })
	url, s := serve(t, rules, answer(strings.NewReader(""), 0), newer)

	response, _, err := do(t, http.MethodGet, url+"/nowhere", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "not-run", response.Header.Get("Tarragonmill-Verdict"))
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Empty(t, s.submissions)
}

// brokenReader returns an error instead of io.EOF at the end of its text.
type brokenReader struct{ text io.Reader }

func (b brokenReader) Read(data []byte) (int, error) {
	n, err := b.text.Read(data)
	if errors.Is(err, io.EOF) {
		err = errors.New("server closed the connection")
	}

	return n, err
}

// Guards against a truncated response that looks complete to its caller.
func TestBrokenResponse(t *testing.T) {
	for _, length := range []int64{400_000, http1.UnknownLength} {
		url, s := serve(t, rules, answer(brokenReader{strings.NewReader(strings.Repeat("x", 300_000))}, length))

		_, _, err := do(t, http.MethodGet, url+"/items/7", "")
		require.Error(t, err)

		<-s.submissions
	}
}
