package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
)

// TestInvalidResponses guards against a caller that gets the body of an invalid response as a response, or a status that no
// response has.
func TestInvalidResponses(t *testing.T) {
	f, err := fleet.Start(t.Context(), []fleet.Node{faultyNode(backend.None)})
	require.NoError(t, err)

	defer func() { require.NoError(t, f.Stop()) }()

	_, err = f.Publish(t.Context(), fleet.Manifest)
	require.NoError(t, err)

	for name, fault := range map[string]backend.Fault{
		"000": backend.ZeroStatus, "999": backend.HighStatus, "upgrade": backend.Upgrade, "interim": backend.InterimBody,
	} {
		t.Run(name, func(t *testing.T) {
			f.Instances[0].Server.SetBehaviour(faultyNode(fault).Behaviour)

			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.Instances[0].CallerURL()+"/stock/1", nil)
			require.NoError(t, err)

			r.Host = "stockdesk"

			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)

			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.True(t, strings.HasPrefix(string(body), "{\"title\""), "%s", body)
		})
	}
}
