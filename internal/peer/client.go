package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/peer/peerpb"
	"github.com/tarragonmill/tarragonmill/internal/peer/peerpb/peerpbconnect"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

const (
	dialTimeout = time.Second
	// maxConns per peer: calls share one HTTP/2 connection, the second takes over while the first is
	// being found broken.
	maxConns = 2
	// clientIdle closes connections to peers that are asked only now and then.
	clientIdle = 15 * time.Second
	// pingAfter and pingTimeout find connections that a partition cut without a reset, so that the
	// next call dials anew.
	pingAfter   = 3 * time.Second
	pingTimeout = time.Second
)

// Client calls the control services of other daemons. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	control   peerpbconnect.ControlClient
	header    string
	meter     Meter
}

// NewClient returns a client that presents a shared key. It returns ErrNoKey for an empty key.
func NewClient(secret string) (*Client, error) {
	if secret == "" {
		return nil, ErrNoKey
	}

	client := &Client{header: scheme + secret}
	dialer := &net.Dialer{Timeout: dialTimeout}

	var protocols http.Protocols

	protocols.SetUnencryptedHTTP2(true)

	client.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}

			metered := &meteredConn{Conn: conn}
			metered.attribute(&client.meter)

			return metered, nil
		},
		Protocols:       &protocols,
		MaxConnsPerHost: maxConns,
		IdleConnTimeout: clientIdle,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	client.control = peerpbconnect.NewControlClient(
		client, "http://peer", connect.WithReadMaxBytes(MaxMessage), connect.WithAcceptCompression("gzip", nil, nil),
	)

	return client, nil
}

// Meter counts the bytes of all connections that the client opened.
func (c *Client) Meter() *Meter { return &c.meter }

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

type addressKey struct{}

// Do sends a request to the address in its context. One generated client then serves all peers.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	address, ok := r.Context().Value(addressKey{}).(netip.AddrPort)
	if !ok {
		return nil, errors.New("request without a peer address")
	}

	r.URL.Host, r.Host = address.String(), ""
	r.Header.Set(authorization, c.header)

	return c.transport.RoundTrip(r)
}

func call[Q, A any](
	ctx context.Context, to netip.AddrPort, name string,
	method func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), message *Q,
) (*A, error) {
	answer, err := method(context.WithValue(ctx, addressKey{}, to), connect.NewRequest(message))
	if err != nil {
		return nil, errors.Wrapf(err, "%s call to %s", name, to)
	}

	return answer.Msg, nil
}

// Exchange sends one direction of an exchange and returns the other.
func (c *Client) Exchange(ctx context.Context, to netip.AddrPort, exchange Exchange) (Exchange, error) {
	answer, err := call(ctx, to, "exchange", c.control.Exchange, encodeExchangeRequest(exchange))
	if err != nil {
		return Exchange{}, err
	}

	return decodeExchange(answer)
}

// Members asks for a page of the member table.
func (c *Client) Members(ctx context.Context, to netip.AddrPort, page PageRequest) (Page, error) {
	answer, err := call(ctx, to, "members", c.control.Members, encodePageRequest(page))
	if err != nil {
		return Page{}, err
	}

	return decodePage(answer)
}

// Records asks for records of a log stream.
func (c *Client) Records(ctx context.Context, to netip.AddrPort, records RecordsRequest) (logrelay.Page, error) {
	message := &peerpb.RecordsRequest{Stream: records.Stream, From: records.From}

	answer, err := call(ctx, to, "records", c.control.Records, message)
	if err != nil {
		return logrelay.Page{}, err
	}

	return decodeRecords(answer), nil
}

// Handover passes a part of a key table.
func (c *Client) Handover(ctx context.Context, to netip.AddrPort, handover keys.Handover) error {
	_, err := call(ctx, to, "handover", c.control.Handover, encodeHandover(handover))

	return err
}

// Report passes suspicions.
func (c *Client) Report(ctx context.Context, to netip.AddrPort, reports []suspects.Report) error {
	message := &peerpb.ReportRequest{Suspects: mapAll(reports, encodeSuspect)}
	_, err := call(ctx, to, "report", c.control.Report, message)

	return err
}

// Probe asks for the load of the backend server beside the peer.
func (c *Client) Probe(ctx context.Context, to netip.AddrPort) (load.Hint, error) {
	answer, err := call(ctx, to, "probe", c.control.Probe, &peerpb.ProbeRequest{})
	if err != nil {
		return load.Hint{}, err
	}

	return decodeHint(answer), nil
}

// Announce tells how far this daemon has read the log.
func (c *Client) Announce(ctx context.Context, to netip.AddrPort, from instance.ID, throughs []logrelay.Through) error {
	message := &peerpb.AnnounceRequest{From: string(from), Throughs: mapAll(throughs, encodeThrough)}
	_, err := call(ctx, to, "announce", c.control.Announce, message)

	return err
}

// Append asks a combiner to append an encoded record of grants.
func (c *Client) Append(ctx context.Context, to netip.AddrPort, record []byte) error {
	_, err := call(ctx, to, "append", c.control.Append, &peerpb.AppendRequest{Record: record})

	return err
}
