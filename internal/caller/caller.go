// Package caller implements a daemon's HTTP interface for callers.
//
// It reads a complete request, finds its service and rule, and writes either the response of a backend server or a
// refusal. A refusal is a Problem Details response (RFC 9457) that contains the verdict.
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
	"github.com/tarragonmill/tarragonmill/internal/memory"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// maxDepth is the largest depth of a nested call; the limit ends call loops. The fleets for which the project is
	// designed nest calls up to 9 deep.
	maxDepth = 16
	// idempotencyKeyHeader carries the idempotency key that the caller chose.
	idempotencyKeyHeader = "Idempotency-Key"
	// verdictHeader states whether the caller's request may have run.
	verdictHeader = httpheader.Prefix + "Verdict"
	// requestIDHeader carries the identifier under which the daemon logs the request.
	requestIDHeader = "X-Request-Id"
)

// Matcher finds the service and rule of a request in the current manifest.
type Matcher interface {
	// Match returns an error if no rule applies to the request.
	Match(host, method string, location *url.URL) (manifest.Match, error)
	// Keyed reports whether callers have to present an API key.
	Keyed() bool
	// Tenant returns the tenant to which an API key belongs, and false if there is none.
	Tenant(key string) (*manifest.Tenant, bool)
}

// ParentFinder finds the request for which the local backend server makes a nested call.
type ParentFinder interface {
	// Parent returns the request at the local backend server that has the given call token, and false if there is none.
	Parent(call string) (request.Request, bool)
}

// Submission is a caller's request with everything that is sent to the backend server.
type Submission struct {
	Request request.Request
	// Parts are the weighted services that share the requests of the route; empty if the route has one service.
	Parts []manifest.Part
	// FromInstance is set if the request came from the address of the instance itself, where a call of the backend server
	// cannot be distinguished from a request of another caller.
	FromInstance bool
	// CallOnly is set if the request is only accepted as a call of the backend server, because it presents no API key and
	// its rule requires one of other callers.
	CallOnly bool
	// StatedDeadline is the deadline that the sender stated, or that of Request if it stated none.
	StatedDeadline time.Time
	Method         string
	Target         string
	Host           string
	Header         http.Header
	Body           []byte
}

// Response is the response of a backend server.
type Response struct {
	Status int
	Header http.Header
	// Body ends with an error other than io.EOF if it is incomplete.
	Body io.ReadCloser
	// Length is the length of the body in bytes, or http1.UnknownLength.
	Length int64
}

// Result is the response of a backend server or a refusal.
type Result struct {
	// Response is nil for a refusal.
	Response *Response
	Refusal  Refusal
}

// Submitter routes a request and waits for its final result.
type Submitter interface {
	Submit(ctx context.Context, submission Submission) Result
}

// Outcome describes how a request ended from the caller's point of view.
type Outcome struct {
	ID request.ID
	// Service is empty if no rule matched.
	Service string
	// Tenant is empty if the caller has none or was not identified.
	Tenant string
	Kind   manifest.Kind
	Status int
	// Refusal is the zero value if a backend server answered.
	Refusal Refusal
	// Elapsed is the time from the arrival of the request to the end of its response.
	Elapsed time.Duration
}

// Observer is called with the outcome of each request.
type Observer func(o Outcome)

// Handler serves the requests of callers.
type Handler struct {
	matcher   func() Matcher
	submitter Submitter
	parents   ParentFinder
	now       func() time.Time
	dialect   dialect.Dialect
	// originService is the service on whose instance the daemon runs.
	originService string
	// instanceAddress is the address from which the backend server makes calls; invalid if other instances share it.
	instanceAddress netip.Addr
	observer        Observer
	// newerManifest reports whether there is a newer manifest than that of the matcher.
	newerManifest func() bool
}

// Option configures a Handler.
type Option func(*Handler)

// WithDialect sets the names of the header fields that callers use.
func WithDialect(d dialect.Dialect) Option { return func(h *Handler) { h.dialect = d } }

// WithOrigin sets the service on whose instance the daemon runs.
func WithOrigin(service string) Option { return func(h *Handler) { h.originService = service } }

// WithInstanceAddress marks requests from the address of the instance as possible calls of the backend server. It is
// for platforms without a header field that identifies the request for which a call is made.
func WithInstanceAddress(address netip.Addr) Option {
	return func(h *Handler) { h.instanceAddress = address }
}

// WithNewerManifest sets a function that reports whether there is a newer manifest than that of the matcher. A request
// that matches no rule is then refused as not run, because the newer one may have a rule for it.
func WithNewerManifest(exists func() bool) Option {
	return func(h *Handler) { h.newerManifest = exists }
}

// WithObserver sets the function that is called with the outcome of each request.
func WithObserver(observer Observer) Option { return func(h *Handler) { h.observer = observer } }

// NewHandler returns a handler. It calls matcher for each request; matcher returns nil while the daemon has no
// manifest.
func NewHandler(
	matcher func() Matcher, parents ParentFinder, submitter Submitter, now func() time.Time, options ...Option,
) *Handler {
	h := &Handler{
		matcher: matcher, parents: parents, submitter: submitter, now: now, dialect: dialect.Default(),
		observer: func(Outcome) {}, newerManifest: func() bool { return false },
	}
	for _, option := range options {
		option(h)
	}

	return h
}

// Serve implements http1.Handler.
func (h *Handler) Serve(ctx context.Context, x *http1.Exchange) {
	started := time.Now()
	id := h.requestID(x.Request.Header)

	outcome := Outcome{ID: id}

	submission, refusal, ok := h.readSubmission(x, id)
	outcome.Service, outcome.Kind = submission.Request.Service, submission.Request.Kind
	outcome.Tenant = submission.Request.Tenant

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

// requestID returns the identifier under which a request is logged: that of the caller if it sent a valid one, else a
// new one.
func (h *Handler) requestID(header http.Header) request.ID {
	if attempt := h.dialect.AttemptOf(header); attempt != "" && len(attempt) <= maxIDLength {
		return request.ID(attempt)
	}

	return request.NewID()
}

// maxIDLength is the largest length in bytes of an identifier that a caller has chosen.
const maxIDLength = 128

func (h *Handler) refuse(x *http1.Exchange, outcome Outcome, started time.Time) {
	outcome.Status, outcome.Elapsed = outcome.Refusal.Status(), time.Since(started)
	h.observer(outcome)

	response := outcome.Refusal.response()
	response.Header.Set(requestIDHeader, string(outcome.ID))
	dialect.SetField(response.Header, h.dialect.Attempt, string(outcome.ID))
	outcome.Refusal.setRetryAfter(response.Header, h.dialect.FractionalRetryAfter)

	// An error means that the caller has closed the connection.
	_ = x.Respond(response)
}

// readSubmission reads a request and finds its rule. It returns false and a refusal if the request cannot be routed;
// the request has then not run.
func (h *Handler) readSubmission(x *http1.Exchange, id request.ID) (Submission, Refusal, bool) {
	r := x.Request

	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" || !strings.HasPrefix(r.URL.Path, "/") {
		return Submission{}, notRunRefusal(Unsupported), false
	}

	matcher := h.matcher()
	if matcher == nil {
		refusal := notRunRefusal(NoManifest)
		refusal.RetryAfter = noManifestRetryAfter

		return Submission{}, refusal, false
	}

	match, err := matcher.Match(r.Host, r.Method, r.URL)
	if err != nil {
		return Submission{}, h.refuseUnmatched(), false
	}

	tenant, err := h.authenticate(x, matcher, match.Rule)
	if err != nil {
		return Submission{}, h.refuseUnauthenticated(), false
	}

	if r.ContentLength > match.Rule.Body {
		return Submission{}, notRunRefusal(BodyTooLarge), false
	}

	x.AcceptBody(match.Rule.Body, max(match.Rule.Deadline, leastBodyTime))

	body, err := x.Body()
	if err != nil || int64(len(body)) > match.Rule.Body {
		return Submission{}, refuseBody(err), false
	}

	req, ok := h.newRequest(x, id, match, tenant, body)
	if !ok {
		return Submission{}, notRunRefusal(TooDeep), false
	}

	submission := Submission{
		Request: req,
		Method:  r.Method,
		Target:  r.RequestURI,
		Host:    r.Host,
		Header:  h.forwardableHeader(r.Header),
		Body:    body,
	}

	if match.Route != nil && len(match.Route.Parts) > 1 {
		submission.Parts = match.Route.Parts
	}

	submission.FromInstance, submission.StatedDeadline = h.isFromInstance(x), h.statedDeadline(r.Header, req)
	submission.CallOnly = matcher.Keyed() && tenant == nil && !match.Rule.Anonymous && !req.Nested()

	return submission, Refusal{}, true
}

// noManifestRetryAfter is the Retry-After of a daemon that has just started and not read the manifest yet, or has not read
// the newest one.
const noManifestRetryAfter = 300 * time.Millisecond

// refuseUnmatched returns the refusal of a request that matches no rule.
func (h *Handler) refuseUnmatched() Refusal {
	if !h.newerManifest() {
		return notRunRefusal(NoRule)
	}

	refusal := notRunRefusal(ManifestBehind)
	refusal.RetryAfter = noManifestRetryAfter

	return refusal
}

const (
	// leastBodyTime is the time that the body of a request may take whatever the deadline of its rule.
	leastBodyTime = 30 * time.Second
	// memoryRetryAfter is the Retry-After of a refusal for want of memory. Bodies that stall are aborted within that time.
	memoryRetryAfter = time.Second
)

// refuseBody returns the refusal of a request whose body was not received.
func refuseBody(err error) Refusal {
	switch {
	case err == nil, errors.Is(err, http1.ErrBodyTooLarge):
		return notRunRefusal(BodyTooLarge)
	case errors.IsAny(err, memory.ErrFull, http1.ErrBodyAborted):
		refusal := notRunRefusal(MemoryFull)
		refusal.RetryAfter = memoryRetryAfter

		return refusal
	case errors.Is(err, http1.ErrBodySlow):
		return notRunRefusal(BodySlow)
	default:
		return notRunRefusal(BodyBroken)
	}
}

// forwardableHeader returns the fields of a caller's header that are sent to the backend server.
func (h *Handler) forwardableHeader(header http.Header) http.Header {
	kept := httpheader.Forwardable(header)
	for _, name := range h.dialect.DaemonFields() {
		if name != "" {
			kept.Del(name)
		}
	}

	return kept
}

// newRequest returns the request to be routed, with the deadline of its rule or of its header, whichever is earlier. A
// nested call also gets the depth and the deadline of the request for which it is made. The second result is false if
// the call exceeds maxDepth.
func (h *Handler) newRequest(
	x *http1.Exchange, id request.ID, match manifest.Match, tenant *manifest.Tenant, body []byte,
) (request.Request, bool) {
	r, now := x.Request, h.now()
	req := request.Request{
		ID:          id,
		Service:     match.Service,
		Route:       manifest.RuleID(match.Service, match.Rule),
		Kind:        match.Rule.Kind,
		Key:         r.Header.Get(idempotencyKeyHeader),
		Fingerprint: request.NewFingerprint(r.Method, r.RequestURI, body),
		Deadline:    now.Add(match.Rule.Deadline),
		Attempts:    match.Rule.Attempts,
		Priority:    match.Rule.Priority,
		Origin:      h.originService,
		Size:        int64(len(body)),
		Regions:     request.NewRegions(match.Rule.Regions),
	}

	if tenant != nil {
		req = req.WithTenant(*tenant)
	}

	if left, stated := h.dialect.ParseTimeout(r.Header); stated && left < match.Rule.Deadline {
		req.Deadline = now.Add(left)
	}

	if match.Rule.Target > 0 {
		req.Target = now.Add(match.Rule.Target)
	}

	h.inheritFromParent(x, &req)

	return req, req.Depth <= maxDepth
}

// inheritFromParent sets depth and deadline of a call whose header identifies the request for which the local backend
// server makes it.
func (h *Handler) inheritFromParent(x *http1.Exchange, req *request.Request) {
	if h.dialect.CallToken == "" {
		return
	}

	if parent, nested := h.parents.Parent(x.Request.Header.Get(h.dialect.CallToken)); nested {
		req.Depth = parent.Depth + 1
		if parent.Deadline.Before(req.Deadline) {
			req.Deadline = parent.Deadline
		}
	}
}

// isFromInstance reports whether a request came from the address of the instance and cannot be identified as a nested
// call by a header field.
func (h *Handler) isFromInstance(x *http1.Exchange) bool {
	remote, err := netip.ParseAddrPort(x.RemoteAddr())

	return err == nil && h.dialect.CallToken == "" && remote.Addr() == h.instanceAddress
}

// statedDeadline returns the deadline that the sender of a request stated, which may be later than that of its rule, or
// the deadline of req if the sender stated none.
func (h *Handler) statedDeadline(header http.Header, req request.Request) time.Time {
	if left, ok := h.dialect.ParseTimeout(header); ok {
		return h.now().Add(left)
	}

	return req.Deadline
}

// respond writes the response of a backend server.
func (h *Handler) respond(x *http1.Exchange, response *Response) {
	defer func() { _ = response.Body.Close() }()

	response.Header[verdictHeader] = []string{verdict.Answered.String()}

	length := response.Length
	if x.Request.Method == http.MethodHead {
		length = http1.UnknownLength
	}

	// After an error, the connection has ended. If the status was sent already, this is the only way to show the caller
	// that the response is incomplete.
	_ = x.Respond(http1.Response{
		Status: response.Status, Header: response.Header,
		Body: http1.Body{Reader: response.Body, Length: length},
	})
}
