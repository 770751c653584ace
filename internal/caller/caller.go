// Package caller is the HTTP interface of a daemon towards callers.
//
// It reads a request whole, finds its service and rule, and writes either the whole response of a
// backend server or a refusal as Problem Details (RFC 9457) that carries the verdict. Protocol
// upgrades, CONNECT and trailers are not supported.
package caller

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/httpheader"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// maxDepth stops call loops. The target has calls up to 9 deep.
	maxDepth = 16
	// progressTimeout is the longest time that a caller may take for one write of a response.
	progressTimeout = 30 * time.Second
	copyBuffer      = 32 << 10

	keyHeader     = "Idempotency-Key"
	verdictHeader = httpheader.Prefix + "Verdict"
	requestHeader = "X-Request-Id"
)

// Matcher finds the service and rule of a request in the manifest in force.
type Matcher interface {
	Match(host, method string, location *url.URL) (manifest.Match, error)
}

// Parents finds the request at the local backend server that a nested call belongs to.
type Parents interface {
	Parent(call string) (request.Request, bool)
}

// Submission is a request with everything that is sent to the backend server.
type Submission struct {
	Request request.Request
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
}

// Result is the response of a backend server or a refusal.
type Result struct {
	// Response is nil for a refusal. Its body was verified, or reports a broken transfer as an error.
	Response *attempt.Response
	Refusal  Refusal
}

// Submitter routes a request and waits for its result. The result is final.
type Submitter interface {
	Submit(ctx context.Context, submission Submission) Result
}

// Handler serves callers.
type Handler struct {
	matcher   func() Matcher
	parents   Parents
	submitter Submitter
	now       func() time.Time
}

// NewHandler returns a handler. The matcher is asked anew for each request; it may return nil while
// no manifest is in force.
func NewHandler(matcher func() Matcher, parents Parents, submitter Submitter, now func() time.Time) *Handler {
	return &Handler{matcher: matcher, parents: parents, submitter: submitter, now: now}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	id := request.NewID()
	w.Header().Set(requestHeader, string(id))

	submission, refusal, ok := h.accept(w, r, id)
	if !ok {
		writeRefusal(w, refusal)

		return
	}

	result := h.submitter.Submit(r.Context(), submission)
	w.Header().Set("Server-Timing", "total;dur="+strconv.FormatFloat(float64(time.Since(started).Microseconds())/1000, 'f', 3, 64))

	if result.Response == nil {
		writeRefusal(w, result.Refusal)

		return
	}

	writeResponse(w, r.Method, result.Response)
}

// accept reads the request and finds its rule. Nothing was run when it refuses.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, id request.ID) (Submission, Refusal, bool) {
	none := Submission{}

	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" || !strings.HasPrefix(r.URL.Path, "/") {
		return none, Refusal{Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: Unsupported}, false
	}

	matcher := h.matcher()
	if matcher == nil {
		return none, Refusal{Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: NoManifest, RetryAfter: time.Second}, false
	}

	match, err := matcher.Match(r.Host, r.Method, r.URL)
	if err != nil {
		return none, Refusal{Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: NoRule}, false
	}

	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, match.Rule.Body))
	if err != nil {
		reason := BodyBroken
		if errors.HasType(err, (*http.MaxBytesError)(nil)) {
			reason = BodyTooLarge
		}

		return none, Refusal{Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: reason}, false
	}

	described, ok := h.describe(r, id, match, body)
	if !ok {
		return none, Refusal{Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: TooDeep}, false
	}

	return Submission{
		Request: described,
		Method:  r.Method,
		Target:  r.URL.RequestURI(),
		Host:    r.Host,
		Header:  httpheader.Forwardable(r.Header),
		Body:    body,
	}, Refusal{}, true
}

// describe derives deadline and depth; those of a nested call come from the request that makes it.
func (h *Handler) describe(
	r *http.Request, id request.ID, match manifest.Match, body []byte,
) (request.Request, bool) {
	described := request.Request{
		ID:          id,
		Service:     match.Service,
		Kind:        match.Rule.Kind,
		Key:         r.Header.Get(keyHeader),
		Fingerprint: request.NewFingerprint(r.Method, r.URL.RequestURI(), body),
		Deadline:    h.now().Add(match.Rule.Deadline),
		Size:        int64(len(body)),
	}

	parent, nested := h.parents.Parent(r.Header.Get(backend.CallHeader))
	if nested {
		described.Depth = parent.Depth + 1
		if parent.Deadline.Before(described.Deadline) {
			described.Deadline = parent.Deadline
		}
	}

	return described, described.Depth <= maxDepth
}

func writeResponse(w http.ResponseWriter, method string, response *attempt.Response) {
	defer func() { _ = response.Body.Close() }()

	httpheader.Copy(w.Header(), response.Header)
	w.Header().Set(verdictHeader, verdict.Answered.String())

	if response.Reply.Size >= 0 && hasLength(method, response.Reply.Status) {
		w.Header().Set("Content-Length", strconv.FormatInt(response.Reply.Size, 10))
	}

	w.WriteHeader(response.Reply.Status)

	if err := copyResponse(w, response.Body); err != nil {
		// The status is out; closing the connection is the only way left to say that the response is
		// not whole.
		panic(http.ErrAbortHandler)
	}
}

func hasLength(method string, status int) bool {
	return method == http.MethodHead || (status != http.StatusNoContent && status != http.StatusNotModified)
}

func copyResponse(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBuffer)

	for {
		n, err := body.Read(buffer)
		if n > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(progressTimeout))

			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return errors.Wrap(writeErr, "write response")
			}
		}

		if errors.Is(err, io.EOF) {
			return nil
		}

		if err != nil {
			return errors.Wrap(err, "read response")
		}
	}
}
