package manifest

import (
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNoService means that no service has the host.
	ErrNoService = errors.New("no service has this host")
	// ErrNoRule means that the service has no rule for the method and path. Such requests are refused
	// as not run, because nothing is known of their deadline and size. A rule with the path "/" and
	// no methods accepts the rest of a service's requests.
	ErrNoRule = errors.New("no rule of the service has this method and path")
)

// Matcher finds the service and rule of a request. It is immutable and safe for concurrent use.
type Matcher struct {
	hosts  map[string]*compiled
	routes map[string]prefixes
}

type compiled struct {
	name string
	mux  *http.ServeMux
}

// Match is the result of a Matcher.
type Match struct {
	// Service is the name of the service, or of the first part of a route.
	Service string
	Rule    Rule
	// Route is nil if the rule belongs to a service.
	Route *Route
}

// NewMatcher compiles a manifest. It returns the faults that Validate returns.
func NewMatcher(m Manifest) (*Matcher, error) {
	matcher, err := m.compile()
	if err != nil {
		return nil, err
	}

	return &matcher, nil
}

// Match finds the service for a Host header, with or without port, and its rule for the method and
// location. The rules of http.ServeMux apply: the most specific pattern wins, and a pattern for GET
// also matches HEAD. A path that ServeMux would redirect, such as one with "//", has no rule.
//
// It returns ErrNoService or ErrNoRule; with ErrNoRule, the service is set.
func (m *Matcher) Match(host, method string, location *url.URL) (Match, error) {
	host = canonicalHost(host)

	if route := m.routes[host].find(location.EscapedPath()); route != nil {
		return Match{Service: route.Parts[0].Service, Rule: route.Rule, Route: route}, nil
	}

	service, found := m.hosts[host]
	if !found {
		return Match{}, ErrNoService
	}
	// ServeMux treats the host of CONNECT as part of the path, and compares no other method with case.
	if method == http.MethodConnect {
		return Match{Service: service.name}, ErrNoRule
	}

	handler, _ := service.mux.Handler(&http.Request{Method: method, URL: location})
	// Anything else is a handler of ServeMux's own, for redirects and for no match.
	matched, ok := handler.(ruleHandler)
	if !ok {
		return Match{Service: service.name}, ErrNoRule
	}

	return Match{Service: service.name, Rule: matched.rule}, nil
}

// canonicalHost removes the port and a trailing dot and folds case. The brackets of an IPv6 address
// are removed, too.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}

	host = strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")

	return strings.ToLower(strings.TrimSuffix(host, "."))
}
