package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/peer/peerpb/peerpbconnect"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo answers with what it was asked.
type echo struct {
	calls    atomic.Int64
	exchange Exchange
	page     PageRequest
	handover keys.Handover
	reports  []suspects.Report
	throughs []logrelay.Through
	record   []byte
}

func (e *echo) Exchange(_ context.Context, exchange Exchange) (Exchange, error) {
	e.calls.Add(1)
	e.exchange = exchange

	return exchange, nil
}

func (e *echo) Members(_ context.Context, page PageRequest) (Page, error) {
	e.page = page

	return Page{Members: []instance.Member{member()}, More: true, Busy: true}, nil
}

func (e *echo) Records(_ context.Context, r RecordsRequest) (logrelay.Page, error) {
	return logrelay.Page{Records: []logservice.Record{{Offset: r.From, Data: []byte(r.Stream)}}, Base: []byte("b"), Through: 9}, nil
}

func (e *echo) Handover(_ context.Context, handover keys.Handover) error {
	e.handover = handover

	return nil
}

func (e *echo) Report(_ context.Context, reports []suspects.Report) error {
	e.reports = reports

	return nil
}

func (e *echo) Probe(context.Context) (load.Hint, error) {
	return load.Hint{InFlight: 1, Queue: 2, Limit: 3, Latency: time.Second, Draining: true}, nil
}

func (e *echo) Announce(_ context.Context, _ instance.ID, throughs []logrelay.Through) error {
	e.throughs = throughs

	return nil
}

func (e *echo) Append(_ context.Context, record []byte) error {
	e.record = record

	return nil
}

func member() instance.Member {
	return instance.Member{
		ID: "a", Incarnation: 1 << 60, Counter: 3, Status: instance.Draining, Service: "stockdesk",
		Place: instance.Place{Region: "west-lakes", Domain: "Milwaukee"},
		Peer:  netip.MustParseAddrPort("127.0.0.1:7000"), Slots: 6, Started: time.Unix(5, 7).UTC(),
	}
}

// serve runs a server until the test ends and returns its address.
func serve(t *testing.T, handler Handler, options ...ServerOption) (*Server, netip.AddrPort) {
	t.Helper()

	server, err := NewServer("secret", handler, options...)
	require.NoError(t, err)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()

	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})

	return server, netip.MustParseAddrPort(listener.Addr().String())
}

func client(t *testing.T, secret string) *Client {
	t.Helper()

	c, err := NewClient(secret)
	require.NoError(t, err)
	t.Cleanup(c.Close)

	return c
}

// Guards against a field that a codec drops or mixes up.
func TestRoundTrips(t *testing.T) {
	handler := &echo{}
	_, address := serve(t, handler)
	c, ctx := client(t, "secret"), t.Context()

	reports := []suspects.Report{{
		Service: "stockdesk", Fingerprint: 7, Expires: time.Unix(8, 9).UTC(), Alone: true, Cleared: true, Source: "s",
	}}
	throughs := []logrelay.Through{{Stream: "config", Offset: 5, Age: time.Second}}
	exchange := Exchange{
		From: "a", Incarnation: 1, Members: []instance.Member{member()}, Digest: 2, Seq: 3, Ack: 4,
		Throughs: throughs, Suspects: reports,
	}
	got, err := c.Exchange(ctx, address, exchange)
	require.NoError(t, err)
	require.Equal(t, exchange, got)
	require.Equal(t, exchange, handler.exchange)

	page, err := c.Members(ctx, address, PageRequest{From: "b", After: "a", Limit: 5})
	require.NoError(t, err)
	require.Equal(t, Page{Members: []instance.Member{member()}, More: true, Busy: true}, page)
	require.Equal(t, PageRequest{From: "b", After: "a", Limit: 5}, handler.page)

	records, err := c.Records(ctx, address, RecordsRequest{Stream: "grants", From: 4})
	require.NoError(t, err)
	require.Equal(t, logrelay.Page{Records: []logservice.Record{{Offset: 4, Data: []byte("grants")}}, Base: []byte("b"), Through: 9}, records)

	handover := keys.Handover{
		Service: "s", From: "a", Incarnation: 5, Partitions: []int{0, 15}, Floor: 6, End: 7, Round: 1, Chunk: 2, Chunks: 3,
		Entries: []keys.KeyEntry{{
			Key: uuid.UUID{1}, Fingerprint: 1, State: keys.StateAnswered,
			Response: &keys.Response{Status: 201, Header: []keys.Field{{Name: "Etag", Value: "x"}}, Body: []byte("y")},
		}},
	}
	require.NoError(t, c.Handover(ctx, address, handover))
	require.Equal(t, handover, handler.handover)

	require.NoError(t, c.Report(ctx, address, reports))
	require.Equal(t, reports, handler.reports)
	require.NoError(t, c.Announce(ctx, address, "a", throughs))
	require.Equal(t, throughs, handler.throughs)
	require.NoError(t, c.Append(ctx, address, []byte("r")))
	require.Equal(t, []byte("r"), handler.record)

	hint, err := c.Probe(ctx, address)
	require.NoError(t, err)
	require.Equal(t, load.Hint{InFlight: 1, Queue: 2, Limit: 3, Latency: time.Second, Draining: true}, hint)
}

// Guards against a daemon that answers strangers, on the control paths or on the data paths.
func TestSharedKey(t *testing.T) {
	handler := &echo{}
	_, address := serve(t, handler, WithData(attempt.Handler("secret", func(*attempt.Incoming) { handler.calls.Add(1) })))

	for _, secret := range []string{"secre", "secret2", "Secret"} {
		_, err := client(t, secret).Exchange(t.Context(), address, Exchange{From: "a"})
		require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(err))
	}

	answer, err := http.Post("http://"+address.String()+attempt.Path, "", strings.NewReader("\n"))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusForbidden, answer.StatusCode)
	require.Zero(t, handler.calls.Load())

	_, err = NewClient("")
	require.ErrorIs(t, err, ErrNoKey)
	_, err = NewServer("", handler)
	require.ErrorIs(t, err, ErrNoKey)

	http.DefaultClient.CloseIdleConnections()
}

// Guards against a message that exhausts memory, and a status that no reducer knows.
func TestRefusedMessages(t *testing.T) {
	handler := &echo{}
	_, address := serve(t, handler)
	c := client(t, "secret")

	large := Exchange{From: instance.ID(strings.Repeat("x", MaxMessage+1))}
	_, err := c.Exchange(t.Context(), address, large)
	require.Error(t, err)

	unknown := member()
	unknown.Status = instance.Left + 1
	_, err = c.Exchange(t.Context(), address, Exchange{From: "a", Members: []instance.Member{unknown}})
	require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err))
	require.Zero(t, handler.calls.Load())
}

// Guards against a peer that sends half a message and holds its stream.
func TestSlowMessage(t *testing.T) {
	_, address := serve(t, &echo{})

	reader, writer := io.Pipe()
	defer writer.Close()

	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+address.String()+peerpbconnect.ControlExchangeProcedure, reader)
	require.NoError(t, err)
	request.Header.Set(authorization, scheme+"secret")
	request.Header.Set("Content-Type", "application/proto")

	begun := time.Now()
	answer, err := client(t, "secret").transport.RoundTrip(request)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.NotEqual(t, http.StatusOK, answer.StatusCode)
	require.Less(t, time.Since(begun), readTimeout+time.Second)
}

// Guards against a new connection for each call, and against a meter that misses a direction: both
// ends of the wire have to count the same bytes.
func TestConnectionsAndMeter(t *testing.T) {
	server, address := serve(t, &echo{})
	c := client(t, "secret")

	for range 20 {
		_, err := c.Exchange(t.Context(), address, Exchange{From: "a"})
		require.NoError(t, err)
	}

	require.Eventually(t, func() bool {
		return c.Meter().Sent() == server.Meter().Received() && c.Meter().Received() == server.Meter().Sent()
	}, time.Second, time.Millisecond)
	require.Positive(t, c.Meter().Received())
	// With one connection, the header fields are sent once and indexed afterwards.
	require.Less(t, c.Meter().Total(), int64(20*400))
	t.Logf("%d bytes per exchange without members", c.Meter().Total()/20)
}
