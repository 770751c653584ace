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
	callerTimeout = 3 * time.Second
	routeTimeout  = 1500 * time.Millisecond
	// overtime is how long after the time of its route a request may go unanswered.
	lateResponseSlack = 500 * time.Millisecond
	// lossSlack is the time in which a request and the close of its connection may cross.
	disconnectSlack = 200 * time.Millisecond
	// labelSize is the size of a download in bytes.
	labelBytes = 200_000
	// calm is the time without a fault after which promises with a time bound hold.
	calmTime = 3 * time.Second
)

var headerNames = platform.Dialect()

// callers sends requests of one caller to a node, one after the other on connections that it keeps open.
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

		s.send(client, n, path, host, id)
		task.Sleep(ctx, time.Duration(random.Int64N(int64(2*s.options.Pause))))
	}
}

// bodyOf is the body of a request.
func requestBody(path, id string) string {
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
		target = labelPath + strconv.Itoa(labelBytes)
	}

	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+n.caller.String()+target,
		strings.NewReader(requestBody(path, id)))
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

	r.Header.Set(headerNames.Attempt, id)
	r.Header.Set(headerNames.Timeout, strconv.FormatInt(callerTimeout.Milliseconds(), 10))

	return r, nil
}

// send sends one request and records its end.
func (s *Soak) send(client *http.Client, n *node, path, host, id string) sentRequest {
	sent := sentRequest{host: host, id: id, node: n.name, path: path, idempotent: path != orderPath, begun: time.Now()}
	run := n.daemon.runNumber()

	r, err := newRequest(n, path, host, id)
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

// Ends of a request without a whole response.
const (
	unreachable    = "no connection"
	connectionLost = "broken off"
	unanswered     = "not answered"
)

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

// checkResponse checks that a success is the whole response of a backend server to the request.
func (s *Soak) checkResponse(sent sentRequest, header http.Header, body string) {
	if !isSuccess(sent.status) {
		return
	}

	if header.Get(headerNames.Seal) == "" || header.Get(headerNames.Attempt) != sent.id {
		s.results.addViolation("MIXED", "request %s got a success without the marks of a server: %v", sent.id, header)
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

// checkEnd checks the promises about when and how a request ends. They hold if nothing was wrong that was not planned.
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
			s.results.addUnresolved(sent.id, text)
		}
	case elapsed > routeTimeout+lateResponseSlack:
		s.results.addViolation("CONFIG", "request %s at %s was answered after %s, its route has %s", sent.id, n.name, elapsed, routeTimeout)
	case !slices.Contains(s.hosts, sent.host):
		// It asks which configuration is in force.
	case sent.status == http.StatusNotFound, sent.status == http.StatusBadRequest:
		s.results.addViolation("DENIED", "request %s at %s got %d", sent.id, n.name, sent.status)
	}
}
