// Package logservice is the HTTP client of the platform's append-only log service. It does not
// repeat a request: whether an append may be repeated is the caller's decision.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Record is one entry of a stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Page is what a read returns.
type Page struct {
	// First is the first retained offset. Earlier records have expired.
	First uint64
	// Records are contiguous and start at the offset asked for, or at First if that is later.
	Records []Record
	// Next is the offset that the next append would get when the page was read. It may be far
	// beyond the records, and before the offset asked for if the service answers with old data.
	Next uint64
}

const (
	// defaultTimeout bounds one request. It is below the 3 s in which a version is in force.
	defaultTimeout = 2 * time.Second
	// maxResponse bounds a response in bytes: a page of 4 MiB in Base64, with room for its frame.
	maxResponse = 8 << 20
)

// Client speaks to one log service. It is safe for concurrent use.
type Client struct {
	base    *url.URL
	http    *http.Client
	timeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithHTTPClient replaces the HTTP client.
func WithHTTPClient(client *http.Client) Option { return func(c *Client) { c.http = client } }

// WithTimeout bounds each request.
func WithTimeout(timeout time.Duration) Option { return func(c *Client) { c.timeout = timeout } }

// New returns a client for the service at a base URL.
func New(base string, options ...Option) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "log service URL")
	}

	if parsed.Scheme == "" || parsed.Host == "" {
		return nil, errors.Newf("log service URL %q: scheme or host is missing", base)
	}

	client := &Client{
		base: parsed, timeout: defaultTimeout,
		// The log service is reached directly, never through a proxy of the environment.
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute,
		}},
	}
	for _, option := range options {
		option(client)
	}

	return client, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append adds a record to a stream and returns its offset. An error is an *AppendError.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()

	// A request for which no connection was obtained was not sent.
	var connected atomic.Bool

	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.target(stream, nil), bytes.NewReader(data))
	if err != nil {
		return 0, &AppendError{Stream: stream, Effect: NotAppended, Cause: err}
	}

	request.Header.Set("Content-Type", "application/octet-stream")

	response, err := c.http.Do(request)
	if err != nil {
		effect := NotAppended
		if connected.Load() {
			effect = MayBeAppended
		}

		return 0, &AppendError{Stream: stream, Effect: effect, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()

	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if response.StatusCode != http.StatusOK {
		return 0, &AppendError{
			Stream: stream, Effect: effectOf(response.StatusCode), Status: response.StatusCode,
			RetryAfter: retryAfter(response), Cause: errors.Newf("status %d: %.200s", response.StatusCode, body),
		}
	}

	var answer struct {
		Offset *uint64 `json:"offset"`
	}

	if err == nil {
		err = json.Unmarshal(body, &answer)
	}

	if err == nil && answer.Offset == nil {
		err = errors.New("answer without an offset")
	}

	if err != nil {
		return 0, &AppendError{Stream: stream, Effect: MayBeAppended, Status: response.StatusCode, Cause: err}
	}

	return *answer.Offset, nil
}

// Read returns records from an offset on, at most limit if that is positive. An error is a
// *ReadError.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()

	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "limit": {strconv.Itoa(max(limit, 0))}}

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.target(stream, query), http.NoBody)
	if err != nil {
		return Page{}, &ReadError{Stream: stream, From: from, Cause: err}
	}

	response, err := c.http.Do(request)
	if err != nil {
		return Page{}, &ReadError{Stream: stream, From: from, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()

	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Newf("status %d: %.200s", response.StatusCode, body)
	}

	var page Page
	if err == nil {
		page, err = decodePage(body, from)
	}

	if err != nil {
		return Page{}, &ReadError{Stream: stream, From: from, Status: response.StatusCode, Cause: err}
	}

	return page, nil
}

// decodePage checks that records are contiguous, because readers decide by offset.
func decodePage(body []byte, from uint64) (Page, error) {
	var wire struct {
		First   uint64 `json:"first"`
		Next    uint64 `json:"next"`
		Records []struct {
			Offset uint64 `json:"offset"`
			Data   []byte `json:"data"`
		} `json:"records"`
	}

	if err := json.Unmarshal(body, &wire); err != nil {
		return Page{}, errors.Wrap(err, "page")
	}

	if wire.First > wire.Next {
		return Page{}, errors.Newf("page: first offset %d after next offset %d", wire.First, wire.Next)
	}

	page := Page{First: wire.First, Next: wire.Next}
	expected := max(from, wire.First)

	for _, record := range wire.Records {
		if record.Offset != expected || record.Offset >= wire.Next {
			return Page{}, errors.Newf("page: record at offset %d, expected %d before %d",
				record.Offset, expected, wire.Next)
		}

		page.Records = append(page.Records, Record{Offset: record.Offset, Data: record.Data})
		expected++
	}

	return page, nil
}

func (c *Client) target(stream string, query url.Values) string {
	target := c.base.JoinPath("streams", url.PathEscape(stream))
	target.RawQuery = query.Encode()

	return target.String()
}
