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

// ErrNotCommitted is returned if a call broke off before the end of its body.
var ErrNotCommitted = errors.New("call was not committed")

// Incoming is a call at the daemon beside a server.
type IncomingCall interface {
	// Queued tells the entry daemon that the request waits for a slot.
	SendQueued() error
	// Running tells the entry daemon that the request has a slot.
	SendRunning() error
	// Body waits for the whole body. Nothing may run before it has returned without an error.
	ReadBody() ([]byte, error)
}

// Answer is a reply with the header and body of a response.
type Answer struct {
	Reply  Reply
	Header http.Header
	Body   io.ReadCloser
	// Length of the body, or http1.UnknownLength.
	Length int64
}

// Serve runs a call or refuses it. The context ends when the entry daemon withdraws the call.
type ServeFunc func(ctx context.Context, call Call, in IncomingCall) Answer

// HandOver takes a part of the key table of a leaving owner.
type HandoverFunc func(data []byte) error

// NewHandler returns the handler of what other daemons send. What comes without the fleet's key is refused.
func NewHandler(key string, serve, owned ServeFunc, handOver HandoverFunc) http1.Handler {
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
			takeHandover(x, handOver)
		default:
			respondStatus(x, http.StatusNotFound)
		}
	})
}

func takeHandover(x *http1.Exchange, handOver HandoverFunc) {
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

	call.Header = httpheader.Forwardable(x.Request.Header)
	respond(x, serve(ctx, call, incomingCall{x}))
}

func respondStatus(x *http1.Exchange, status int) {
	// The connection ends; there is nobody to tell if that fails.
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

	// After an error, the connection has ended, which is what the entry daemon is to see.
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
