// Package manifest defines the configuration that operators write: services, the rules for their requests, tenants, and
// limits on the traffic for load measurement, retries and hedging.
//
// The operators' build pipeline generates a manifest and publishes it through the log service. The types have no
// struct tags; Parse and Format convert them from and to the INI form.
package manifest

import "time"

// Kind tells whether a request may run more than once.
type Kind uint8

const (
	// NonIdempotent requests run at most once. This is the zero value because it is the safe assumption.
	NonIdempotent Kind = iota
	// Idempotent requests may be repeated and hedged.
	Idempotent
)

// String returns the word for the kind in a manifest.
func (k Kind) String() string {
	if k == Idempotent {
		return "idempotent"
	}

	return "non-idempotent"
}

// Manifest is a configuration. In a manifest from Parse, services and routes are sorted by name, and Validate finds no
// problem.
type Manifest struct {
	Services []Service
	Routes   []Route
	// Tenants are empty if callers need no key.
	Tenants []Tenant
	// Limits apply to the requests and connections of all callers.
	Limits Limits
	// Keys is zero if idempotency keys are disabled.
	Keys Keys
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name string
	// Hosts are the Host header values of the service, in lower case and without port.
	Hosts []string
	// Rules are in the order of the INI form.
	Rules  []Rule
	Budget Budget
	Retry  Retry
	Hedge  Hedge
	// Health is the path of health requests to a backend server; if it is empty, the settings of the daemon beside
	// the server apply.
	Health string
	// Connections is the maximum number of connections to one backend server; if it is zero, the settings of the
	// daemon beside the server apply. Daemons do not enforce it; the limit in their settings always applies.
	Connections int
	Cold        Cold
}

// Cold limits the requests of a server that has just started and is still slow, for example because its caches are empty.
// The zero value means no limit.
type Cold struct {
	// Time is how long a server stays cold after its start. Servers also state how long they stay cold.
	Time time.Duration
	// Rate is the number of requests per second that a cold server tolerates.
	Rate float64
}

// Rule classifies requests of a service by method and path.
type Rule struct {
	Name string
	// Methods are the HTTP methods that the rule applies to; empty means all.
	Methods []string
	// Path is a pattern in the syntax of net/http.ServeMux, without method and host.
	Path string
	Kind Kind
	// Deadline is the maximum time that a request may take.
	Deadline time.Duration
	// Target is the response time that the caller wants; a later response, up to Deadline, is of less use. Zero means
	// Deadline.
	Target time.Duration
	// Attempts is the maximum number of backend servers that may run one request; zero means the limit of the service,
	// Retry.Attempts.
	Attempts int
	// Priority orders requests that wait for the same backend server; 0 is the highest.
	Priority int
	// Body is the maximum size of a request body in bytes.
	Body int64
	// Answer is the maximum size of a response body in bytes; zero means no limit. Daemons do not enforce it.
	Answer int64
	// Anonymous is set if callers need no key although the manifest has tenants.
	Anonymous bool
	// Regions are the regions whose servers may run the requests; empty means all.
	Regions []string
	// Hedge replaces values of the service's Hedge.
	Hedge HedgeOverride
}

// RuleID returns the name under which the requests of a rule are counted and timed, for a service of the rule or for the
// first service of a route.
func RuleID(service string, rule Rule) string { return service + "/" + rule.Name }

// Budget limits the traffic of a service for measuring the load of its servers, and its traffic between regions.
type Budget struct {
	// Unlimited disables all limits, for a configuration that states none. The INI form always states them.
	Unlimited bool
	// Probes is the maximum number of probes per second for the whole service.
	Probes float64
	// Bytes is the maximum rate of probes and load reports for the whole service, in bytes per second.
	Bytes int64
	// Cross is the part of Bytes that may be sent between regions, in bytes per second.
	Cross int64
	// Spill is the maximum rate of requests and responses of the service between regions, in bytes per second.
	Spill int64
}

// Retry limits repeated attempts.
type Retry struct {
	// Share is the maximum number of retries per request on average, such as 0.2. Daemons do not enforce it;
	// the section [repeat] of their settings limits repeats.
	Share float64
	// Attempts is the maximum number of backend servers that may run one request, for rules without a limit of their
	// own.
	Attempts int
}

// Hedge limits hedged attempts: second attempts for idempotent requests whose first attempt is slow.
type Hedge struct {
	// Share is the maximum number of hedged attempts per request on average; zero disables hedging.
	Share float64
	// Quantile of the recent response times of a route, such as 0.95, is the delay of attempts that Delayed limits.
	Quantile float64
	// Delayed is the maximum number of attempts per request, on average, that are hedged after the delay; zero disables
	// them. Without Delayed and Work, a request is hedged only when it is expected to miss its target, within Share.
	Delayed float64
	// Work is the maximum share of the time that servers run requests which hedged attempts of all kinds may use.
	Work float64
}

// Keys configures idempotency keys.
type Keys struct {
	// Window is the maximum age of a key that was not seen before.
	Window time.Duration
	// Tolerance is the maximum time by which the issue time of a key may be ahead of the clock of the key's owner.
	Tolerance time.Duration
	// Grant is the duration of a grant, which makes one daemon the owner of a set of keys.
	Grant time.Duration
}

// Limits bounds the requests and connections of callers. Zero in a field means the default of the daemon.
type Limits struct {
	// Header is the maximum size of a request head (request line and header fields) in bytes.
	Header int
	// Body is the maximum size of a request body in bytes. It applies even if a rule allows more.
	Body int64
	// HeaderTimeout is the maximum time that a caller may take to send a request head.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection of a caller is closed.
	IdleTimeout time.Duration
}
