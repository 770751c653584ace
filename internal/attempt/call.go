// Package attempt implements the protocol between daemons. The entry daemon, which received a request from a caller,
// sends it to the daemon beside a backend server; that daemon returns the response.
//
// A call is an HTTP/1.1 POST whose body is the caller's body followed by one more byte, the commit byte. The daemon
// beside the server sends 102 Processing while the request waits for a slot, and 100 Continue when the request has a
// slot. The entry daemon sends the body of a non-idempotent request only after 100 Continue, and the request runs only
// after the commit byte has arrived. Until it has sent the commit byte, the entry daemon can withdraw the request and
// knows that the request has not run.
//
// A reply always has HTTP status 200; the reply header contains the status of the backend server.
package attempt

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/httpheader"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Header fields of the protocol.
const (
	// CallHeader carries an encoded Call.
	CallHeader = httpheader.Prefix + "Call"
	// ReplyHeader carries an encoded Reply.
	ReplyHeader = httpheader.Prefix + "Reply"
	// FleetKeyHeader carries the fleet's key, which each request between daemons must present.
	FleetKeyHeader = httpheader.Prefix + "Fleet"
)

// Paths of the requests between daemons.
const (
	// CallPath receives a request for the backend server beside the daemon.
	CallPath = "/attempt"
	// OwnedPath receives a request with an idempotency key that the daemon owns.
	OwnedPath = "/owned"
	// HandoverPath receives a part of the key table of an owner that leaves the fleet.
	HandoverPath = "/handover"
	// ConfigurationPath returns the configuration that the daemon has.
	ConfigurationPath = "/configuration"
)

// ErrMalformed is returned for a call or reply header that cannot be decoded.
var ErrMalformed = errors.New("malformed attempt header")

// Call is one attempt of a request.
type Call struct {
	Request request.Request
	Number  int
	// MaxWait is the longest time that the attempt may wait for a slot.
	MaxWait time.Duration
	// MaxSlowness is the slowness of the server above which the attempt is refused; zero means no limit.
	MaxSlowness float64
	// Timeout is the time left until the deadline when the call is sent.
	Timeout time.Duration
	// From is the daemon that sends the call.
	From instance.ID
	// To is the daemon that is to receive the call. Its address may have passed to another daemon in the meantime.
	To     instance.ID
	Method string
	// Target is the request target: path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Notice is what earlier replies said of the server; zero if they said nothing that restricts requests.
	Notice backend.Notice
}

// Reply describes a response or refusal. A refusal has no status.
type Reply struct {
	ID     request.ID
	Number int
	// Verdict covers all deliveries with the request's idempotency key, Delivery only this delivery.
	Verdict  verdict.Verdict
	Delivery verdict.Verdict
	// Status is the backend server's HTTP status, or zero.
	Status int
	Reason string
	// Unusable is set if the server refuses all attempts until it reports that it accepts them again.
	Unusable bool
	// Dropped is set if the server probably dropped the connection before the request; see backend.ErrDropped.
	Dropped bool
	// Crash identifies the crash of the backend server that ended the attempt; empty if there was none.
	Crash string
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
	// Report is the load of the server when the reply was created.
	Report load.Report
	// Notice is what the server has said of itself; zero if it has said nothing to the present run of its daemon.
	Notice backend.Notice
}

func (c Call) encode() string {
	r := c.Request
	values := url.Values{
		"request": {string(r.ID)},
		"attempt": {strconv.Itoa(c.Number)},
		"service": {r.Service},
		"route":   {r.Route},
		"print":   {strconv.FormatUint(uint64(r.Fingerprint), 16)},
		"wait":    {formatDuration(c.MaxWait)},
		"timeout": {formatDuration(c.Timeout)},
		"from":    {string(c.From)},
		"to":      {string(c.To)},
		"method":  {c.Method},
		"target":  {c.Target},
		"host":    {c.Host},
	}

	setText(values, "origin", r.Origin)
	setText(values, "key", r.Key)
	setNumber(values, "depth", r.Depth)
	setNumber(values, "rank", r.Priority)
	setText(values, "tenant", r.Tenant)

	if r.Regions.Restricted {
		values.Set("regions", r.Regions.Names)
	}

	if r.Idempotent() {
		values.Set("kind", r.Kind.String())
	}

	if r.Alone {
		values.Set("alone", "1")
	}

	if c.MaxSlowness > 0 {
		values.Set("slowest", formatRatio(c.MaxSlowness))
	}

	if !c.Notice.IsEmpty() {
		setNotice(values, c.Notice)
	}

	return values.Encode()
}

// decodeCall decodes the value of CallHeader. It sets no Request.Deadline: the receiver derives the deadline from
// Timeout, because the clocks of the two daemons may differ.
func decodeCall(text string) (Call, error) {
	fields, err := parseFields(text)
	if err != nil {
		return Call{}, err
	}

	kind := manifest.NonIdempotent
	if fields.text("kind") == manifest.Idempotent.String() {
		kind = manifest.Idempotent
	}

	call := Call{
		Number:      int(fields.integer("attempt")),
		MaxWait:     fields.duration("wait"),
		MaxSlowness: fields.ratio("slowest"),
		Timeout:     fields.duration("timeout"),
		From:        instance.ID(fields.text("from")),
		To:          instance.ID(fields.text("to")),
		Method:      fields.text("method"),
		Target:      fields.text("target"),
		Host:        fields.text("host"),
		Request: request.Request{
			ID:          request.ID(fields.text("request")),
			Service:     fields.text("service"),
			Route:       fields.text("route"),
			Kind:        kind,
			Key:         fields.text("key"),
			Fingerprint: request.Fingerprint(fields.hexadecimal("print")),
			Depth:       int(fields.integer("depth")),
			Priority:    int(fields.integer("rank")),
			Origin:      fields.text("origin"),
			Alone:       fields.text("alone") != "",
			Tenant:      fields.text("tenant"),
			Regions: request.Regions{
				Restricted: fields.values.Has("regions"), Names: fields.text("regions"),
			},
		},
		Notice: fields.notice(),
	}

	if call.Request.ID == "" || call.Method == "" || call.Target == "" {
		return Call{}, errors.Wrap(ErrMalformed, "request, method or target is missing")
	}

	return call, fields.err
}

func (r Reply) encode() string {
	values := url.Values{
		"request":  {string(r.ID)},
		"attempt":  {strconv.Itoa(r.Number)},
		"verdict":  {r.Verdict.String()},
		"server":   {string(r.Report.Server)},
		"run":      {strconv.FormatUint(uint64(r.Report.Incarnation), 10)},
		"counter":  {strconv.FormatUint(r.Report.Counter, 10)},
		"running":  {strconv.Itoa(r.Report.Running)},
		"slots":    {strconv.Itoa(r.Report.Slots)},
		"slowness": {formatRatio(r.Report.Slowness)},
	}

	if queue := r.Report.Waiting.Pack(); queue > 0 {
		values.Set("queue", strconv.FormatUint(queue, 10))
	}

	setNumber(values, "status", r.Status)
	setText(values, "reason", r.Reason)
	setText(values, "crash", r.Crash)

	if r.Delivery != r.Verdict {
		values.Set("delivery", r.Delivery.String())
	}

	if r.RetryAfter > 0 {
		values.Set("after", formatDuration(r.RetryAfter))
	}

	if r.Report.Open {
		values.Set("open", "1")
	}

	if r.Unusable {
		values.Set("unusable", "1")
	}

	if r.Dropped {
		values.Set("dropped", "1")
	}

	if r.Report.Failing > 0 {
		values.Set("failing", formatRatio(r.Report.Failing))
	}

	for _, calls := range r.Report.Calls {
		values.Add("calls", formatRatio(calls.Rate)+" "+calls.Service)
	}

	if r.Report.ColdFor > 0 {
		values.Set("cold", formatDuration(r.Report.ColdFor))
	}

	setNotice(values, r.Notice)

	return values.Encode()
}

func setText(values url.Values, name, text string) {
	if text != "" {
		values.Set(name, text)
	}
}

func setNumber(values url.Values, name string, number int) {
	if number != 0 {
		values.Set(name, strconv.Itoa(number))
	}
}

func formatRatio(ratio float64) string { return strconv.FormatFloat(ratio, 'f', 3, 64) }

// formatDuration formats d as a number of microseconds.
func formatDuration(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

// fieldSet parses typed fields and keeps the first error.
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

// parseField parses a field with parser. A missing field yields the zero value.
func parseField[T any](f *fieldSet, name string, parser func(string) (T, error)) T {
	var zero T

	text := f.text(name)
	if text == "" {
		return zero
	}

	value, err := parser(text)
	if err != nil && f.err == nil {
		f.err = errors.Mark(errors.Wrapf(err, "field %s", name), ErrMalformed)
	}

	return value
}

func (f *fieldSet) integer(name string) int64 {
	return parseField(f, name, func(text string) (int64, error) { return strconv.ParseInt(text, 10, 64) })
}

func (f *fieldSet) unsigned(name string) uint64 {
	return parseField(f, name, func(text string) (uint64, error) { return strconv.ParseUint(text, 10, 64) })
}

func (f *fieldSet) hexadecimal(name string) uint64 {
	return parseField(f, name, func(text string) (uint64, error) { return strconv.ParseUint(text, 16, 64) })
}

func (f *fieldSet) ratio(name string) float64 {
	return parseField(f, name, func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

// calls parses a rate and a service from each value of a field.
func (f *fieldSet) calls(name string) []load.Calls {
	if len(f.values[name]) == 0 {
		return nil
	}

	all := make([]load.Calls, 0, len(f.values[name]))

	for _, text := range f.values[name] {
		rate, service, _ := strings.Cut(text, " ")

		number, err := strconv.ParseFloat(rate, 64)
		if err == nil && !(number > 0) {
			err = errors.New("rate is not a positive number")
		}

		if err != nil && f.err == nil {
			f.err = errors.Mark(errors.Wrapf(err, "field %s", name), ErrMalformed)
		}

		all = append(all, load.Calls{Service: service, Rate: number})
	}

	return all
}

func (f *fieldSet) duration(name string) time.Duration {
	return time.Duration(f.integer(name)) * time.Microsecond
}
