package manifest

import (
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNoService means that no route matches and no service has the host.
	ErrNoService = errors.New("no service has this host")
	// ErrNoRule means that the service has no rule for the method and path. Such a request is refused without being
	// run, because its deadline and maximum size are unknown. A rule with the path "/" and without methods matches all
	// requests that no other rule of the service matches.
	ErrNoRule = errors.New("no rule of the service has this method and path")
)

// Matcher finds the service and the rule of a request. It is immutable and safe for concurrent use.
type Matcher struct {
	// hosts and routes are indexed by canonical host.
	hosts  map[string]*compiledService
	routes map[string]routesByPrefix
	// tenants are indexed by the digests of their API keys. keyed is set if the manifest has tenants.
	tenants map[KeyDigest]*Tenant
	keyed   bool
}

// compiledService holds the rules of a service as patterns of a mux.
type compiledService struct {
	name string
	mux  *http.ServeMux
}

// Match is the result of a Matcher.
type Match struct {
	// Service is the name of the service; for a route, it is the service of the first part.
	Service string
	// Rule applies to the request.
	Rule Rule
	// Route is nil if the rule belongs to a service.
	Route *Route
}

// NewMatcher returns a Matcher for a manifest. If the manifest is invalid, it returns the error of Validate.
func NewMatcher(m Manifest) (*Matcher, error) {
	matcher, err := m.compile()
	if err != nil {
		return nil, err
	}

	return &matcher, nil
}

// Match finds the service for a Host header, with or without port, and the rule for the method and URL path. Routes
// precede the rules of services. Among the rules of a service, http.ServeMux decides: the most specific pattern wins,
// and a pattern for GET also matches HEAD. No rule matches a path that ServeMux would redirect, such as one with "//".
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
	// No rule matches CONNECT, because ServeMux matches these requests by the host of the URL and without cleaning the
	// path. ServeMux does so only for the exact spelling "CONNECT".
	if method == http.MethodConnect {
		return Match{Service: service.name}, ErrNoRule
	}

	handler, _ := service.mux.Handler(&http.Request{Method: method, URL: location})
	// ServeMux returns a handler of its own for a redirect and if no pattern matches.
	matched, ok := handler.(ruleHandler)
	if !ok {
		return Match{Service: service.name}, ErrNoRule
	}

	return Match{Service: service.name, Rule: matched.rule}, nil
}

// Keyed reports whether callers have to present an API key: the manifest has tenants.
func (m *Matcher) Keyed() bool { return m.keyed }

// Tenant returns the tenant to which an API key belongs, and false if there is none. The tenant must not be modified.
func (m *Matcher) Tenant(key string) (*Tenant, bool) {
	tenant, found := m.tenants[DigestKey(key)]

	return tenant, found
}

// canonicalHost returns the host in lower case, without port, without the trailing dot of a DNS name and without the
// brackets of an IPv6 address.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}

	host = strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")

	return strings.ToLower(strings.TrimSuffix(host, "."))
}
