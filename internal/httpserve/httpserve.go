// Package httpserve runs an HTTP server until a context ends.
package httpserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Run serves on a listener until ctx ends, then waits up to grace for running requests and cuts off the
// rest. It closes the listener.
func Run(ctx context.Context, server *http.Server, listener net.Listener, grace time.Duration) error {
	ended := make(chan error, 1)

	go func() { ended <- server.Serve(listener) }()

	select {
	case err := <-ended:
		return errors.Wrap(err, "serve HTTP")
	case <-ctx.Done():
	}

	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()

	err := server.Shutdown(limited)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}

	if served := <-ended; !errors.Is(served, http.ErrServerClosed) {
		err = errors.CombineErrors(err, served)
	}

	return errors.Wrap(err, "shut down HTTP server")
}
