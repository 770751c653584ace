// Package dialect defines the names of the header fields that callers and backend servers use towards a daemon where
// HTTP has no standard field. The rest of the daemon is independent of these names.
package dialect

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Dialect is a set of header field names. A field with an empty name is not used.
type Dialect struct {
	// Attempt identifies one attempt of a caller to send a request. A backend server repeats it in its response.
	Attempt string
	// Timeout is the time that remains for a request, in milliseconds.
	Timeout string
	// Seal is set by a backend server on each response that it produced for a request. A success without it is not a
	// complete response of a server.
	Seal string
	// ExpectedInstance identifies the backend server that is to run a request; any other server refuses the request.
	ExpectedInstance string
	// Instance identifies the backend server that sent a response.
	Instance string
	// Load contains the load of a backend server.
	Load string
	// NotRun marks a response to a request that the backend server did not run.
	NotRun string
	// Origin is the service on whose instance a request was received from its caller.
	Origin string
	// CallToken identifies a request in progress. A backend server sends it with the nested calls that it makes for the
	// request. If the server also repeats it in its response, the daemon detects late duplicates of the response.
	CallToken string
	// State has the value DrainingValue if a backend server is about to leave the fleet.
	State         string
	DrainingValue string
	// Limit is the number of requests per second that a backend server takes from all instances together. It holds until
	// a response of the server lacks the field.
	Limit string
	// Credential carries the API key of a caller. It is never passed on.
	Credential string
	// Tenant is the tenant to whom the caller of a request belongs. The daemon sets it.
	Tenant string
	// Cold is the time in milliseconds for which a backend server stays cold, in its responses to health requests.
	Cold string
	// NotRunValue is the required value of NotRun; empty if any value is accepted.
	NotRunValue string
	// FractionalRetryAfter is set if Retry-After may have decimals.
	FractionalRetryAfter bool
}

// IsDraining reports whether a response states that its backend server is about to leave the fleet.
func (d Dialect) IsDraining(header http.Header) bool {
	return d.State != "" && header.Get(d.State) == d.DrainingValue
}

// ParseLimit parses the Limit field of a response, in requests per second. It returns false if the field is missing, and
// an error if it is not a finite number of at least zero.
func (d Dialect) ParseLimit(header http.Header) (perSecond float64, stated bool, err error) {
	text := d.value(header, d.Limit)
	if text == "" {
		return 0, false, nil
	}

	perSecond, err = strconv.ParseFloat(text, 64)
	if err == nil && !(perSecond >= 0 && perSecond <= math.MaxFloat64) {
		err = errors.Newf("limit %q is out of range", text)
	}

	return perSecond, true, errors.Wrap(err, "parse limit")
}

// Default returns the project's own field names.
func Default() Dialect {
	return Dialect{
		Timeout:     "Tarragonmill-Timeout",
		CallToken:   "Tarragonmill-Call",
		NotRun:      "Tarragonmill-Verdict",
		NotRunValue: "not-run",
		State:       "Tarragonmill-State",
		Limit:       "Tarragonmill-Limit",
		Credential:  "Tarragonmill-Key",
		Tenant:      "Tarragonmill-Tenant",
		Cold:        "Tarragonmill-Cold",

		DrainingValue: "draining",
	}
}

// Load is the load that a backend server reports.
type Load struct {
	// Running and Waiting are numbers of requests. Slots is the number of requests that the server runs concurrently.
	Running int
	Waiting int
	Slots   int
	// Slowness is the present duration of requests relative to the usual duration: 1 is the usual duration. It is 0 if
	// the server does not report it.
	Slowness float64
}

// maxFigure is the largest number in the Load field.
const maxFigure = 1 << 20

// normalSlowness is the number that a server sends for a slowness of 1.
const normalSlowness = 100

// ParseLoad parses the Load field of a response: running, waiting, slots and optionally the slowness in percent,
// separated by commas. It returns false if the field is missing or malformed.
func (d Dialect) ParseLoad(header http.Header) (Load, bool) {
	text := d.value(header, d.Load)
	if text == "" {
		return Load{}, false
	}

	fields := strings.Split(text, ",")
	figures := make([]int, len(fields))

	for i, field := range fields {
		figure, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || figure < 0 || figure > maxFigure {
			return Load{}, false
		}

		figures[i] = figure
	}

	if len(figures) < 3 {
		return Load{}, false
	}

	load := Load{Running: figures[0], Waiting: figures[1], Slots: figures[2]}
	if len(figures) > 3 {
		load.Slowness = float64(figures[3]) / normalSlowness
	}

	return load, true
}

// maxCold bounds the Cold field. A longer time counts as this one.
const maxCold = 10 * time.Minute

// ParseCold parses the Cold field of a response. It returns false if the field is missing, malformed or negative.
func (d Dialect) ParseCold(header http.Header) (time.Duration, bool) {
	text := d.value(header, d.Cold)
	if text == "" {
		return 0, false
	}

	number, err := strconv.ParseFloat(text, 64)
	// The comparison also excludes NaN.
	if err != nil || !(number >= 0 && number <= math.MaxFloat64) {
		return 0, false
	}

	return time.Duration(min(number, float64(maxCold/time.Millisecond)) * float64(time.Millisecond)), true
}

// ParseTimeout parses the Timeout field of a request. It returns false if the field is missing, malformed, negative or
// above 24 hours.
func (d Dialect) ParseTimeout(header http.Header) (time.Duration, bool) {
	text := d.value(header, d.Timeout)
	if text == "" {
		return 0, false
	}

	number, err := strconv.ParseFloat(text, 64)
	// The comparison also excludes NaN.
	if err != nil || !(number >= 0 && number <= float64(24*time.Hour/time.Millisecond)) {
		return 0, false
	}

	return time.Duration(number * float64(time.Millisecond)), true
}

// SetTimeout sets the Timeout field to the time that is left. Less than a millisecond is sent as 1, because a server
// may interpret 0 as no limit.
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

// DaemonFields returns the names of the fields that the daemon sets itself in requests, so that a caller's values are
// not passed on. Names may be empty.
func (d Dialect) DaemonFields() []string {
	return []string{d.Timeout, d.ExpectedInstance, d.Origin, d.CallToken, d.Credential, d.Tenant}
}

// value returns the value of a field, or an empty string if the name is empty.
func (d Dialect) value(header http.Header, name string) string {
	if name == "" {
		return ""
	}

	return header.Get(name)
}

// CredentialOf returns the API key in a request; empty if there is none.
func (d Dialect) CredentialOf(header http.Header) string { return d.value(header, d.Credential) }

// AttemptOf returns the attempt identifier in a request or response; empty if there is none.
func (d Dialect) AttemptOf(header http.Header) string { return d.value(header, d.Attempt) }

// CallTokenOf returns the call token in a request or response; empty if there is none.
func (d Dialect) CallTokenOf(header http.Header) string { return d.value(header, d.CallToken) }

// InstanceOf returns the identifier of the backend server that sent a response; empty if there is none.
func (d Dialect) InstanceOf(header http.Header) string { return d.value(header, d.Instance) }

// Sealed reports whether a response has the seal of a backend server, or the dialect has no seal.
func (d Dialect) Sealed(header http.Header) bool {
	return d.Seal == "" || header.Get(d.Seal) != ""
}

// SetField sets a field, or does nothing if the name is empty.
func SetField(header http.Header, name, value string) {
	if name != "" {
		header.Set(name, value)
	}
}
