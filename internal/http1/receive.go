package http1

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/tarragonmill/tarragonmill/internal/httpheader"
)

const (
	// maxStatus is the largest status of a response (RFC 9110, section 15).
	maxStatus = 599
	// maxInterim is the largest number of interim responses before a final one.
	maxInterim = 32
)

// ErrInvalidResponse is returned for bytes that have the form of a response and are none: a status outside 100 to 599,
// 101 although no upgrade was requested, an interim response with a body, too many interim responses, a transfer coding in
// HTTP/1.0, or a line in the head or the trailer that does not begin with the name of a field. What follows them on the
// connection cannot be assigned to a request, so the connection must be closed.
var ErrInvalidResponse = errors.New("invalid response")

// Read returns the next response on the connection, which may be an interim response. It returns ErrHeadTooLarge if the
// interim responses and the head of the final response exceed the limit of the pool, and ErrInvalidResponse.
func (c *ClientConn) Read(method string) (*http.Response, error) {
	if !c.input.limited {
		c.input.setLimit(c.pool.maxHead)
	}

	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.input.startRecording(buffered)

	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	head := c.input.stopRecording(c.reader.Buffered())

	switch {
	case err == nil:
		err = c.checkResponse(response, head)
	case errors.Is(c.input.err, ErrHeadTooLarge):
		// The parser may report an incomplete head as a malformed one.
		err = ErrHeadTooLarge
	}

	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}

	if response.StatusCode >= http.StatusOK {
		c.input.clearLimit()

		if len(response.TransferEncoding) > 0 {
			response.Body = &trailedBody{ReadCloser: response.Body, response: response}
		}
	}

	return response, nil
}

// trailedBody is the body of a response in chunks, which may have a trailer after it.
type trailedBody struct {
	io.ReadCloser

	response *http.Response
}

// Read implements io.Reader. At the end of the body, it returns ErrInvalidResponse if the trailer has an invalid field.
func (b *trailedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF { //nolint:errorlint // The parser returns it unwrapped
		if name, found := httpheader.InvalidName(b.response.Trailer); found {
			return n, errors.Wrapf(ErrInvalidResponse, "field %q of the trailer", name)
		}
	}

	return n, err //nolint:wrapcheck // The error is that of the parser.
}

// IsFinal reports whether a status is that of a final response.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// checkResponse returns ErrInvalidResponse unless a response may follow the earlier ones of the connection and its head is
// unambiguous.
func (c *ClientConn) checkResponse(response *http.Response, head []byte) error {
	if err := checkFieldLines(response, head); err != nil {
		return err
	}

	status := response.StatusCode

	switch {
	case IsFinal(status):
		c.interim = 0

		return nil
	case status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols:
		return errors.Wrapf(ErrInvalidResponse, "status %03d", status)
	case statesBody(response):
		return errors.Wrapf(ErrInvalidResponse, "status %d with a body", status)
	}

	if c.interim++; c.interim > maxInterim {
		return errors.Wrapf(ErrInvalidResponse, "more than %d interim responses", maxInterim)
	}

	return nil
}

// checkFieldLines returns ErrInvalidResponse unless each line of a head after the first begins with the name of a field. The
// parser accepts names with blanks as other fields, so that it overlooks a length, for example, and takes a line that begins
// with a blank for a part of the line before (RFC 9112, sections 5.1 and 5.2). It also ignores a transfer coding in HTTP/1.0,
// which has none, so that the framing of the body is faulty (section 6.1).
func checkFieldLines(response *http.Response, head []byte) error {
	_, fields, _ := bytes.Cut(head, newline)

	for line := range bytes.Lines(fields) {
		name, _, _ := bytes.Cut(line, colon)
		if len(bytes.TrimRight(line, "\r\n")) > 0 && !httpguts.ValidHeaderFieldName(string(name)) {
			return errors.Wrapf(ErrInvalidResponse, "field %q", name)
		}

		if bytes.EqualFold(name, transferEncoding) && !response.ProtoAtLeast(1, 1) {
			return errors.Wrapf(ErrInvalidResponse, "%s with a transfer coding", response.Proto)
		}
	}

	return nil
}

var (
	newline          = []byte{'\n'}
	colon            = []byte{':'}
	transferEncoding = []byte("Transfer-Encoding")
)

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
