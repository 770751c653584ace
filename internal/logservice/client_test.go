package logservice_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/standin/logstore"
)

// serve runs a stand-in until the test ends and returns its base URL.
func serve(t *testing.T, store *logstore.Store) string {
	t.Helper()

	url, stop, err := store.Start(context.Background())
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, stop())
		goleak.VerifyNone(t)
	})

	return url
}

func client(t *testing.T, url string) *logservice.Client {
	t.Helper()

	c, err := logservice.New(url, logservice.WithTimeout(200*time.Millisecond))
	require.NoError(t, err)
	t.Cleanup(c.Close)

	return c
}

// Guards against an append that may have taken effect being reported as one that has not, which would
// be repeated; and against the reverse, which would block the queue for an unneeded search.
func TestEffectOfFailedAppend(t *testing.T) {
	for name, test := range map[string]struct {
		faults logstore.Faults
		effect logservice.Effect
		next   uint64
	}{
		"refused":     {logstore.Faults{Outage: logstore.Refuse}, logservice.NotAppended, 0},
		"reset":       {logstore.Faults{Outage: logstore.Reset}, logservice.MayBeAppended, 0},
		"hanging":     {logstore.Faults{Outage: logstore.Hang}, logservice.MayBeAppended, 0},
		"slow":        {logstore.Faults{Latency: time.Second}, logservice.MayBeAppended, 0},
		"answer lost": {logstore.Faults{Lose: 1}, logservice.MayBeAppended, 1},
		"over rate":   {logstore.Faults{Rate: 1e-9}, logservice.NotAppended, 1},
	} {
		t.Run(name, func(t *testing.T) {
			store := logstore.New(logstore.WithFaults(test.faults))
			c := client(t, serve(t, store))

			if test.faults.Rate > 0 {
				// The budget starts with one second's worth, at least one record.
				_, err := c.Append(t.Context(), "config", []byte("first"))
				require.NoError(t, err)
			}

			_, err := c.Append(t.Context(), "config", []byte("record"))

			var failed *logservice.AppendError
			require.ErrorAs(t, err, &failed)
			require.Equal(t, test.effect, failed.Effect)
			require.Equal(t, test.effect, logservice.EffectOf(errors.Wrap(err, "wrapped")))
			require.Equal(t, test.next, store.Read("config", 0, 0).Next)
		})
	}

	_, err := client(t, "http://127.0.0.1:1").Append(t.Context(), "config", []byte("record"))
	require.Equal(t, logservice.NotAppended, logservice.EffectOf(err))
	require.Equal(t, logservice.MayBeAppended, logservice.EffectOf(io.ErrUnexpectedEOF))
}

// Guards against readers that lose their place: by expiry, by a limit, or by old data.
func TestRead(t *testing.T) {
	store := logstore.New()
	url := serve(t, store)
	c := client(t, url)

	for _, text := range []string{"a", "b", "c", "d"} {
		_, err := c.Append(t.Context(), "config", []byte(text))
		require.NoError(t, err)
	}

	store.Expire("config", 1)

	page, err := c.Read(t.Context(), "config", 0, 2)
	require.NoError(t, err)
	require.Equal(t, logservice.Page{First: 1, Next: 4, Records: []logservice.Record{
		{Offset: 1, Data: []byte("b")}, {Offset: 2, Data: []byte("c")},
	}}, page)

	control(t, url, `{"stale": "1h", "outage": "none"}`, http.StatusOK)

	page, err = c.Read(t.Context(), "config", 4, 0)
	require.NoError(t, err)
	require.Equal(t, logservice.Page{First: 1, Next: 1}, page)

	control(t, url, `{"stale": "0s", "age": "1ns"}`, http.StatusOK)

	page, err = c.Read(t.Context(), "config", 0, 0)
	require.NoError(t, err)
	require.Equal(t, logservice.Page{First: 4, Next: 4}, page)

	control(t, url, `{"outage": "partial"}`, http.StatusBadRequest)
	control(t, url, `{"outage": "refuse"}`, http.StatusOK)

	_, err = c.Read(t.Context(), "config", 0, 0)

	var failed *logservice.ReadError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, http.StatusServiceUnavailable, failed.Status)
}

func control(t *testing.T, url, body string, status int) {
	t.Helper()

	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url+"/control", strings.NewReader(body))
	require.NoError(t, err)

	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	http.DefaultClient.CloseIdleConnections()
	require.Equal(t, status, response.StatusCode)
}
