package http1_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/http1"
)

// Guards against a panic of the handler that ends the process, leaves the connection open, or counts as a response.
func TestPanicInHandler(t *testing.T) {
	var panics atomic.Int64

	s, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
		if strings.HasPrefix(x.Request.URL.Path, "/panic") {
			panic("test: handler")
		}

		_ = x.Respond(http1.Response{Status: http.StatusOK, Header: http.Header{}, Body: http1.Body{Reader: http.NoBody}})
	}), http1.WithPanicHandler(func(string, any, []byte) { panics.Add(1) }))

	p := dial(t, address)
	p.send("GET /panic HTTP/1.1\r\nHost: h\r\n\r\n")
	p.requireEnd()

	// The connection is closed while the panic unwinds, before the panic is reported.
	require.Eventually(t, func() bool { return panics.Load() == 1 && s.OpenRequests() == 0 },
		time.Second, time.Millisecond)

	p = dial(t, address)
	p.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")

	response, _ := p.read()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.EqualValues(t, 1, panics.Load())
}
