package http1

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// maxStatus is the largest status of a response (RFC 9110, section 15).
	maxStatus = 599
	// maxInterim is the largest number of interim responses before a final one.
	maxInterim = 32
)

// ErrInvalidResponse is returned for bytes that have the form of a response and are none: a status outside 100 to 599,
// 101 although no upgrade was requested, an interim response with a body, or too many interim responses. What follows
// them on the connection cannot be assigned to a request, so the connection must be closed.
var ErrInvalidResponse = errors.New("invalid response")

// Read returns the next response on the connection, which may be an interim response. It returns ErrHeadTooLarge if the
// interim responses and the head of the final response exceed the limit of the pool, and ErrInvalidResponse.
func (c *ClientConn) Read(method string) (*http.Response, error) {
	if !c.input.limited {
		c.input.setLimit(c.pool.maxHead)
	}

	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})

	switch {
	case err == nil:
		err = c.checkResponse(response)
	case errors.Is(c.input.err, ErrHeadTooLarge):
		// The parser may report an incomplete head as a malformed one.
		err = ErrHeadTooLarge
	}

	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}

	if response.StatusCode >= http.StatusOK {
		c.input.clearLimit()
	}

	return response, nil
}

// checkResponse returns ErrInvalidResponse unless a response may follow the earlier ones of the connection.
func (c *ClientConn) checkResponse(response *http.Response) error {
	status := response.StatusCode

	switch {
	case status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols:
		return errors.Wrapf(ErrInvalidResponse, "status %03d", status)
	case status >= http.StatusOK:
		c.interim = 0

		return nil
	case statesBody(response):
		return errors.Wrapf(ErrInvalidResponse, "status %d with a body", status)
	}

	if c.interim++; c.interim > maxInterim {
		return errors.Wrapf(ErrInvalidResponse, "more than %d interim responses", maxInterim)
	}

	return nil
}

// statesBody reports whether the head of an interim response states a body. The parser ignores such a statement.
func statesBody(response *http.Response) bool {
	length := response.Header.Get("Content-Length")

	return length != "" && length != "0" || len(response.TransferEncoding) > 0
}

// ReadFinal returns the next final response and skips interim responses. Errors are those of Read.
func (c *ClientConn) ReadFinal(method string) (*http.Response, error) {
	for {
		response, err := c.Read(method)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}
