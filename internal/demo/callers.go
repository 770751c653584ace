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
	// orderShare is the share of requests that are orders, which have an idempotency key.
	orderShare = 0.2
	// downloadShare is the share of requests to stockdesk, other than orders, that are downloads of downloadSize bytes.
	downloadShare = 0.02
	downloadSize  = 2 << 20
	// resendShare is the share of orders that are sent twice at the same time, through two daemons.
	resendShare = 0.2
	// maxSends is how often a caller sends a request before it gives up.
	maxSends = 4
	// callerTimeout is above the deadlines of lookups and orders, so that each gets its final result.
	callerTimeout = 10 * time.Second
	// warmUpTimeout bounds the time until every service accepts orders.
	warmUpTimeout = 20 * time.Second
	// resendPause is the time until a caller sends a request again, which equals the shortest Retry-After.
	resendPause = time.Second

	verdictHeader = "Tarragonmill-Verdict"
	// connectionRefused is the result of a request that was not sent, because nobody listened at the address.
	connectionRefused = "connection refused"
	// connectionLost is the result of a request whose connection ended before the whole response.
	connectionLost = "connection lost"
)

// callers sends requests at a fixed rate, whether or not earlier ones have been answered.
type callers struct {
	options    Options
	client     *http.Client
	daemonURLs []string
	random     *rand.Rand
	report     *report
	// label is the expected content of a download.
	label string
}

// callerRequest is one request. Resends have the same key and body.
type callerRequest struct {
	service string
	method  string
	target  string
	// key is the idempotency key; empty for none.
	key string
	// wantPrefix is the start of the body of a correct response. It is unique to this request.
	wantPrefix string
	// daemonURLs are the base URLs of the daemons that the request is sent to, one after the other.
	daemonURLs []string
}

func newCallers(f *fleet.Fleet, options Options) *callers {
	c := &callers{
		options: options, client: fleet.Client(), report: newReport(),
		random: rand.New(rand.NewPCG(options.Seed, 0)),
	}
	c.client.Timeout = callerTimeout

	// Reading the pattern cannot fail.
	label, _ := io.ReadAll(backend.NewPattern(downloadSize))
	c.label = string(label)

	for _, i := range f.Instances {
		c.daemonURLs = append(c.daemonURLs, i.CallerURL())
	}

	return c
}

func (c *callers) close() { c.client.CloseIdleConnections() }

// warmUp waits until each service accepts orders, because daemons have to claim key grants after their start.
func (c *callers) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()

	for _, service := range []string{"stockdesk", "routehall"} {
		for answered := 0; answered < len(c.daemonURLs); {
			outcome := c.send(ctx, c.newOrder(service), 0)
			if outcome.verdict == verdict.Answered {
				answered++
			}
			if ctx.Err() != nil {
				return errors.Newf("service %s accepts no orders: %s", service, outcome.text)
			}
		}
	}

	return nil
}

// run sends requests for the duration of the demo, and waits for all results.
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

	start := func(request callerRequest) {
		if group.Go("caller", func(ctx context.Context) {
			c.report.add(request, c.sendUntilAnswered(ctx, request))
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

			request := c.nextRequest()
			start(request)

			if request.key != "" && c.random.Float64() < resendShare {
				request.daemonURLs = c.shuffledURLs()
				start(request)
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
			wantPrefix: c.label, daemonURLs: c.shuffledURLs(),
		}
	}

	item := c.random.IntN(1_000_000)

	return callerRequest{
		service: service, method: http.MethodGet, target: fmt.Sprintf("/stock/%d", item),
		wantPrefix: fmt.Sprintf("stock of %d at ", item), daemonURLs: c.shuffledURLs(),
	}
}

func (c *callers) newOrder(service string) callerRequest {
	key := uuid.Must(uuid.NewV7()).String()

	return callerRequest{
		service: service, method: http.MethodPost, target: "/orders", key: key,
		wantPrefix: "order " + key + " taken by ", daemonURLs: c.shuffledURLs(),
	}
}

func (c *callers) shuffledURLs() []string {
	urls := append([]string{}, c.daemonURLs...)
	c.random.Shuffle(len(urls), func(i, j int) { urls[i], urls[j] = urls[j], urls[i] })

	return urls[:maxSends]
}

// outcome is the result of a request.
type outcome struct {
	verdict verdict.Verdict
	status  int
	// text states the status and the verdict, with the reason of a refusal, or why there was no whole response.
	text    string
	body    string
	latency time.Duration
	// refusals are the texts of the results of earlier sends.
	refusals []string
}

// sendUntilAnswered sends a request until it is answered, at most maxSends times. Every request may be sent again after
// any refusal, because it is idempotent or has an idempotency key.
func (c *callers) sendUntilAnswered(ctx context.Context, request callerRequest) outcome {
	start := time.Now()

	var (
		last     outcome
		refusals []string
	)

	for n := range maxSends {
		last = c.send(ctx, request, n)

		if last.verdict == verdict.Answered || ctx.Err() != nil {
			break
		}

		if n+1 < maxSends {
			refusals = append(refusals, last.text)
			task.Sleep(ctx, resendPause)
		}
	}

	last.latency, last.refusals = time.Since(start), refusals

	return last
}

func (c *callers) send(ctx context.Context, request callerRequest, n int) outcome {
	r, err := http.NewRequestWithContext(ctx, request.method,
		request.daemonURLs[n%len(request.daemonURLs)]+request.target, strings.NewReader(request.key))
	if err != nil {
		return outcome{text: err.Error()}
	}

	r.Host = request.service
	// Without GetBody, net/http does not retry the request by itself.
	r.GetBody = nil

	if request.key != "" {
		r.Header.Set("Idempotency-Key", request.key)
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
