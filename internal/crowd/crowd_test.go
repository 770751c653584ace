package crowd_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
)

const (
	// bodySize is the stated size of a body in bytes, and hugeSize that of a body beyond the limit.
	bodySize = 6 << 20
	hugeSize = 1 << 30
	// writeTimeout bounds the time for which a member of a crowd sends.
	writeTimeout = 3 * time.Second
)

// place is where a crowd sends its requests, with the header fields that each of them has.
type place struct{ address, path, fields string }

// large returns the place with the path of a large response, if there is one.
func (p place) large(size int) place {
	p.path = strings.Replace(p.path, "/orders", fmt.Sprintf("/label/%d", size), 1)

	return p
}

// member sends what a member of a crowd sends to a place. It returns after an error.
type member func(c net.Conn, to place)

func head(c io.Writer, method string, to place, fields string) bool {
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: stockdesk\r\n%s%s\r\n", method, to.path, to.fields, fields)

	return err == nil
}

// stalled sends a body in pieces that stops one byte before its end.
func stalled(stated, sent, piece int) member {
	return func(c net.Conn, to place) {
		if !head(c, http.MethodPost, to, fmt.Sprintf("Content-Length: %d\r\n", stated)) {
			return
		}

		data := bytes.Repeat([]byte("x"), piece)
		for left := sent; left > 0; left -= piece {
			if _, err := c.Write(data[:min(piece, left)]); err != nil {
				return
			}
		}
	}
}

// chunked sends a body in chunks that lacks its last chunk.
func chunked(c net.Conn, to place) {
	const size = 64 << 10

	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	if !head(c, http.MethodPost, to, "Transfer-Encoding: chunked\r\n") {
		return
	}

	for range bodySize / size {
		if _, err := c.Write(chunk); err != nil {
			return
		}
	}
}

// pipelined sends requests and reads no response. The path is that of a large response if it has a route.
func pipelined(count int, fields string) member {
	return func(c net.Conn, to place) {
		for range count {
			if !head(c, http.MethodGet, to.large(400_000), fields) {
				return
			}
		}
	}
}

// slow sends a part of a body and then single bytes.
func slow(c net.Conn, to place) {
	stalled(bodySize, bodySize/2, bodySize/2)(c, to)

	for range 100 {
		if _, err := c.Write([]byte("x")); err != nil {
			return
		}

		time.Sleep(10 * time.Millisecond)
	}
}

// slowReader asks for a large response and reads it in small pieces.
func slowReader(c net.Conn, to place) {
	if !head(c, http.MethodGet, to.large(8_000_000), "") {
		return
	}

	for range 100 {
		if _, err := c.Read(make([]byte, 64)); err != nil {
			return
		}

		time.Sleep(10 * time.Millisecond)
	}
}

func halfHead(c net.Conn, to place) {
	_, _ = io.WriteString(c, "POST "+to.path+" HTTP/1.1\r\nHost: sto")
}

// TestCrowds guards against callers that make a daemon hold more memory or descriptors than its instance has, or that keep
// others from being served, at each address to which they may connect.
func TestCrowds(t *testing.T) {
	p := start(t, limitSettings)

	crowds := map[string]member{
		"one piece": stalled(bodySize, bodySize-1, bodySize), "pieces": stalled(bodySize, bodySize-1, 4<<10),
		"chunks": chunked, "over": stalled(hugeSize, 2*bodySize, 1<<20), "half": stalled(bodySize, bodySize/2, bodySize),
		"fields":    pipelined(20, strings.Repeat("a:\r\n", 4000)),
		"pipelined": pipelined(20, ""), "slow": slow, "slow reader": slowReader, "half head": halfHead,
	}

	for place, at := range map[string]place{
		"rule": {address: p.caller, path: "/orders"}, "no route": {address: p.caller, path: "/none"},
		"ready": {address: p.ready, path: "/ready"}, "peer": {address: p.peer, path: attempt.CallPath},
		"member": {
			address: p.peer, path: attempt.HandoverPath, fields: attempt.FleetKeyHeader + ": " + fleetKey + "\r\n",
		},
	} {
		for name, behave := range crowds {
			t.Run(place+", "+name, func(t *testing.T) {
				p := &process{T: t, command: p.command, ended: p.ended, caller: p.caller}
				p.resetPeak()

				leave := gather(t, at, behave)
				p.requireBounded()
				leave()
				p.requireServed()
			})
		}
	}
}

// TestBoundReached guards against callers that are refused without a trace for the operator.
func TestBoundReached(t *testing.T) {
	p := start(t, limitSettings)
	defer gather(t, place{address: p.caller, path: "/orders"}, stalled(bodySize, bodySize-1, bodySize))()

	require.Eventually(t, func() bool {
		return strings.Contains(p.operator("/dump"), `"Held"`) &&
			regexp.MustCompile(`(?m)^tarragonmill_memory_refusals_total [1-9]`).MatchString(p.operator("/metrics"))
	}, answerTimeout, 100*time.Millisecond)
}

// gather connects a crowd, waits until each member has sent all or failed, and returns a function that ends it.
func gather(t *testing.T, at place, behave member) func() {
	t.Helper()

	var (
		crowd sync.WaitGroup
		conns = make([]net.Conn, 0, members)
	)

	for range members {
		c, err := net.Dial("tcp", at.address)
		require.NoError(t, err)
		require.NoError(t, c.SetDeadline(time.Now().Add(writeTimeout)))

		conns = append(conns, c)

		crowd.Go(func() { behave(c, at) })
	}

	crowd.Wait()

	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// TestLargeBody guards against bounds that keep a single legal body of the largest size from being served.
func TestLargeBody(t *testing.T) {
	const largest = 64 << 20

	p := start(t, calmSettings)
	require.Equal(t, http.StatusCreated, p.send(http.MethodPost, "/orders", make([]byte, largest)))
	p.requireBounded()
	p.requireServed()
}
