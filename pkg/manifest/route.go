package manifest

import (
	"slices"
	"strings"
)

// Route sends the requests for a host whose path has a prefix to a service, or to several services by weight. Of the
// routes of a host, the one with the longest matching prefix applies. Routes precede the rules of a service with the
// same host.
type Route struct {
	Name string
	// Host is a Host header value in lower case and without port.
	Host string
	// Prefix begins and ends with a slash. It is compared with the path as sent, without percent-decoding.
	Prefix string
	// Rule applies to the requests of the route. It has the name of the route; Methods and Path are empty.
	Rule Rule
	// Parts are the services that receive the route's requests; there is at least one.
	Parts []Part
}

// Part is one of the services of a route.
type Part struct {
	Service string
	// Weight divided by the sum of the route's weights is the service's share of the requests.
	Weight int
}

const (
	// MaxWeight is the maximum of Part.Weight.
	MaxWeight = 1_000_000
	// MaxPriority is the maximum of Rule.Priority.
	MaxPriority = 1_000
)

// routesByPrefix holds the routes of one host, indexed by prefix.
type routesByPrefix map[string]*Route

// find returns the route with the longest prefix of the path; nil if no prefix matches.
func (p routesByPrefix) find(path string) *Route {
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}

		if route, found := p[path[:slash+1]]; found {
			return route
		}

		end = slash
	}

	return nil
}

// compileRoutes returns the routes by host and prefix, and adds their problems to the checker.
func (c *checker) compileRoutes(m Manifest) map[string]routesByPrefix {
	hosts := make(map[string]routesByPrefix)
	names := make(map[string]bool, len(m.Routes))

	for i := range m.Routes {
		route := &m.Routes[i]
		c.section = routeSection(route.Name)

		if names[route.Name] {
			c.addProblem("", "route is declared twice")
		}

		names[route.Name] = true

		c.checkRoute(m, route)

		if hosts[route.Host] == nil {
			hosts[route.Host] = make(routesByPrefix)
		}

		if other, found := hosts[route.Host][route.Prefix]; found {
			c.addProblem("prefix", "route %s has the same host and prefix", other.Name)
		}

		hosts[route.Host][route.Prefix] = route
	}

	return hosts
}

func (c *checker) checkRoute(m Manifest, route *Route) {
	if !validHost(route.Host) {
		c.addProblem("host", "%q is not a lower-case host without port", route.Host)
	}

	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		c.addProblem("prefix", "%q does not begin and end with a slash", route.Prefix)
	}

	c.checkRule(route.Rule)

	if len(route.Parts) == 0 {
		c.addProblem("services", "route has no service")
	}

	total := 0

	for _, part := range route.Parts {
		checkRange(c, "services", part.Weight, 0, MaxWeight)

		total += part.Weight
		known := slices.ContainsFunc(m.Services, func(s Service) bool { return s.Name == part.Service })

		if !known {
			c.addProblem("services", "there is no service %q", part.Service)
		}
	}

	if len(route.Parts) > 0 && total == 0 {
		c.addProblem("services", "all weights are zero")
	}
}
