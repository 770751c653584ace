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

	// callerTimeout is the timeout that callers state in a request, routeTimeout that of its route in the
	// configuration.
	callerTimeout = 3 * time.Second
	routeTimeout  = 1500 * time.Millisecond
	// lateResponseSlack is how long after routeTimeout a response may still arrive.
	lateResponseSlack = 500 * time.Millisecond
	// disconnectSlack is the time within which a request may cross with the close of its idle connection. A request
	// that is lost in this way is no violation if it did not run.
	disconnectSlack = 200 * time.Millisecond
	// labelBytes is the size of a download.
	labelBytes = 200_000
	// calmTime is the time without a fault after which the guarantees with a time limit hold.
	calmTime = 3 * time.Second
)

// headerNames are the names of the header fields on the users' platform.
var headerNames = platform.Dialect()

// runCaller sends the requests of one caller to a node until ctx ends, one after the other on a kept connection.
func (s *Soak) runCaller(ctx context.Context, n *node, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	client := &http.Client{Timeout: callerTimeout + time.Second, Transport: &http.Transport{
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

		if random.IntN(withdrawnKeyInterval) == 0 {
			s.sendWithdrawnKey(client, n, host, id)
		} else {
			s.send(client, n, path, host, id)
		}

		task.Sleep(ctx, time.Duration(random.Int64N(int64(2*s.options.Pause))))
	}
}

// requestBody returns the body of a request.
func requestBody(path, id string) string {
	if path == orderPath {
		return "order of " + id
	}

	return ""
}

// newRequest returns a request. The request does not use the context of the soak, so that it is not cancelled when the
// run ends.
func newRequest(n *node, path, host, id, key string) (*http.Request, error) {
	method, target := http.MethodGet, path+id

	switch path {
	case orderPath:
		// The stand-in accepts orders at this path only, without an identifier.
		method, target = http.MethodPost, "/orders"
	case labelPath:
		target = labelPath + strconv.Itoa(labelBytes)
	}

	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+n.caller.String()+target,
		strings.NewReader(requestBody(path, id)))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}

	r.Host = host
	// Without GetBody, net/http does not retry the request by itself.
	r.GetBody = nil

	if path != orderPath {
		r.Body = nil
		r.ContentLength = 0
	}

	r.Header.Set(headerNames.Attempt, id)
	r.Header.Set(headerNames.Timeout, strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	r.Header.Set(headerNames.Credential, key)
	// The daemon has to replace a tenant that a caller states.
	r.Header.Set(headerNames.Tenant, "forged")

	return r, nil
}

// send sends a request of callerTenant, checks its response and records the result.
func (s *Soak) send(client *http.Client, n *node, path, host, id string) sentRequest {
	return s.sendWithKey(client, n, sentRequest{
		host: host, id: id, node: n.name, path: path, idempotent: path != orderPath, key: callerKey,
	})
}

// sendWithKey does what send does, for a request with any API key.
func (s *Soak) sendWithKey(client *http.Client, n *node, sent sentRequest) sentRequest {
	sent.begun = time.Now()
	run := n.daemon.runNumber()

	r, err := newRequest(n, sent.path, sent.host, sent.id, sent.key)
	if err != nil {
		s.results.addViolation("SOAK", "%v", err)

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
		sent.failure = classifyError(err)
	} else {
		sent.status = response.StatusCode
		s.checkResponse(sent, response.Header, body)
	}

	s.results.add(sent)
	s.checkEnd(n, run, sent)

	return sent
}

// Failures of requests without a whole response.
const (
	unreachable    = "no connection"
	connectionLost = "broken off"
	unanswered     = "not answered"
)

// classifyError returns the failure for an error of a request.
func classifyError(err error) string {
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
		return connectionLost
	}
}

// checkResponse checks that a success is the whole response of a backend server to this request.
func (s *Soak) checkResponse(sent sentRequest, header http.Header, body string) {
	if !isSuccess(sent.status) {
		return
	}

	if header.Get(headerNames.Seal) == "" || header.Get(headerNames.Attempt) != sent.id {
		s.results.addViolation("MIXED", "request %s got a success without a seal or with another request ID: %v",
			sent.id, header)
	}

	whole := strings.Contains(body, "order ") && strings.Contains(body, "taken by")

	switch sent.path {
	case lookupPath:
		whole = strings.HasPrefix(body, "stock of "+sent.id+" at ")
	case labelPath:
		whole = len(body) == labelBytes
	}

	if !whole {
		s.results.addViolation("MIXED", "request %s got another body: %.60q (%d bytes)", sent.id, body, len(body))
	}
}

// checkEnd checks when and how a request ended. It checks nothing if a fault was active during the request or calmTime
// before it, because the guarantees do not hold then. Planned work is no fault.
func (s *Soak) checkEnd(n *node, run int, sent sentRequest) {
	since := sent.begun.Add(-calmTime)
	if !s.disturbance.calmSince(since) {
		return
	}

	elapsed := sent.ended.Sub(sent.begun)

	switch {
	case sent.status == 0 && sent.failure != unreachable:
		text := fmt.Sprintf("request %s at %s (run %d, now %d) was %s after %s", sent.id, n.name, run, n.daemon.runNumber(),
			sent.failure, elapsed)

		if elapsed > disconnectSlack {
			s.results.addViolation("LOST", "%s", text)
		} else {
			s.results.addPossiblyLost(sent.id, text)
		}
	case elapsed > routeTimeout+lateResponseSlack:
		s.results.addViolation("CONFIG", "request %s at %s was answered after %s, with a route timeout of %s",
			sent.id, n.name, elapsed, routeTimeout)
	case !slices.Contains(s.hosts, sent.host):
		// The request only checks which configuration is in use, so any status is allowed.
	case sent.status == http.StatusNotFound, sent.status == http.StatusBadRequest,
		sent.status == http.StatusUnauthorized && sent.key == callerKey:
		s.results.addViolation("DENIED", "request %s at %s got %d", sent.id, n.name, sent.status)
	}
}
