package attempt

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/httpheader"
)

// ErrNotCommitted is returned if a call ended before its commit byte.
var ErrNotCommitted = errors.New("call was not committed")

// IncomingCall is a call that the daemon beside a backend server has received.
type IncomingCall interface {
	// SendQueued tells the entry daemon that the request waits for a slot.
	SendQueued() error
	// SendRunning tells the entry daemon that the request has a slot.
	SendRunning() error
	// ReadBody waits for the whole body and the commit byte, and returns the body. The request must not run before
	// ReadBody has returned without an error.
	ReadBody() ([]byte, error)
}

// Answer is what a daemon sends for a call: a reply with the header and body of the backend server's response.
type Answer struct {
	Reply  Reply
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes, or http1.UnknownLength.
	Length int64
}

// ServeFunc runs a call or refuses it. The context ends when the entry daemon withdraws the call.
type ServeFunc func(ctx context.Context, call Call, in IncomingCall) Answer

// HandoverFunc accepts a part of the key table of an owner that leaves the fleet.
type HandoverFunc func(data []byte) error

// NewHandler returns the handler for the requests of other daemons. It refuses requests without the fleet's key. It
// passes calls for the local backend server to serve, calls whose idempotency key the daemon owns to owned, and parts
// of key tables to handOver.
func NewHandler(key string, serve, owned ServeFunc, handOver HandoverFunc, options ...HandlerOption) http1.Handler {
	h := &handler{answers: make(chan struct{}, maxConfigurationAnswers)}
	for _, option := range options {
		option(h)
	}

	return http1.HandlerFunc(func(ctx context.Context, x *http1.Exchange) {
		presented := x.Request.Header.Get(FleetKeyHeader)
		if subtle.ConstantTimeCompare([]byte(presented), []byte(key)) != 1 {
			respondStatus(x, http.StatusForbidden)

			return
		}

		switch x.Request.URL.Path {
		case CallPath:
			serveCall(ctx, x, serve)
		case OwnedPath:
			serveCall(ctx, x, owned)
		case HandoverPath:
			serveHandover(x, handOver)
		case ConfigurationPath:
			h.serveConfiguration(x)
		default:
			respondStatus(x, http.StatusNotFound)
		}
	})
}

// handler holds what is optional in a handler.
type handler struct {
	configuration ConfigurationFunc
	// answers holds a value for each answer with the configuration that is being sent.
	answers chan struct{}
}

func serveHandover(x *http1.Exchange, handOver HandoverFunc) {
	body, err := x.Body()
	if err == nil {
		err = handOver(body)
	}

	if err != nil {
		respondStatus(x, http.StatusBadRequest)

		return
	}

	_ = x.Respond(http1.Response{Status: http.StatusOK, Header: http.Header{}, Body: http1.Body{Reader: http.NoBody}})
}

func serveCall(ctx context.Context, x *http1.Exchange, serve ServeFunc) {
	call, err := decodeCall(x.Request.Header.Get(CallHeader))
	if err != nil {
		respondStatus(x, http.StatusBadRequest)

		return
	}

	// The body arrives while the request waits for a slot.
	x.AcceptBody(-1, 0)

	call.Header = httpheader.Forwardable(x.Request.Header)
	respond(x, serve(ctx, call, incomingCall{x}))
}

func respondStatus(x *http1.Exchange, status int) {
	// The connection is closed after the response; an error needs no handling.
	_ = x.Respond(http1.Response{
		Status: status, Header: http.Header{}, Body: http1.Body{Reader: http.NoBody}, Close: true,
	})
}

func respond(x *http1.Exchange, answer Answer) {
	header := make(http.Header, len(answer.Header)+1)
	httpheader.Copy(header, answer.Header)
	header[ReplyHeader] = []string{answer.Reply.encode()}

	response := http1.Response{Status: http.StatusOK, Header: header, Body: http1.Body{Reader: http.NoBody}}
	if answer.Body != nil {
		response.Body = http1.Body{Reader: answer.Body, Length: answer.Length}

		defer func() { _ = answer.Body.Close() }()
	}

	// After an error, the connection has ended, by which the entry daemon sees that the reply is incomplete.
	_ = x.Respond(response)
}

type incomingCall struct{ exchange *http1.Exchange }

func (i incomingCall) SendQueued() error { return i.exchange.SendProcessing() }

func (i incomingCall) SendRunning() error { return i.exchange.SendContinue() }

func (i incomingCall) ReadBody() ([]byte, error) {
	body, err := i.exchange.Body()
	if err != nil {
		return nil, errors.Mark(err, ErrNotCommitted)
	}

	last := len(body) - 1
	if last < 0 || body[last] != commitByte {
		return nil, ErrNotCommitted
	}

	return body[:last], nil
}
