package http1

import (
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/tarragonmill/tarragonmill/internal/memory"
)

// errBadField is returned for a header field that other parsers may interpret differently.
var errBadField = errors.New("invalid header field")

// DefaultMaxFields is the default limit on the number of header fields. A head of 16 KiB cannot have more.
const DefaultMaxFields = 4 << 10

// ErrTooManyFields is returned for a head with more fields than the limit.
var ErrTooManyFields = errors.New("head has too many fields")

// countFields returns the number of header fields.
func countFields(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}

	return count
}

// checkHead returns an error for heads that http.ReadRequest accepts but net/http's server refuses, and for those with more
// fields than the limit.
func checkHead(r *http.Request, fields int) error {
	if countFields(r.Header) > fields {
		return ErrTooManyFields
	}

	if !httpguts.ValidHostHeader(r.Host) || r.ProtoAtLeast(1, 1) && r.Host == "" {
		return errors.Wrap(errBadField, "Host")
	}

	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(errBadField, "name %q", name)
		}

		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Wrapf(errBadField, "value of %q", name)
			}
		}
	}

	return nil
}

func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// refuseHead sends an error response to a head that cannot be parsed, if the peer is still connected.
func (c *conn) refuseHead(err error) {
	status, header := http.StatusBadRequest, http.Header{}

	// The parser may report an incomplete head as a malformed one.
	if c.input.err != nil {
		err = c.input.err
	}

	var netErr net.Error

	switch {
	case errors.Is(err, memory.ErrFull):
		status = http.StatusServiceUnavailable

		header.Set("Retry-After", "1")
	case errors.IsAny(err, ErrHeadTooLarge, ErrTooManyFields):
		status = http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.As(err, &netErr):
		return
	}

	c.mutex.Lock()
	previous := c.last
	c.closing = true
	c.mutex.Unlock()

	if previous != nil {
		select {
		case <-previous.done:
		case <-c.ctx.Done():
			return
		}
	}

	_ = c.writeResponse(http.MethodGet, Response{Status: status, Header: header, Body: noBody()}, true)
}
