// Package caller is the HTTP interface of a daemon towards callers.
//
// It reads a request whole, finds its service and rule, and writes either the whole response of a
// backend server or a refusal as Problem Details (RFC 9457) that carries the verdict.
package caller

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/httpheader"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// maxDepth stops call loops. The target has calls up to 9 deep.
	maxDepth  = 16
	keyHeader = "Idempotency-Key"
	// verdictHeader tells a caller whether its request may have run.
	verdictHeader = httpheader.Prefix + "Verdict"
	// requestHeader repeats the identifier under which the request stands in the logs.
	requestHeader = "X-Request-Id"
)

// Matcher finds the service and rule of a request in the manifest in force.
type Matcher interface {
	Match(host, method string, location *url.URL) (manifest.Match, error)
}

// Parents finds the request at the local backend server that a nested call belongs to.
type ParentFinder interface {
	Parent(call string) (request.Request, bool)
}

// Submission is a request with everything that is sent to the backend server.
type Submission struct {
	Request request.Request
	// Parts are the services that share the requests of the route; empty if there is one.
	Parts []manifest.Part
	// Local is set if it was sent from the instance itself, where the backend server cannot be told from callers, and
	// Stated is the deadline that its sender stated.
	FromInstance   bool
	StatedDeadline time.Time
	Method         string
	Target         string
	Host           string
	Header         http.Header
	Body           []byte
}

// Response is that of a backend server.
type Response struct {
	Status int
	Header http.Header
	// Body ends with an error other than io.EOF if it is not whole.
	Body io.ReadCloser
	// Length of the body, or http1.UnknownLength.
	Length int64
}

// Result is the response of a backend server or a refusal.
type Result struct {
	// Response is nil for a refusal.
	Response *Response
	Refusal  Refusal
}

// Submitter routes a request and waits for its result. The result is final.
type Submitter interface {
	Submit(ctx context.Context, submission Submission) Result
}

// Outcome is the end of a request as its caller sees it.
type Outcome struct {
	ID request.ID
	// Service is empty if no rule matched.
	Service string
	Kind    manifest.Kind
	Status  int
	// Refusal is the zero value for a response of a backend server.
	Refusal Refusal
	Elapsed time.Duration
}

// Observer is told the end of each request.
type Observer func(o Outcome)

// Handler serves callers.
type Handler struct {
	matcher   func() Matcher
	submitter Submitter
	parents   ParentFinder
	now       func() time.Time
	dialect   dialect.Dialect
	// origin is the service on whose instance the daemon runs.
	origin string
	// local is the address of the instance, from which the backend server makes calls; invalid if others have it, too.
	local    netip.Addr
	observer Observer
}

// Option configures a Handler.
type Option func(*Handler)

// WithDialect sets the names of header fields.
func WithDialect(d dialect.Dialect) Option { return func(h *Handler) { h.dialect = d } }

// WithOrigin sets the service on whose instance the daemon runs.
func WithOrigin(service string) Option { return func(h *Handler) { h.origin = service } }

// WithLocal marks requests from the address of the instance, which may be calls of the backend server. It is for
// platforms whose header fields do not tell calls apart.
func WithInstanceAddress(address netip.Addr) Option { return func(h *Handler) { h.local = address } }

// WithObserver sets a function that is told the end of each request.
func WithObserver(observer Observer) Option { return func(h *Handler) { h.observer = observer } }

// NewHandler returns a handler. The matcher is asked anew for each request; it may return nil while
// no manifest is in force.
func NewHandler(
	matcher func() Matcher, parents ParentFinder, submitter Submitter, now func() time.Time, options ...Option,
) *Handler {
	h := &Handler{
		matcher: matcher, parents: parents, submitter: submitter, now: now, dialect: dialect.Default(),
		observer: func(Outcome) {},
	}
	for _, option := range options {
		option(h)
	}

	return h
}

// Serve implements http1.Handler.
func (h *Handler) Serve(ctx context.Context, x *http1.Exchange) {
	started := time.Now()
	id := h.identify(x.Request.Header)

	outcome := Outcome{ID: id}

	submission, refusal, ok := h.accept(x, id)
	outcome.Service, outcome.Kind = submission.Request.Service, submission.Request.Kind

	if !ok {
		outcome.Refusal = refusal
		h.refuse(x, outcome, started)

		return
	}

	result := h.submitter.Submit(ctx, submission)
	if result.Response == nil {
		outcome.Refusal = result.Refusal
		h.refuse(x, outcome, started)

		return
	}

	h.respond(x, result.Response)

	outcome.Status, outcome.Elapsed = result.Response.Status, time.Since(started)
	h.observer(outcome)
}

// identify returns the identifier under which the request stands in the logs.
func (h *Handler) identify(header http.Header) request.ID {
	if attempt := h.dialect.AttemptOf(header); attempt != "" && len(attempt) <= maxID {
		return request.ID(attempt)
	}

	return request.NewID()
}

// maxID bounds the length of an identifier that a caller has chosen.
const maxID = 128

func (h *Handler) refuse(x *http1.Exchange, outcome Outcome, started time.Time) {
	outcome.Status, outcome.Elapsed = outcome.Refusal.Status(), time.Since(started)
	h.observer(outcome)

	response := outcome.Refusal.response()
	response.Header.Set(requestHeader, string(outcome.ID))
	dialect.SetField(response.Header, h.dialect.Attempt, string(outcome.ID))
	outcome.Refusal.setRetryAfter(response.Header, h.dialect.FractionalRetryAfter)

	// After an error, the caller has left.
	_ = x.Respond(response)
}

// accept reads the request and finds its rule. Nothing was run when it refuses.
func (h *Handler) accept(x *http1.Exchange, id request.ID) (Submission, Refusal, bool) {
	r := x.Request

	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" || !strings.HasPrefix(r.URL.Path, "/") {
		return Submission{}, notRun(Unsupported), false
	}

	matcher := h.matcher()
	if matcher == nil {
		refusal := notRun(NoManifest)
		refusal.RetryAfter = manifestRetry

		return Submission{}, refusal, false
	}

	match, err := matcher.Match(r.Host, r.Method, r.URL)
	if err != nil {
		return Submission{}, notRun(NoRule), false
	}

	if r.ContentLength > match.Rule.Body {
		return Submission{}, notRun(BodyTooLarge), false
	}

	body, err := x.Body()
	if err != nil || int64(len(body)) > match.Rule.Body {
		return Submission{}, notRun(bodyReason(err)), false
	}

	described, ok := h.describe(x, id, match, body)
	if !ok {
		return Submission{}, notRun(TooDeep), false
	}

	submission := Submission{
		Request: described,
		Method:  r.Method,
		Target:  r.RequestURI,
		Host:    r.Host,
		Header:  h.forwardable(r.Header),
		Body:    body,
	}

	if match.Route != nil && len(match.Route.Parts) > 1 {
		submission.Parts = match.Route.Parts
	}

	submission.FromInstance, submission.StatedDeadline = h.isLocal(x), h.stated(r.Header, described)

	return submission, Refusal{}, true
}

// manifestRetry is when a caller may come back to a daemon that has just started.
const manifestRetry = 300 * time.Millisecond

func bodyReason(err error) Reason {
	if err == nil || errors.Is(err, http1.ErrBodyTooLarge) {
		return BodyTooLarge
	}

	return BodyBroken
}

// forwardable returns the fields that are passed on.
func (h *Handler) forwardable(header http.Header) http.Header {
	kept := httpheader.Forwardable(header)
	for _, name := range h.dialect.DaemonFields() {
		if name != "" {
			kept.Del(name)
		}
	}

	return kept
}

// describe derives deadline and depth; those of a nested call come from the request that makes it.
func (h *Handler) describe(
	x *http1.Exchange, id request.ID, match manifest.Match, body []byte,
) (request.Request, bool) {
	r, now := x.Request, h.now()
	described := request.Request{
		ID:          id,
		Service:     match.Service,
		Route:       match.Service + "/" + match.Rule.Name,
		Kind:        match.Rule.Kind,
		Key:         r.Header.Get(keyHeader),
		Fingerprint: request.NewFingerprint(r.Method, r.RequestURI, body),
		Deadline:    now.Add(match.Rule.Deadline),
		Attempts:    match.Rule.Attempts,
		Priority:    match.Rule.Priority,
		Origin:      h.origin,
		Size:        int64(len(body)),
	}

	if left, stated := h.dialect.ParseTimeout(r.Header); stated && left < match.Rule.Deadline {
		described.Deadline = now.Add(left)
	}

	if match.Rule.Target > 0 {
		described.Target = now.Add(match.Rule.Target)
	}

	h.nest(x, &described)

	return described, described.Depth <= maxDepth
}

// nest marks the calls of the local backend server that name the request that makes them.
func (h *Handler) nest(x *http1.Exchange, described *request.Request) {
	if h.dialect.CallToken == "" {
		return
	}

	if parent, nested := h.parents.Parent(x.Request.Header.Get(h.dialect.CallToken)); nested {
		described.Depth = parent.Depth + 1
		if parent.Deadline.Before(described.Deadline) {
			described.Deadline = parent.Deadline
		}
	}
}

// isLocal reports whether a request was sent from the instance itself.
func (h *Handler) isLocal(x *http1.Exchange) bool {
	remote, err := netip.ParseAddrPort(x.RemoteAddr())

	return err == nil && h.dialect.CallToken == "" && remote.Addr() == h.local
}

// stated is the deadline that the sender of a request stated, which may be after that of its rule.
func (h *Handler) stated(header http.Header, described request.Request) time.Time {
	if left, ok := h.dialect.ParseTimeout(header); ok {
		return h.now().Add(left)
	}

	return described.Deadline
}

// respond writes the response of a backend server.
func (h *Handler) respond(x *http1.Exchange, response *Response) {
	defer func() { _ = response.Body.Close() }()

	response.Header[verdictHeader] = []string{verdict.Answered.String()}

	// The status may be out when it fails. The connection has then ended, which is the only way left to say
	// that the response is not whole.
	_ = x.Respond(http1.Response{
		Status: response.Status, Header: response.Header,
		Body: http1.Body{Reader: response.Body, Length: response.Length},
	})
}
