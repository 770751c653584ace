package backend_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
	"github.com/tarragonmill/tarragonmill/platform"
)

// serialField numbers the tries. Only the test uses it, to find out which try a response answers.
const serialField = "X-Serial"

// copyingServer is a server that writes earlier responses of a connection once more at random times.
type copyingServer struct {
	names dialect.Dialect
	// isNamed reports whether a response with a status has the name of its request.
	isNamed func(random *rand.Rand, status int) bool

	mutex sync.Mutex
	// ran is the set of the tries that ran, by their serial number.
	ran map[string]bool
}

// statuses are those of the responses. The refusals among them say that a request has not run.
var statuses = []int{
	http.StatusOK, http.StatusCreated, http.StatusOK, http.StatusServiceUnavailable, http.StatusServiceUnavailable,
	http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusNotFound,
	http.StatusInternalServerError,
}

func isRefusal(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// serve accepts connections until the test ends, each with a random generator of its own.
func (s *copyingServer) serve(t *testing.T, seed uint64) string {
	t.Helper()

	var connections atomic.Uint64

	return serveConnections(t, func(connection net.Conn) {
		s.serveConnection(connection, rand.New(rand.NewPCG(seed, connections.Add(1))))
	})
}

func (s *copyingServer) serveConnection(connection net.Conn, random *rand.Rand) {
	var written []response

	for reader := bufio.NewReader(connection); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		_, _ = io.Copy(io.Discard, r.Body)

		if len(written) > 0 && random.IntN(3) == 0 {
			copied := written[random.IntN(len(written))]
			if random.IntN(4) == 0 {
				copied.name = ""
			}

			_, _ = io.WriteString(connection, copied.text())
			// The copy arrives before the response.
			time.Sleep(time.Millisecond)
		}

		answer := s.respond(r, random)
		written = append(written, answer)
		_, _ = io.WriteString(connection, answer.text())
	}
}

// response is a response of a copyingServer. Name and fields consist of whole header fields.
type response struct {
	status             int
	name, fields, body string
}

func (r response) text() string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s%sContent-Length: %d\r\n\r\n%s",
		r.status, r.name, r.fields, len(r.body), r.body)
}

// respond returns the response to a request, which it runs or refuses.
func (s *copyingServer) respond(r *http.Request, random *rand.Rand) response {
	serial := r.Header.Get(serialField)
	answer := response{status: statuses[random.IntN(len(statuses))], body: serial}

	if isRefusal(answer.status) {
		answer.fields = fmt.Sprintf("%s: %s\r\n", s.names.NotRun, cmp.Or(s.names.NotRunValue, "1"))
	} else {
		s.mutex.Lock()
		s.ran[serial] = true
		s.mutex.Unlock()

		if s.names.Seal != "" {
			answer.fields = fmt.Sprintf("%s: seal\r\n", s.names.Seal)
		}
	}

	for _, name := range []string{s.names.Attempt, s.names.CallToken} {
		if name != "" && s.isNamed(random, answer.status) {
			answer.name += fmt.Sprintf("%s: %s\r\n", name, r.Header.Get(name))
		}
	}

	return answer
}

// modelCaller sends requests one after the other. A request that was refused is sent again under the same name, as the
// daemon beside the server does for the tries of one attempt.
type modelCaller struct {
	server *backend.Server
	copies *copyingServer
	random *rand.Rand
	prefix string
	// failures is the number of tries without a response.
	failures int
}

const (
	// modelCallers is the number of callers at a time, modelTries the number of tries of each.
	modelCallers = 4
	modelTries   = 40
	// modelTimeout is the deadline of a try.
	modelTimeout = 250 * time.Millisecond
)

func (c *modelCaller) run() error {
	attempt := 0

	for try := range modelTries {
		serial := fmt.Sprintf("%s-%d", c.prefix, try)

		refused, err := c.send(serial, fmt.Sprintf("%s-a%d", c.prefix, attempt))
		if err != nil {
			return err
		}

		if !refused || c.random.IntN(4) == 0 {
			attempt++
		}
	}

	return nil
}

// send sends one try and checks its response against what the server did. It reports whether the try was refused.
func (c *modelCaller) send(serial, attempt string) (bool, error) {
	names := c.copies.names
	header := http.Header{serialField: {serial}}
	dialect.SetField(header, names.Attempt, attempt)
	dialect.SetField(header, names.CallToken, serial)

	ctx, cancel := context.WithTimeout(context.Background(), modelTimeout)
	defer cancel()

	response, err := c.server.Do(ctx, backend.Call{
		Request: http1.Request{Method: http.MethodPost, Target: "/orders", Host: "stockdesk", Header: header},
		Attempt: names.AttemptOf(header), SendOnce: c.random.IntN(2) == 0,
	})

	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}

	if err != nil {
		c.failures++

		if verdict.Of(err) != verdict.MayHaveRun {
			return false, fmt.Errorf("try %s: verdict %s of %w", serial, verdict.Of(err), err)
		}

		return false, nil
	}

	c.copies.mutex.Lock()
	ran := c.copies.ran[serial]
	c.copies.mutex.Unlock()

	switch {
	case string(body) != serial:
		return false, fmt.Errorf("try %s got the response to %s, status %d", serial, body, response.Status)
	case response.NotRun && ran:
		return false, fmt.Errorf("try %s has run and counts as not run", serial)
	default:
		return response.NotRun, nil
	}
}

// namings are the habits of servers in naming requests in their responses.
var namings = map[string]func(random *rand.Rand, status int) bool{
	"all":       func(*rand.Rand, int) bool { return true },
	"none":      func(*rand.Rand, int) bool { return false },
	"half":      func(random *rand.Rand, _ int) bool { return random.IntN(2) == 0 },
	"refusals":  func(_ *rand.Rand, status int) bool { return isRefusal(status) },
	"successes": func(_ *rand.Rand, status int) bool { return !isRefusal(status) },
}

// played is the result of one seed.
type played struct {
	// failures is the number of tries without a response, and dials the number of connections.
	failures, dials int
	// violation is the first one; nil if there was none.
	violation error
}

// runCopies plays one seed.
func runCopies(t *testing.T, names dialect.Dialect, naming string, seed uint64) played {
	t.Helper()

	copies := &copyingServer{names: names, isNamed: namings[naming], ran: make(map[string]bool)}
	server := newServer(t, copies.serve(t, seed), names)
	ended := make(chan error, modelCallers)
	callers := make([]*modelCaller, modelCallers)

	for n := range callers {
		callers[n] = &modelCaller{
			server: server, copies: copies, random: rand.New(rand.NewPCG(seed, uint64(n))), prefix: fmt.Sprintf("c%d", n),
		}

		go func() { ended <- callers[n].run() }()
	}

	var result played

	for range callers {
		if err := <-ended; result.violation == nil {
			result.violation = err
		}
	}

	for _, caller := range callers {
		result.failures += caller.failures
	}

	result.dials = int(server.Dials())
	t.Logf("%s, seed %d: %d connections, %d of %d tries without a response",
		naming, seed, result.dials, result.failures, modelCallers*modelTries)

	return result
}

// copySeeds is the number of seeds of TestCopies.
const copySeeds = 12

// TestCopies guards against a response that is taken for that of a later try: a server writes any earlier response of a
// connection once more, at each status and at a random later time, and names requests always, never or at times. Without
// a rule on connections, a try that has run counts as not run, or its caller gets another response.
func TestCopies(t *testing.T) {
	for seed := range uint64(copySeeds) {
		result := runCopies(t, platform.Dialect(), "all", seed)
		require.NoError(t, result.violation, "platform, seed %d", seed)
		require.Zero(t, result.failures, "platform, seed %d", seed)
		// Half of the statuses are refusals. The server must not be dialled for each of them.
		require.Less(t, result.dials, modelCallers*modelTries/4, "platform, seed %d", seed)

		for naming := range namings {
			result := runCopies(t, dialect.Default(), naming, seed)
			require.NoError(t, result.violation, "%s, seed %d", naming, seed)
			// Until the server has omitted a name for the first time, each caller may wait for one in vain.
			require.LessOrEqual(t, result.failures, modelCallers, "%s, seed %d", naming, seed)
		}
	}
}
