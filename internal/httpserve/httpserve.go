// Package httpserve runs an HTTP server until a context ends.
package httpserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Run serves on a listener until ctx ends. It then waits for at most grace until the requests in progress have ended,
// and closes the connections of the others. It closes the listener.
func Run(ctx context.Context, server *http.Server, listener net.Listener, grace time.Duration) error {
	ended := make(chan error, 1)

	go func() { ended <- server.Serve(listener) }()

	select {
	case err := <-ended:
		return errors.Wrap(err, "serve HTTP")
	case <-ctx.Done():
	}

	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()

	err := server.Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}

	if serveErr := <-ended; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.CombineErrors(err, serveErr)
	}

	return errors.Wrap(err, "shut down HTTP server")
}
