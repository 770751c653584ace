package caller

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/memory"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Guards against a proper request that is blamed for a lack of memory, and against a refusal that does not say that the
// request has not run.
func TestRefuseBody(t *testing.T) {
	for _, c := range []struct {
		err    error
		status int
		retry  bool
	}{
		{nil, http.StatusRequestEntityTooLarge, false},
		{http1.ErrBodyTooLarge, http.StatusRequestEntityTooLarge, false},
		{memory.ErrFull, http.StatusServiceUnavailable, true},
		{http1.ErrBodyAborted, http.StatusServiceUnavailable, true},
		{errors.WithSecondaryError(http1.ErrBodySlow, http1.ErrClosed), http.StatusRequestTimeout, false},
		{http1.ErrClosed, http.StatusBadRequest, false},
	} {
		refusal := refuseBody(c.err)
		require.Equal(t, c.status, refusal.Status(), "%v", c.err)
		require.Equal(t, c.retry, refusal.RetryAfter > 0)
		require.Equal(t, verdict.NotRun, refusal.Verdict)
	}
}
