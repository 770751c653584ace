package daemon_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
)

// startFleet starts a fleet in which fleet.Manifest is in force. The fleet stops at the end of the test.
func startFleet(t *testing.T) *fleet.Fleet {
	t.Helper()

	f, err := fleet.Start(t.Context(), fleet.ExampleNodes(time.Millisecond))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	_, err = f.Publish(ctx, fleet.Manifest)
	require.NoError(t, err)

	return f
}

// doRequest sends a request, with an idempotency key if key is not empty. It returns the response and its trimmed body.
func doRequest(t *testing.T, method, url, host, key, body string) (*http.Response, string) {
	t.Helper()

	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)

	r.Host = host
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}

	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)

	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())

	return response, string(bytes.TrimSpace(data))
}

// Guards against failures anywhere on the path of a request from a caller to a backend server and back: for a lookup, a
// large download, and an order that is resent to other daemons.
func TestRequestPath(t *testing.T) {
	f := startFleet(t)
	entry := f.Instances[9].CallerURL()

	response, body := doRequest(t, http.MethodGet, entry+"/stock/5", "stockdesk", "", "")
	require.Equal(t, http.StatusOK, response.StatusCode, body)
	require.Contains(t, body, "stock of 5")

	response, body = doRequest(t, http.MethodGet, entry+"/label/3000000", "stockdesk", "", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, body, 3000000)

	key := uuid.Must(uuid.NewV7()).String()
	var first string

	require.Eventually(t, func() bool {
		response, first = doRequest(t, http.MethodPost, entry+"/orders", "stockdesk", key, "12 dumplings")

		return response.StatusCode == http.StatusCreated
	}, 20*time.Second, 100*time.Millisecond, "no owner accepted the order")

	for _, i := range f.Instances[:4] {
		response, again := doRequest(t, http.MethodPost, i.CallerURL()+"/orders", "stockdesk", key, "12 dumplings")
		require.Equal(t, http.StatusCreated, response.StatusCode, again)
		require.Equal(t, first, again)
	}

	require.Equal(t, 1, f.Executions()[key])
}
