package attempt_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const fleetKey = "0123456789abcdef"

// serve starts the peer interface of a daemon that runs calls with the given function.
func serve(t *testing.T, run attempt.ServeFunc, options ...attempt.HandlerOption) netip.AddrPort {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	server := http1.NewServer(attempt.NewHandler(fleetKey, run, run, func([]byte) error { return nil }, options...))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)

	go func() { ended <- server.Serve(ctx, listener) }()

	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})

	return netip.MustParseAddrPort(listener.Addr().String())
}

func newClient(t *testing.T, key string) *attempt.Client {
	t.Helper()

	client := attempt.NewClient(key)
	t.Cleanup(client.Close)

	return client
}

func newCall(kind manifest.Kind) attempt.Call {
	return attempt.Call{
		Request: request.Request{
			ID: "r-1", Service: "stock", Route: "stock/items", Kind: kind, Key: "k-1", Fingerprint: 0xfeedface12345678,
			Priority: 2, Depth: 3, Origin: "orders",
		},
		Number: 4, MaxWait: 30 * time.Millisecond, MaxSlowness: 1.5, Timeout: time.Second, From: "a", To: "b",
		Method: http.MethodPost, Target: "/items?x=1&y=%20", Host: "stock.example",
		Header: http.Header{"X-Trace": {"7"}}, Body: []byte("order"),
		Notice: backend.Notice{
			Server: "s-1", Born: time.UnixMilli(1_700_000_000_123).UTC(), Limit: backend.Limit{Set: true, PerSecond: 2.5},
		},
	}
}

// neverWithdraw is the ProgressFunc of a call that is not withdrawn.
func neverWithdraw(bool) bool { return true }

// answerTo returns an answer with a complete response to a call.
func answerTo(call attempt.Call) attempt.Answer {
	return attempt.Answer{
		Reply: attempt.Reply{
			ID: call.Request.ID, Number: call.Number, Verdict: verdict.Answered, Delivery: verdict.Answered, Status: 201,
			Report: load.Report{
				Server: "b", Incarnation: 9, Counter: 5, Open: true, Running: 2,
				Calls:   []load.Calls{{Service: "s t", Rate: 0.5}},
				Waiting: load.Waiting{0, 1, 0, 255}, Slots: 6, Slowness: 1.25,
			},
			Notice: backend.Notice{Server: "s-1", Leaving: true},
		},
		Header: http.Header{"X-Answer": {"yes"}}, Body: io.NopCloser(strings.NewReader("done")), Length: 4,
	}
}

// Guards against a call or reply that changes in transfer: a request with another kind, timeout or key, or a load
// report of another server.
func TestRoundTrip(t *testing.T) {
	for _, kind := range []manifest.Kind{manifest.Idempotent, manifest.NonIdempotent} {
		sent := newCall(kind)
		received := make(chan attempt.Call, 1)

		peer := serve(t, func(_ context.Context, call attempt.Call, in attempt.IncomingCall) attempt.Answer {
			if err := in.SendRunning(); err != nil {
				return attempt.Answer{}
			}

			body, err := in.ReadBody()
			if err != nil {
				return attempt.Answer{}
			}

			call.Body = body
			received <- call

			return answerTo(call)
		})

		response, err := newClient(t, fleetKey).Do(t.Context(), peer, sent, neverWithdraw)
		require.NoError(t, err)

		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "done", string(body))
		require.Equal(t, answerTo(sent).Reply, response.Reply)
		require.Equal(t, "yes", response.Header.Get("X-Answer"))

		call := <-received
		require.Equal(t, "7", call.Header.Get("X-Trace"))

		call.Header = sent.Header
		require.Equal(t, sent, call)
	}
}

// Guards against a response that is delivered to the caller of another request.
func TestForeignReply(t *testing.T) {
	peer := serve(t, func(_ context.Context, call attempt.Call, in attempt.IncomingCall) attempt.Answer {
		_, _ = in.ReadBody()
		call.Number++

		return answerTo(call)
	})

	_, err := newClient(t, fleetKey).Do(t.Context(), peer, newCall(manifest.Idempotent), neverWithdraw)
	require.True(t, errors.Is(err, attempt.ErrForeignReply))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
}

// Guards against a non-idempotent request that runs although its entry daemon withdrew it and reports it as not run.
func TestWithdrawnIsNotCommitted(t *testing.T) {
	bodies := make(chan error, 1)
	peer := serve(t, func(_ context.Context, _ attempt.Call, in attempt.IncomingCall) attempt.Answer {
		if err := in.SendQueued(); err != nil {
			bodies <- err

			return attempt.Answer{}
		}

		if err := in.SendRunning(); err != nil {
			bodies <- err

			return attempt.Answer{}
		}

		_, err := in.ReadBody()
		bodies <- err

		return attempt.Answer{}
	})

	updates := make([]bool, 0, 2)
	_, err := newClient(t, fleetKey).Do(t.Context(), peer, newCall(manifest.NonIdempotent), func(running bool) bool {
		updates = append(updates, running)

		return !running
	})
	require.True(t, errors.Is(err, attempt.ErrWithdrawn))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, []bool{false, true}, updates)
	require.Error(t, <-bodies)
}

// Guards against a refusal before the body that counts as "may have run", or after which the body is sent.
func TestRefusalBeforeBody(t *testing.T) {
	peer := serve(t, func(_ context.Context, call attempt.Call, _ attempt.IncomingCall) attempt.Answer {
		return attempt.Answer{Reply: attempt.Reply{
			ID: call.Request.ID, Number: call.Number,
			Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: "queue-full",
		}}
	})

	response, err := newClient(t, fleetKey).Do(t.Context(), peer, newCall(manifest.NonIdempotent), func(bool) bool {
		t.Error("a refused call made progress")

		return true
	})
	require.NoError(t, err)
	require.Equal(t, verdict.NotRun, response.Reply.Verdict)
	require.Equal(t, "queue-full", response.Reply.Reason)
	require.Zero(t, response.Reply.Status)
}

// truncatedBody is a body that ends with an error before its stated length.
type truncatedBody struct{ sent bool }

func (b *truncatedBody) Read(data []byte) (int, error) {
	if b.sent {
		return 0, errors.New("backend server closed the connection")
	}

	b.sent = true

	return copy(data, "do"), nil
}

func (b *truncatedBody) Close() error { return nil }

// Guards against a truncated response that looks complete to the entry daemon, with and without a stated length.
func TestIncompleteBody(t *testing.T) {
	for _, length := range []int64{4, http1.UnknownLength} {
		peer := serve(t, func(_ context.Context, call attempt.Call, in attempt.IncomingCall) attempt.Answer {
			_, _ = in.ReadBody()
			answer := answerTo(call)
			answer.Body, answer.Length = &truncatedBody{}, length

			return answer
		})

		response, err := newClient(t, fleetKey).Do(t.Context(), peer, newCall(manifest.Idempotent), neverWithdraw)
		if err != nil {
			// The connection ended before the header was sent.
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err))

			continue
		}

		_, err = io.ReadAll(response.Body)
		require.Error(t, err)
		require.NoError(t, response.Body.Close())
	}
}

// Guards against calls from outside the fleet that are served, and against a refused call whose verdict prevents a
// retry at another server.
func TestWrongKey(t *testing.T) {
	peer := serve(t, func(context.Context, attempt.Call, attempt.IncomingCall) attempt.Answer {
		t.Error("a call with a wrong key was served")

		return attempt.Answer{}
	})

	_, err := newClient(t, "another key of the size").Do(t.Context(), peer, newCall(manifest.NonIdempotent), neverWithdraw)
	require.Error(t, err)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

// Guards against a request that counts as "may have run" although no connection was made.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	peer := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())

	_, err = newClient(t, fleetKey).Do(t.Context(), peer, newCall(manifest.Idempotent), neverWithdraw)
	require.Error(t, err)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

// Guards against calls that keep running at the server after the entry daemon has withdrawn them.
func TestWithdrawalEndsTheCall(t *testing.T) {
	ended := make(chan struct{})
	peer := serve(t, func(ctx context.Context, call attempt.Call, in attempt.IncomingCall) attempt.Answer {
		_, _ = in.ReadBody()
		<-ctx.Done()
		close(ended)

		return answerTo(call)
	})

	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)

	_, err := newClient(t, fleetKey).Do(ctx, peer, newCall(manifest.Idempotent), neverWithdraw)
	require.Error(t, err)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))

	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the withdrawn call still runs")
	}
}

// TestRetainPeers guards against connections to daemons that have left, which would stay open for ever.
func TestRetainPeers(t *testing.T) {
	answer := func(_ context.Context, call attempt.Call, _ attempt.IncomingCall) attempt.Answer {
		return attempt.Answer{Reply: attempt.Reply{ID: call.Request.ID, Number: call.Number, Verdict: verdict.NotRun}}
	}
	kept, left := serve(t, answer), serve(t, answer)
	client := newClient(t, fleetKey)

	send := func(peer netip.AddrPort) {
		response, err := client.Do(t.Context(), peer, newCall(manifest.Idempotent), func(bool) bool { return true })
		require.NoError(t, err)

		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
	}

	send(kept)
	send(left)
	client.RetainPeers(map[netip.AddrPort]bool{kept: true})
	require.EqualValues(t, 2, client.Dials())

	send(kept)
	require.EqualValues(t, 2, client.Dials(), "the connection to a member is kept")
	send(left)
	require.EqualValues(t, 3, client.Dials(), "the other one is closed")
}
