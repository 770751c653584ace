package daemon

import (
	"context"
	"net/http"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
)

// localCall implements attempt.IncomingCall for a call that this daemon makes to itself.
type localCall struct {
	progress attempt.ProgressFunc
	body     []byte
}

// SendQueued implements attempt.IncomingCall.
func (c localCall) SendQueued() error {
	c.progress(false)

	return nil
}

// SendRunning implements attempt.IncomingCall.
func (c localCall) SendRunning() error {
	if !c.progress(true) {
		return attempt.ErrWithdrawn
	}

	return nil
}

// ReadBody implements attempt.IncomingCall.
func (c localCall) ReadBody() ([]byte, error) { return c.body, nil }

// serveLocal serves a call that this daemon makes to itself.
func (d *Daemon) serveLocal(ctx context.Context, call attempt.Call, progress attempt.ProgressFunc) *attempt.Response {
	answer := d.serveAttempt(ctx, call, localCall{progress: progress, body: call.Body})
	response := &attempt.Response{
		Reply: answer.Reply, Header: answer.Header, Body: answer.Body, Length: answer.Length,
	}

	if response.Body == nil {
		response.Body = http.NoBody
	}

	return response
}
