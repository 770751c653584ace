// Package httpdial makes HTTP/1.1 transports that count the connections they open.
package httpdial

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = time.Second
	bufferSize  = 32 << 10 // bytes
)

// Transport is an http.Transport that passes bodies on as they are.
type Transport struct {
	*http.Transport
	dials atomic.Int64
}

// New returns a transport with up to connections connections to one host.
func New(connections int, idle time.Duration) *Transport {
	t := &Transport{}
	dialer := net.Dialer{Timeout: dialTimeout}
	t.Transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			t.dials.Add(1)

			return dialer.DialContext(ctx, network, address)
		},
		DisableCompression:  true,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idle,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
	}

	return t
}

// Dials returns the number of connections opened.
func (t *Transport) Dials() int64 { return t.dials.Load() }
