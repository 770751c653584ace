// Package attempt is the protocol by which an entry daemon hands a request to the daemon beside a
// backend server, and by which the response comes back.
//
// A call is an HTTP/1.1 POST whose body is the caller's body. A reply always has HTTP status 200;
// the backend server's status is part of the reply header, so that responses without a body, and the
// trailer with length and digest, need no special case. Trailers and protocol upgrades of the
// backend server are not passed on.
package attempt

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/httpheader"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Header and trailer fields of the protocol.
const (
	CallHeader    = httpheader.Prefix + "Call"
	ReplyHeader   = httpheader.Prefix + "Reply"
	FleetHeader   = httpheader.Prefix + "Fleet"
	LengthTrailer = httpheader.Prefix + "Length"
	DigestTrailer = httpheader.Prefix + "Digest"
)

// Paths on the peer address.
const (
	// Path takes a request for the backend server beside the daemon.
	Path = "/attempt"
	// OwnedPath takes a request with an idempotency key that the daemon owns.
	OwnedPath = "/owned"
)

// ErrMalformed is returned for a call or reply header that cannot be decoded.
var ErrMalformed = errors.New("malformed attempt header")

// Call is one attempt of a request.
type Call struct {
	Request request.Request
	Number  int
	// NoWait asks for a refusal instead of a place in the queue.
	NoWait bool
	// Hint asks for a load hint in the reply; its bytes are paid for.
	Hint bool
	// Timeout is the time left until the deadline when the call is sent.
	Timeout time.Duration
	From    instance.ID
	Method  string
	// Target is the request target, path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Reply describes a response or refusal. A refusal has no status.
type Reply struct {
	ID     request.ID
	Number int
	// Verdict covers every delivery of the request's key, Delivery this one alone.
	Verdict  verdict.Verdict
	Delivery verdict.Verdict
	// Status is the backend server's HTTP status, or zero.
	Status int
	// Size is the Content-Length that the backend server stated, or -1.
	Size   int64
	Reason string
	// Crash identifies the crash of the backend server that ended the attempt, or is empty.
	Crash string
	// RetryAfter says when a refused request may be sent again.
	RetryAfter time.Duration
	// Hint is valid if Hinted is set.
	Hint   load.Hint
	Hinted bool
	// Server is the instance whose backend server answered.
	Server instance.ID
}

func (c Call) encode() string {
	return url.Values{
		"request": {string(c.Request.ID)},
		"attempt": {strconv.Itoa(c.Number)},
		"service": {c.Request.Service},
		"kind":    {c.Request.Kind.String()},
		"key":     {c.Request.Key},
		"print":   {strconv.FormatUint(uint64(c.Request.Fingerprint), 16)},
		"depth":   {strconv.Itoa(c.Request.Depth)},
		"alone":   {strconv.FormatBool(c.Request.Alone)},
		"nowait":  {strconv.FormatBool(c.NoWait)},
		"hint":    {strconv.FormatBool(c.Hint)},
		"timeout": {c.Timeout.String()},
		"from":    {string(c.From)},
		"method":  {c.Method},
		"target":  {c.Target},
		"host":    {c.Host},
	}.Encode()
}

func decodeCall(text string, now time.Time) (Call, error) {
	fields, err := parseFields(text)
	if err != nil {
		return Call{}, err
	}

	kind := manifest.NonIdempotent
	if fields.text("kind") == manifest.Idempotent.String() {
		kind = manifest.Idempotent
	}

	call := Call{
		Number:  int(fields.integer("attempt")),
		NoWait:  fields.text("nowait") == strconv.FormatBool(true),
		Hint:    fields.text("hint") == strconv.FormatBool(true),
		Timeout: fields.duration("timeout"),
		From:    instance.ID(fields.text("from")),
		Method:  fields.text("method"),
		Target:  fields.text("target"),
		Host:    fields.text("host"),
		Request: request.Request{
			ID:          request.ID(fields.text("request")),
			Service:     fields.text("service"),
			Kind:        kind,
			Key:         fields.text("key"),
			Fingerprint: request.Fingerprint(fields.hexadecimal("print")),
			Depth:       int(fields.integer("depth")),
			Alone:       fields.text("alone") == strconv.FormatBool(true),
		},
	}
	call.Request.Deadline = now.Add(call.Timeout)

	if call.Request.ID == "" || call.Method == "" || call.Target == "" {
		return Call{}, errors.Wrap(ErrMalformed, "request, method or target is missing")
	}

	return call, fields.err
}

func (r Reply) encode() string {
	values := url.Values{
		"request": {string(r.ID)},
		"attempt": {strconv.Itoa(r.Number)},
		"verdict": {r.Verdict.String()},
		"server":  {string(r.Server)},
	}
	if r.Hinted {
		r.encodeHint(values)
	}

	if r.Status != 0 {
		values.Set("status", strconv.Itoa(r.Status))
		values.Set("size", strconv.FormatInt(r.Size, 10))
	}

	if r.Reason != "" {
		values.Set("reason", r.Reason)
		values.Set("delivery", r.Delivery.String())
	}

	if r.Crash != "" {
		values.Set("crash", r.Crash)
	}

	if r.RetryAfter > 0 {
		values.Set("after", r.RetryAfter.String())
	}

	return values.Encode()
}

func (r Reply) encodeHint(values url.Values) {
	values.Set("inflight", strconv.Itoa(r.Hint.InFlight))
	values.Set("queue", strconv.Itoa(r.Hint.Queue))
	values.Set("limit", strconv.Itoa(r.Hint.Limit))
	values.Set("latency", r.Hint.Latency.String())
	values.Set("draining", strconv.FormatBool(r.Hint.Draining))
}

func decodeReply(text string) (Reply, error) {
	fields, err := parseFields(text)
	if err != nil {
		return Reply{}, err
	}

	parsed, err := verdict.Parse(fields.text("verdict"))
	if err != nil {
		return Reply{}, errors.Mark(err, ErrMalformed)
	}

	// A reply without the field is not a refusal, and its delivery ran.
	delivery, _ := verdict.Parse(fields.text("delivery"))

	reply := Reply{
		Delivery:   delivery,
		Crash:      fields.text("crash"),
		ID:         request.ID(fields.text("request")),
		Number:     int(fields.integer("attempt")),
		Verdict:    parsed,
		Status:     int(fields.integer("status")),
		Size:       -1,
		Reason:     fields.text("reason"),
		RetryAfter: fields.duration("after"),
		Server:     instance.ID(fields.text("server")),
		Hint: load.Hint{
			InFlight: int(fields.integer("inflight")),
			Queue:    int(fields.integer("queue")),
			Limit:    int(fields.integer("limit")),
			Latency:  fields.duration("latency"),
			Draining: fields.text("draining") == "true",
		},
	}
	reply.Hinted = fields.values.Has("inflight")

	if fields.values.Has("size") {
		reply.Size = fields.integer("size")
	}

	return reply, fields.err
}

// fieldSet reads typed fields and keeps the first error.
type fieldSet struct {
	values url.Values
	err    error
}

func parseFields(text string) (*fieldSet, error) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "parse attempt header"), ErrMalformed)
	}

	return &fieldSet{values: values}, nil
}

func (f *fieldSet) text(name string) string { return f.values.Get(name) }

func (f *fieldSet) keep(name string, err error) {
	if err != nil && f.err == nil {
		f.err = errors.Mark(errors.Wrapf(err, "field %s", name), ErrMalformed)
	}
}

func (f *fieldSet) integer(name string) int64 {
	text := f.text(name)
	if text == "" {
		return 0
	}

	value, err := strconv.ParseInt(text, 10, 64)
	f.keep(name, err)

	return value
}

func (f *fieldSet) hexadecimal(name string) uint64 {
	text := f.text(name)
	if text == "" {
		return 0
	}

	value, err := strconv.ParseUint(text, 16, 64)
	f.keep(name, err)

	return value
}

func (f *fieldSet) duration(name string) time.Duration {
	text := f.text(name)
	if text == "" {
		return 0
	}

	value, err := time.ParseDuration(text)
	f.keep(name, err)

	return value
}
