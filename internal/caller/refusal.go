package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Refusal is the final answer to a request that no backend server answered.
type Refusal struct {
	// Verdict covers every delivery of the request's key, Delivery this one alone.
	Verdict  verdict.Verdict
	Delivery verdict.Verdict
	Reason   Reason
	// RetryAfter says when to come back; zero if that would not help.
	RetryAfter time.Duration
}

// Reason is the machine-readable cause of a refusal. Reasons of the reducers are passed on as they are.
type Reason string

// Reasons that arise at the caller interface and those that map to a status of their own.
const (
	Unsupported  Reason = "unsupported"
	NoManifest   Reason = "no-manifest"
	NoRule       Reason = "no-rule"
	BodyTooLarge Reason = "body-too-large"
	BodyBroken   Reason = "body-broken"
	TooDeep      Reason = "too-deep"
	Deadline     Reason = "deadline"
	KeyReused    Reason = "key-reused"
	KeyInvalid   Reason = "invalid-key"
	KeyTooOld    Reason = "key-too-old"
	KeyTooNew    Reason = "key-too-new"
	Superseded   Reason = "key-superseded"
	KeyInDoubt   Reason = "key-in-doubt"
	NotStored    Reason = "response-not-stored"
	ShuttingDown Reason = "shutting-down"
)

// statuses gives the HTTP status of reasons that have one of their own.
var statuses = map[Reason]int{
	Unsupported:  http.StatusNotImplemented,
	NoRule:       http.StatusNotFound,
	BodyTooLarge: http.StatusRequestEntityTooLarge,
	BodyBroken:   http.StatusBadRequest,
	TooDeep:      http.StatusLoopDetected,
	Deadline:     http.StatusGatewayTimeout,
	KeyReused:    http.StatusUnprocessableEntity,
	KeyInvalid:   http.StatusBadRequest,
	KeyTooOld:    http.StatusConflict,
	KeyTooNew:    http.StatusConflict,
	Superseded:   http.StatusConflict,
	KeyInDoubt:   http.StatusConflict,
	NotStored:    http.StatusConflict,
}

// Status returns the HTTP status of a refusal.
func (r Refusal) Status() int {
	if status, ok := statuses[r.Reason]; ok {
		return status
	}

	if r.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}

	return http.StatusBadGateway
}

// titles explains the verdicts to a person.
var titles = map[verdict.Verdict]string{
	verdict.NotRun:     "The request was not run.",
	verdict.MayHaveRun: "The request may have run; its outcome is not known.",
	verdict.Answered:   "The request ran; its response is no longer stored.",
}

// problem is the wire form of a refusal.
type problem struct {
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Verdict  string `json:"verdict"`
	Delivery string `json:"delivery"`
	Reason   string `json:"reason"`
}

func writeRefusal(w http.ResponseWriter, refusal Refusal) {
	status := refusal.Status()

	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(verdictHeader, refusal.Verdict.String())

	if refusal.RetryAfter > 0 {
		seconds := int64(math.Ceil(refusal.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}

	w.WriteHeader(status)

	_ = json.NewEncoder(w).Encode(problem{
		Title:    titles[refusal.Verdict],
		Status:   status,
		Verdict:  refusal.Verdict.String(),
		Delivery: refusal.Delivery.String(),
		Reason:   string(refusal.Reason),
	})
}
