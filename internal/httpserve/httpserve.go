// Package httpserve runs an HTTP server until a context ends.
package httpserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Run serves on a listener until ctx ends. It then waits for at most grace for the requests in progress to end, and
// closes the connections of those that have not. It closes the listener. It returns an error if the server fails before
// ctx ends, or if the shutdown fails.
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
