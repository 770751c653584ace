package logservice

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Effect says whether a failed append may have taken effect.
type Effect uint8

const (
	// MayBeAppended leaves it open. The record has to be looked for before it is appended again. It
	// is the zero value because it is the safe one.
	MayBeAppended Effect = iota
	// NotAppended says that the record was not appended and never will be.
	NotAppended
)

// String returns a lower-case name.
func (e Effect) String() string {
	if e == NotAppended {
		return "not appended"
	}

	return "may be appended"
}

// AppendError reports a failed append.
type AppendError struct {
	Stream string
	Effect Effect
	// Status is the HTTP status, or zero if there was no response.
	Status int
	// RetryAfter is the wait that the service asks for, or zero.
	RetryAfter time.Duration
	Cause      error
}

// Error describes the failure and its effect.
func (e *AppendError) Error() string {
	return fmt.Sprintf("append to stream %q (%s): %v", e.Stream, e.Effect, e.Cause)
}

// Unwrap returns the cause.
func (e *AppendError) Unwrap() error { return e.Cause }

// ReadError reports a failed read.
type ReadError struct {
	Stream string
	From   uint64
	// Status is the HTTP status, or zero if there was no response.
	Status int
	Cause  error
}

// Error describes the failure.
func (e *ReadError) Error() string {
	return fmt.Sprintf("read stream %q from offset %d: %v", e.Stream, e.From, e.Cause)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// EffectOf returns the effect that an error of Append reports. An unknown error leaves it open.
func EffectOf(err error) Effect {
	var appendError *AppendError
	if errors.As(err, &appendError) {
		return appendError.Effect
	}

	return MayBeAppended
}

// effectOf maps a status. The service documents that 4xx and 503 are sent before it accepts a
// record; 408 is left out because a proxy sends it for its own timeouts.
func effectOf(status int) Effect {
	if status == http.StatusServiceUnavailable ||
		(status >= 400 && status < 500 && status != http.StatusRequestTimeout) {
		return NotAppended
	}

	return MayBeAppended
}

// retryAfter reads the header in its form in seconds.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}

	return time.Duration(seconds) * time.Second
}
