package attempt_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// Guards against a fetched configuration that lacks a part, against one for a daemon without the fleet's key, and against
// bytes for a daemon that has everything.
func TestFetchConfiguration(t *testing.T) {
	held := attempt.Configuration{
		Version: 8, Epoch: 2, Record: []byte(`{"version":"r8"}`), Read: store.Position{Epoch: 3, Offset: 12},
		Evacuated: []string{"d1", "d2"},
	}
	address := serve(t, nil, attempt.WithConfiguration(func(version uint64, read store.Position) (attempt.Configuration, bool) {
		return held, held.Version > version || held.Read.After(read)
	}))
	fetch := func(key string, version uint64, read store.Position) (attempt.Configuration, error) {
		return newClient(t, key).FetchConfiguration(t.Context(), address, version, read)
	}

	got, err := fetch(fleetKey, 7, store.Position{Epoch: 3, Offset: 12})
	require.NoError(t, err)
	require.Equal(t, held, got)

	_, err = fetch(fleetKey, 8, held.Read)
	require.ErrorIs(t, err, attempt.ErrNoConfiguration)

	_, err = fetch("another key", 7, store.Position{})
	require.ErrorContains(t, err, "403")
}

// Guards against an answer that makes a daemon keep more memory than the largest configuration, and against one that is
// malformed and used.
func TestForgedConfiguration(t *testing.T) {
	large := make([]byte, 64<<10)
	whole := attempt.EncodeConfiguration(attempt.Configuration{Version: 8, Record: []byte("record")})
	// Field 5, the end, is 2^63.
	negative := []byte{5 << 3, 128, 128, 128, 128, 128, 128, 128, 128, 128, 1}
	write := func(data []byte) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) }
	}

	for name, answer := range map[string]http.HandlerFunc{
		"no configuration": write([]byte("<html>")), "cut off": write(whole[:len(whole)-1]), "negative": write(negative),
		"length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(attempt.MaxConfiguration+1))
			_, _ = w.Write(large)
		},
		"endless": func(w http.ResponseWriter, _ *http.Request) {
			for written := true; written; {
				_, err := w.Write(large)
				written = err == nil
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(answer)
			defer server.Close()

			address := netip.MustParseAddrPort(server.Listener.Addr().String())
			_, err := newClient(t, fleetKey).FetchConfiguration(context.Background(), address, 7, store.Position{})
			require.ErrorIs(t, err, attempt.ErrBadConfiguration)
		})
	}
}
