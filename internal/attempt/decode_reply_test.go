package attempt

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// maxStatus is the largest status of a response (RFC 9110, section 15).
const maxStatus = 599

// TestReplyStatus guards against a status from another daemon that is sent to a caller although it is none of a final
// response.
func TestReplyStatus(t *testing.T) {
	for _, status := range []int{0, http.StatusOK, 299, http.StatusNotFound, maxStatus} {
		decoded, err := decodeReply(Reply{Verdict: verdict.Answered, Status: status}.encode())
		require.NoError(t, err)
		require.Equal(t, status, decoded.Status)
	}

	for _, status := range []int{-1, 1, 99, http.StatusContinue, http.StatusSwitchingProtocols, 199, maxStatus + 1, 999} {
		_, err := decodeReply(Reply{Verdict: verdict.Answered, Status: status}.encode())
		require.ErrorIs(t, err, ErrMalformed, "status %d", status)
	}
}
