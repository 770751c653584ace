// Package dialect names the header fields by which callers and backend servers exchange with a daemon what
// HTTP has no field for. The rest of the daemon is independent of the names.
package dialect

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Dialect is a set of field names. A field with an empty name is not used.
type Dialect struct {
	// Attempt identifies one sending of a request by its caller. A backend server repeats it in its response.
	Attempt string
	// Timeout is the time that is left for a request, in milliseconds.
	Timeout string
	// Seal is set by a backend server on each response that it made for a request. A success without it is
	// no whole response of a server.
	Seal string
	// Expected names the backend server for which a request is meant; another one refuses it.
	ExpectedInstance string
	// Instance names the backend server that sent a response.
	Instance string
	// Load carries the load of a backend server.
	Load string
	// NotRun marks a response to a request that the backend server did not run.
	NotRun string
	// Origin is the service on whose instance a request began.
	Origin string
	// Call identifies a request in progress, for the nested calls of a backend server. A server that repeats it in its
	// responses is protected from late copies of them.
	CallToken string
	// State says with the value Draining that a backend server is about to leave.
	State string
	// NotRunValue is the value that NotRun has to have; empty for any value.
	NotRunValue string
	// FractionalRetry is set if Retry-After may have decimals.
	FractionalRetryAfter bool
}

// Draining is the value of the field State of a backend server that is about to leave.
const StateDraining = "draining"

// IsDraining reports whether a backend server says that it is about to leave.
func (d Dialect) IsDraining(header http.Header) bool {
	return d.value(header, d.State) == StateDraining
}

// Default returns the project's own names.
func Default() Dialect {
	return Dialect{
		Timeout:     "Tarragonmill-Timeout",
		CallToken:   "Tarragonmill-Call",
		NotRun:      "Tarragonmill-Verdict",
		NotRunValue: "not-run",
		State:       "Tarragonmill-State",
	}
}

// Load is what a backend server says of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes at present, relative to the usual time; 1 is as usual. It is 0 if the
	// server does not say it.
	Slowness float64
}

// usualSlowness is the figure that a server states for the usual speed.
const usualSlowness = 100

// ParseLoad reads the field Load of a response.
func (d Dialect) ParseLoad(header http.Header) (Load, bool) {
	text := d.value(header, d.Load)
	if text == "" {
		return Load{}, false
	}

	fields := strings.Split(text, ",")
	figures := make([]int, len(fields))

	for i, field := range fields {
		figure, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || figure < 0 {
			return Load{}, false
		}

		figures[i] = figure
	}

	if len(figures) < 3 {
		return Load{}, false
	}

	load := Load{Running: figures[0], Waiting: figures[1], Slots: figures[2]}
	if len(figures) > 3 {
		load.Slowness = float64(figures[3]) / usualSlowness
	}

	return load, true
}

// ParseTimeout reads the field Timeout of a request.
func (d Dialect) ParseTimeout(header http.Header) (time.Duration, bool) {
	text := d.value(header, d.Timeout)
	if text == "" {
		return 0, false
	}

	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number < 0 || number > float64(24*time.Hour/time.Millisecond) {
		return 0, false
	}

	return time.Duration(number * float64(time.Millisecond)), true
}

// SetTimeout states the time that is left. Less than a millisecond counts as one, because zero may be taken
// as no limit.
func (d Dialect) SetTimeout(header http.Header, left time.Duration) {
	if d.Timeout != "" {
		header.Set(d.Timeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	}
}

// IsNotRun reports whether a response states that the request was not run.
func (d Dialect) IsNotRun(header http.Header) bool {
	text := d.value(header, d.NotRun)

	return text != "" && (d.NotRunValue == "" || text == d.NotRunValue)
}

// Own reports whether the daemon sets the field itself, so that a caller's value is not passed on.
func (d Dialect) DaemonFields() []string {
	return []string{d.Timeout, d.ExpectedInstance, d.Origin, d.CallToken}
}

// Value returns the value of a field whose name may be empty.
func (d Dialect) value(header http.Header, name string) string {
	if name == "" {
		return ""
	}

	return header.Get(name)
}

// AttemptOf returns the identifier of a request or response.
func (d Dialect) AttemptOf(header http.Header) string { return d.value(header, d.Attempt) }

// InstanceOf returns the backend server that sent a response.
func (d Dialect) InstanceOf(header http.Header) string { return d.value(header, d.Instance) }

// Sealed reports whether a response may be passed on as that of a backend server.
func (d Dialect) Sealed(header http.Header) bool {
	return d.Seal == "" || header.Get(d.Seal) != ""
}

// Set sets a field whose name may be empty.
func SetField(header http.Header, name, value string) {
	if name != "" {
		header.Set(name, value)
	}
}
