package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// orderShare of the requests are orders with an idempotency key.
	orderShare = 0.2
	// downloadShare of the requests to stockdesk are label sheets of downloadSize bytes.
	downloadShare = 0.02
	downloadSize  = 2 << 20
	// resendShare of the orders are sent twice at the same moment, through two entries.
	resendShare = 0.2
	// sends bounds how often a caller sends one request before it gives up.
	maxSends = 4
	// callerTimeout is above each deadline of the manifest, so that every request gets its final result.
	callerTimeout = 10 * time.Second
	warmUpTimeout = 20 * time.Second
	// resendPause is the shortest Retry-After.
	resendPause = time.Second

	verdictHeader = "Tarragonmill-Verdict"
	// unreachable is the outcome of a request that met a closed socket, and was not sent.
	connectionRefused = "connection refused"
	// broken is the outcome of a request whose connection ended without a whole response.
	connectionLost = "connection lost"
)

// callers send requests at a fixed rate, whether earlier ones have been answered or not.
type callers struct {
	options    Options
	client     *http.Client
	daemonURLs []string
	random     *rand.Rand
	report     *report
	// label is the content of a download.
	label string
}

// call is one request. Resends have the same key and body.
type callerRequest struct {
	service string
	method  string
	target  string
	key     string
	// want is a part of the response's body that belongs to this request alone.
	wantBody   string
	daemonURLs []string
}

func newCallers(f *fleet.Fleet, options Options) *callers {
	c := &callers{
		options: options, client: fleet.Client(), report: newReport(),
		random: rand.New(rand.NewPCG(options.Seed, 0)),
	}
	c.client.Timeout = callerTimeout

	// The pattern is read from memory and does not fail.
	label, _ := io.ReadAll(backend.NewPattern(downloadSize))
	c.label = string(label)

	for _, i := range f.Instances {
		c.daemonURLs = append(c.daemonURLs, i.CallerURL())
	}

	return c
}

func (c *callers) close() { c.client.CloseIdleConnections() }

// warmUp waits until each service takes orders: daemons claim key grants after their start.
func (c *callers) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()

	for _, service := range []string{"stockdesk", "routehall"} {
		for taken := 0; taken < len(c.daemonURLs); {
			outcome := c.send(ctx, c.newOrder(service), 0)
			if outcome.verdict == verdict.Answered {
				taken++
			}
			if ctx.Err() != nil {
				return errors.Newf("service %s takes no orders: %s", service, outcome.text)
			}
		}
	}

	return nil
}

// run sends requests until the duration has passed, and waits for all results.
func (c *callers) run(ctx context.Context, group *task.Group) {
	var (
		interval = time.Duration(float64(time.Second) / c.options.Rate)
		ticker   = time.NewTicker(interval)
		end      = time.NewTimer(c.options.Duration)
		results  = make(chan struct{}, 1)
		done     = ctx.Done()
		started  int
	)

	defer ticker.Stop()
	defer end.Stop()

	start := func(next callerRequest) {
		if group.Go("caller", func(ctx context.Context) {
			c.report.add(next, c.sendUntilAnswered(ctx, next))
			results <- struct{}{}
		}) {
			started++
		}
	}

	for open := true; open || started > 0; {
		select {
		case <-results:
			started--
		case <-ticker.C:
			if !open {
				continue
			}

			next := c.nextRequest()
			start(next)

			if next.key != "" && c.random.Float64() < resendShare {
				next.daemonURLs = c.shuffledURLs()
				start(next)
			}
		case <-end.C:
			open = false
		case <-done:
			open, done = false, nil
		}
	}
}

func (c *callers) nextRequest() callerRequest {
	service := "stockdesk"
	if c.random.IntN(3) == 0 {
		service = "routehall"
	}

	if c.random.Float64() < orderShare {
		return c.newOrder(service)
	}

	if service == "stockdesk" && c.random.Float64() < downloadShare {
		return callerRequest{
			service: service, method: http.MethodGet, target: fmt.Sprintf("/label/%d", downloadSize),
			wantBody: c.label, daemonURLs: c.shuffledURLs(),
		}
	}

	item := c.random.IntN(1_000_000)

	return callerRequest{
		service: service, method: http.MethodGet, target: fmt.Sprintf("/stock/%d", item),
		wantBody: fmt.Sprintf("stock of %d at ", item), daemonURLs: c.shuffledURLs(),
	}
}

func (c *callers) newOrder(service string) callerRequest {
	key := uuid.Must(uuid.NewV7()).String()

	return callerRequest{
		service: service, method: http.MethodPost, target: "/orders", key: key,
		wantBody: "order " + key + " taken by ", daemonURLs: c.shuffledURLs(),
	}
}

func (c *callers) shuffledURLs() []string {
	entries := append([]string{}, c.daemonURLs...)
	c.random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })

	return entries[:maxSends]
}

// outcome is the result of one request.
type outcome struct {
	verdict verdict.Verdict
	status  int
	text    string
	body    string
	latency time.Duration
	// refusals are the results of earlier sends.
	refusals []string
}

// complete sends a request until it is answered, as a careful caller does: a lookup and a request with
// a key can be sent again after any refusal.
func (c *callers) sendUntilAnswered(ctx context.Context, next callerRequest) outcome {
	begun := time.Now()

	var (
		last     outcome
		refusals []string
	)

	for n := range maxSends {
		last = c.send(ctx, next, n)

		if last.verdict == verdict.Answered || ctx.Err() != nil {
			break
		}

		if n+1 < maxSends {
			refusals = append(refusals, last.text)
			task.Sleep(ctx, resendPause)
		}
	}

	last.latency, last.refusals = time.Since(begun), refusals

	return last
}

func (c *callers) send(ctx context.Context, next callerRequest, n int) outcome {
	r, err := http.NewRequestWithContext(ctx, next.method, next.daemonURLs[n%len(next.daemonURLs)]+next.target, strings.NewReader(next.key))
	if err != nil {
		return outcome{text: err.Error()}
	}

	r.Host = next.service
	// net/http would repeat the request by itself if it knew that it can.
	r.GetBody = nil

	if next.key != "" {
		r.Header.Set("Idempotency-Key", next.key)
	}

	response, err := c.client.Do(r)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return outcome{text: connectionRefused}
		}

		return outcome{text: connectionLost}
	}

	body, err := io.ReadAll(response.Body)
	err = errors.CombineErrors(err, response.Body.Close())
	if err != nil {
		return outcome{text: connectionLost}
	}

	stated, err := verdict.Parse(response.Header.Get(verdictHeader))
	if err != nil {
		return outcome{text: "no verdict"}
	}

	o := outcome{verdict: stated, status: response.StatusCode, body: string(body)}
	o.text = fmt.Sprintf("%d %s", o.status, stated)

	var problem struct{ Reason string }
	if response.Header.Get("Content-Type") == "application/problem+json" && json.Unmarshal(body, &problem) == nil {
		o.text += " " + problem.Reason
	}

	return o
}
