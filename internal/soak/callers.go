package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/platform"
)

const (
	lookupPath, orderPath, labelPath = "/stock/", "/orders/", "/label/"

	// callerTime is what callers give a request, routeTime what the configuration gives it.
	callerTime = 3 * time.Second
	routeTime  = 1500 * time.Millisecond
	// overtime is how long after the time of its route a request may go unanswered.
	overtime = 500 * time.Millisecond
	// lossSlack is the time in which a request and the close of its connection may cross.
	lossSlack = 200 * time.Millisecond
	// labelSize is the size of a download in bytes.
	labelSize = 200_000
	// calm is the time without a fault after which promises with a time bound hold.
	calm = 3 * time.Second
)

var names = platform.Dialect()

// callers sends requests of one caller to a node, one after the other on connections that it keeps open.
func (s *Soak) callers(ctx context.Context, n *node, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	client := &http.Client{Timeout: callerTime + time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}

	defer client.CloseIdleConnections()

	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%s-%x-%d", n.name, seed, number)
		path, host := orderPath, s.hosts[random.IntN(len(s.hosts))]

		switch choice := random.IntN(10); {
		case choice < 6:
			path = lookupPath
		case choice == 6:
			path = labelPath
		}

		s.send(client, n, path, host, id)
		task.Sleep(ctx, time.Duration(random.Int64N(int64(2*s.options.Pause))))
	}
}

// bodyOf is the body of a request.
func bodyOf(path, id string) string {
	if path == orderPath {
		return "order of " + id
	}

	return ""
}

// newRequest returns a request. Its context is not that of the soak: every request gets its end.
func newRequest(n *node, path, host, id string) (*http.Request, error) {
	method, target := http.MethodGet, path+id

	switch path {
	case orderPath:
		// The stand-in takes orders without a trailing part.
		method, target = http.MethodPost, "/orders"
	case labelPath:
		target = labelPath + strconv.Itoa(labelSize)
	}

	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+n.caller.String()+target,
		strings.NewReader(bodyOf(path, id)))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}

	r.Host = host
	// net/http would send a request once more by itself if it could.
	r.GetBody = nil

	if path != orderPath {
		r.Body = nil
		r.ContentLength = 0
	}

	r.Header.Set(names.Attempt, id)
	r.Header.Set(names.Timeout, strconv.FormatInt(callerTime.Milliseconds(), 10))

	return r, nil
}

// send sends one request and records its end.
func (s *Soak) send(client *http.Client, n *node, path, host, id string) sending {
	sent := sending{host: host, id: id, node: n.name, path: path, idempotent: path != orderPath, begun: time.Now()}
	run := n.daemon.run()

	r, err := newRequest(n, path, host, id)
	if err != nil {
		s.ledger.broken("SOAK", "%v", err)

		return sent
	}

	response, err := client.Do(r)
	body := ""

	if err == nil {
		var data []byte

		data, err = io.ReadAll(response.Body)
		body = string(data)
		err = errors.CombineErrors(err, response.Body.Close())
	}

	sent.ended = time.Now()

	if err != nil {
		sent.failed = failureOf(err)
	} else {
		sent.status = response.StatusCode
		s.checkResponse(sent, response.Header, body)
	}

	s.ledger.add(sent)
	s.checkEnd(n, run, sent)

	return sent
}

// Ends of a request without a whole response.
const (
	unreachable = "no connection"
	brokenOff   = "broken off"
	unanswered  = "not answered"
)

func failureOf(err error) string {
	var (
		operation *net.OpError
		network   net.Error
	)

	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		return unreachable
	case errors.As(err, &network) && network.Timeout():
		return unanswered
	default:
		return brokenOff
	}
}

// checkResponse checks that a success is the whole response of a backend server to the request.
func (s *Soak) checkResponse(sent sending, header http.Header, body string) {
	if !isSuccess(sent.status) {
		return
	}

	if header.Get(names.Seal) == "" || header.Get(names.Attempt) != sent.id {
		s.ledger.broken("MIXED", "request %s got a success without the marks of a server: %v", sent.id, header)
	}

	whole := strings.Contains(body, "order ") && strings.Contains(body, "taken by")

	switch sent.path {
	case lookupPath:
		whole = strings.HasPrefix(body, "stock of "+sent.id+" at ")
	case labelPath:
		whole = len(body) == labelSize
	}

	if !whole {
		s.ledger.broken("MIXED", "request %s got another body: %.60q (%d bytes)", sent.id, body, len(body))
	}
}

// checkEnd checks the promises about when and how a request ends. They hold if nothing was wrong that was not planned.
func (s *Soak) checkEnd(n *node, run int, sent sending) {
	since := sent.begun.Add(-calm)
	if !s.everywhere.calmSince(since) {
		return
	}

	elapsed := sent.ended.Sub(sent.begun)

	switch {
	case sent.status == 0 && sent.failed != unreachable:
		text := fmt.Sprintf("request %s at %s (run %d, now %d) was %s after %s", sent.id, n.name, run, n.daemon.run(),
			sent.failed, elapsed)

		if elapsed > lossSlack {
			s.ledger.broken("LOST", "%s", text)
		} else {
			s.ledger.maybeLost(sent.id, text)
		}
	case elapsed > routeTime+overtime:
		s.ledger.broken("CONFIG", "request %s at %s was answered after %s, its route has %s", sent.id, n.name, elapsed, routeTime)
	case !slices.Contains(s.hosts, sent.host):
		// It asks which configuration is in force.
	case sent.status == http.StatusNotFound, sent.status == http.StatusBadRequest:
		s.ledger.broken("DENIED", "request %s at %s got %d", sent.id, n.name, sent.status)
	}
}
