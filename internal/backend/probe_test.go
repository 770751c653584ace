package backend_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/platform"
)

// healthServer answers probes by its state, and writes the earlier response in their place on request.
type healthServer struct {
	mutex sync.Mutex
	// draining is the present state.
	draining bool
	// copies is the number of probes on connections with earlier responses that get a copy of the first one.
	copies int
	probes int
	// cold is the cold time that the next response states, in milliseconds; nothing for none.
	cold string
}

func (h *healthServer) respond(number int, r *http.Request) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	if r.Header.Get("Attempt-Id") != "" {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n",
			r.Header.Get("Attempt-Id"))
	}

	h.probes++

	const ready = "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nServer-Load: 1,0,4\r\nContent-Length: 0\r\n\r\n"

	switch {
	case number > 1 && h.copies > 0:
		h.copies--

		return ready
	case h.draining:
		return "HTTP/1.1 503 Service Unavailable\r\nInstance-Id: i-1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	case h.cold != "":
		return strings.Replace(ready, "Content", "Cold-Ms: "+h.cold+"\r\nContent", 1)
	default:
		return ready
	}
}

// TestColdHealth guards against a cold time that is not read, and against a second probe after each one because the
// time that is left runs down.
func TestColdHealth(t *testing.T) {
	h := &healthServer{}
	s := newServer(t, serveRaw(t, h.respond), platform.Dialect())

	for i, text := range []string{"", "2500", "2400.5", "2300", "0"} {
		h.mutex.Lock()
		h.cold = text
		h.mutex.Unlock()

		health, err := s.Probe(t.Context(), "/health")
		require.NoError(t, err)
		require.Equal(t, text != "", health.HasCold)
		require.InDelta(t, []float64{0, 2500, 2400.5, 2300, 0}[i], health.ColdFor.Seconds()*1000, 0.001)
	}

	// Only the first time and the zero are new.
	require.Equal(t, 7, h.probes)
}

// TestCopiedHealth guards against a copy of an earlier health response on a kept connection whose statement is told as
// new: here that the server, which leaves, is ready.
func TestCopiedHealth(t *testing.T) {
	h := &healthServer{}
	s := newServer(t, serveRaw(t, h.respond), platform.Dialect())

	probe := func() bool {
		health, err := s.Probe(t.Context(), "/health")
		require.NoError(t, err)

		return health.Draining
	}
	keepConnection := func(id string) {
		response, err := s.Do(t.Context(), order(id, false))
		require.NoError(t, err)
		read(t, response)
	}

	require.False(t, probe())
	require.False(t, probe())
	require.Equal(t, 2, h.probes, "what is known needs no second probe")

	h.mutex.Lock()
	h.draining = true
	h.mutex.Unlock()
	require.True(t, probe())

	keepConnection("a1")

	h.mutex.Lock()
	h.copies = 1
	h.mutex.Unlock()
	require.True(t, probe(), "a copy of the first response says that the server is ready")
}
