package caller

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Refusal is the final answer to a request that no backend server answered.
type Refusal struct {
	// Verdict covers all deliveries with the request's idempotency key, Delivery only this delivery.
	Verdict  verdict.Verdict
	Delivery verdict.Verdict
	Reason   Reason
	// RetryAfter is the time after which the caller may retry; zero if a retry would not help.
	RetryAfter time.Duration
}

func notRunRefusal(reason Reason) Refusal {
	return Refusal{Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: reason}
}

// Reason is the machine-readable cause of a refusal. Reasons given by the reducers are passed on unchanged.
type Reason string

// Reasons that arise at the caller interface, and reasons with an HTTP status of their own.
const (
	Unsupported Reason = "unsupported"
	NoManifest  Reason = "no-manifest"
	NoRule      Reason = "no-rule"
	// ManifestBehind means that no rule matches, but another daemon has a newer manifest.
	ManifestBehind Reason = "manifest-behind"
	// Unauthenticated means that the API key of the request is missing or unknown.
	Unauthenticated Reason = "unauthenticated"
	// RateLimit means that the tenant has used up its rate limit.
	RateLimit    Reason = "rate-limit"
	BodyTooLarge Reason = "body-too-large"
	BodyBroken   Reason = "body-broken"
	// BodySlow means that the body arrived below the minimum rate, or not in time.
	BodySlow Reason = "body-slow"
	// MemoryFull means that there is no memory for the body.
	MemoryFull        Reason = "memory"
	TooDeep           Reason = "too-deep"
	Deadline          Reason = "deadline"
	ShuttingDown      Reason = "shutting-down"
	KeyReused         Reason = "key-reused"
	KeyInvalid        Reason = "invalid-key"
	KeyTooOld         Reason = "key-too-old"
	KeyTooNew         Reason = "key-too-new"
	KeySuperseded     Reason = "key-superseded"
	KeyInDoubt        Reason = "key-in-doubt"
	ResponseNotStored Reason = "response-not-stored"
	// InternalError is an unexpected error of the daemon.
	InternalError Reason = "internal-error"
)

// statuses maps reasons that have an HTTP status of their own.
var statuses = map[Reason]int{
	Unsupported:       http.StatusNotImplemented,
	NoRule:            http.StatusNotFound,
	Unauthenticated:   http.StatusUnauthorized,
	RateLimit:         http.StatusTooManyRequests,
	BodyTooLarge:      http.StatusRequestEntityTooLarge,
	BodyBroken:        http.StatusBadRequest,
	BodySlow:          http.StatusRequestTimeout,
	TooDeep:           http.StatusLoopDetected,
	KeyReused:         http.StatusUnprocessableEntity,
	KeyInvalid:        http.StatusBadRequest,
	KeyTooOld:         http.StatusConflict,
	KeyTooNew:         http.StatusConflict,
	KeySuperseded:     http.StatusConflict,
	KeyInDoubt:        http.StatusConflict,
	ResponseNotStored: http.StatusConflict,
}

// Status returns the HTTP status of the refusal.
func (r Refusal) Status() int {
	if status, ok := statuses[r.Reason]; ok {
		return status
	}

	switch {
	case r.Verdict == verdict.NotRun:
		return http.StatusServiceUnavailable
	case r.Reason == Deadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// titles are the problem titles of the verdicts.
var titles = map[verdict.Verdict]string{
	verdict.NotRun:     "The request was not run.",
	verdict.MayHaveRun: "The request may have run; its outcome is not known.",
	verdict.Answered:   "The request ran; its response is no longer stored.",
}

// problem is the JSON body of a refusal.
type problem struct {
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Verdict  string `json:"verdict"`
	Delivery string `json:"delivery"`
	Reason   string `json:"reason"`
}

func (r Refusal) response() http1.Response {
	status := r.Status()

	var body bytes.Buffer

	// Encoding a struct of strings and numbers cannot fail.
	_ = json.NewEncoder(&body).Encode(problem{
		Title: titles[r.Verdict], Status: status, Verdict: r.Verdict.String(), Delivery: r.Delivery.String(),
		Reason: string(r.Reason),
	})

	header := make(http.Header)
	header.Set("Content-Type", "application/problem+json")
	header.Set(verdictHeader, r.Verdict.String())

	return http1.Response{
		Status: status, Header: header, Body: http1.Body{Reader: &body, Length: int64(body.Len())},
	}
}

func (r Refusal) setRetryAfter(header http.Header, fractional bool) {
	if r.RetryAfter <= 0 {
		return
	}

	seconds := r.RetryAfter.Seconds()
	if fractional {
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))

		return
	}

	header.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(seconds)), 10))
}
