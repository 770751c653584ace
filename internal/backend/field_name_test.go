package backend_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/raw"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// wrongNames returns spellings of the name of a field that hold a blank or a control byte, by a description.
func wrongNames(name string) map[string]string {
	wrong := make(map[string]string)

	for octet := byte(0); octet <= 0x7f; octet++ {
		if octet > ' ' && octet < 0x7f || octet == '\n' {
			continue
		}

		for place, at := range map[string]int{"start": 0, "middle": len(name) / 2, "end": len(name)} {
			wrong[fmt.Sprintf("%s with %#02x at the %s", name, octet, place)] = name[:at] + string(octet) + name[at:]
		}
	}

	return wrong
}

// TestWrongFieldName guards against a response in whose head the name of a field holds a blank or a control byte. Its line is
// not read as the field that it resembles, so that the body may be framed otherwise than the server means.
func TestWrongFieldName(t *testing.T) {
	const marked = "Attempt-Id: a1\r\nResponse-Seal: s\r\n"

	for field, framing := range map[string]struct{ value, body string }{
		"Content-Length":    {"4", "whole response of nobody"},
		"Transfer-Encoding": {"chunked", "4\r\nbody\r\n0\r\n\r\n"},
		"X-Field":           {"1", "body"},
	} {
		for description, name := range wrongNames(field) {
			t.Run(description, func(t *testing.T) {
				line := name + ": " + framing.value + "\r\n"

				for place, text := range map[string]string{
					"first":   "HTTP/1.1 200 OK\r\n" + line + marked + "\r\n" + framing.body,
					"last":    "HTTP/1.1 200 OK\r\n" + marked + line + "\r\n" + framing.body,
					"old":     "HTTP/1.0 200 OK\r\n" + marked + line + "\r\n" + framing.body,
					"refusal": "HTTP/1.1 503 No\r\n" + marked + "Not-Executed: 1\r\n" + line + "\r\n" + framing.body,
					"interim": "HTTP/1.1 103 Early Hints\r\n" + line + "\r\nHTTP/1.1 200 OK\r\n" + marked + "Content-Length: 0\r\n\r\n",
				} {
					requireRefused(t, serveEarly(t, text, raw.End), place)
				}
			})
		}
	}
}

// requireRefused requires that no response of a server answers a request, and that the request may have run.
func requireRefused(t *testing.T, s *backend.Server, place string) {
	t.Helper()

	response, err := s.Do(t.Context(), order("a1", true))
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}

	require.Error(t, err, place)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err), place)
}

// TestHealthWithWrongFieldName guards against a server that counts as healthy by a response that is none.
func TestHealthWithWrongFieldName(t *testing.T) {
	for description, name := range wrongNames("X-Field") {
		t.Run(description, func(t *testing.T) {
			for place, text := range map[string]string{
				"head":    "HTTP/1.1 200 OK\r\nInstance-Id: i\r\n" + name + ": 1\r\nContent-Length: 0\r\n\r\n",
				"interim": "HTTP/1.1 103 Early Hints\r\n" + name + ": 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
				"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + name + ": 1\r\n\r\n",
			} {
				_, err := serveEarly(t, text, raw.End).Probe(t.Context(), "/health")
				require.Error(t, err, place)
			}
		})
	}
}
