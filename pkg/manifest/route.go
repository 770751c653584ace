package manifest

import (
	"slices"
	"strings"
)

// Route sends the requests of a host whose path begins with a prefix to a service, or to several by weight.
// Of the routes of a host, the one with the longest matching prefix applies. A route goes before the rules
// of a service with the same host.
type Route struct {
	Name string
	// Host is a Host header value, lower case, without port.
	Host string
	// Prefix begins and ends with a slash. It is compared with the path as it was sent, without decoding.
	Prefix string
	// Rule applies to the requests of the route. Its name is that of the route; Methods and Path are empty.
	Rule Rule
	// Parts has at least one element.
	Parts []Part
}

// Part is a service of a route with its share of the route's requests.
type Part struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight int
}

// Bounds of a route, inclusive.
const (
	MaxWeight   = 1_000_000
	MaxPriority = 1_000
)

// prefixes holds the routes of one host by prefix.
type prefixes map[string]*Route

// find returns the route with the longest prefix that begins the path.
func (p prefixes) find(path string) *Route {
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

// compileRoutes returns the routes by host and prefix. Faults are collected by the checker.
func (c *checker) compileRoutes(m Manifest) map[string]prefixes {
	hosts := make(map[string]prefixes)
	names := make(map[string]bool, len(m.Routes))

	for i := range m.Routes {
		route := &m.Routes[i]
		c.section = routeSection(route.Name)

		if names[route.Name] {
			c.fail("", "route is declared twice")
		}

		names[route.Name] = true

		c.checkRoute(m, route)

		if hosts[route.Host] == nil {
			hosts[route.Host] = make(prefixes)
		}

		if other, found := hosts[route.Host][route.Prefix]; found {
			c.fail("prefix", "route %s has the same host and prefix", other.Name)
		}

		hosts[route.Host][route.Prefix] = route
	}

	return hosts
}

func (c *checker) checkRoute(m Manifest, route *Route) {
	if !validHost(route.Host) {
		c.fail("host", "%q is not a lower-case host without port", route.Host)
	}

	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		c.fail("prefix", "%q does not begin and end with a slash", route.Prefix)
	}

	c.checkRule(route.Rule)

	if len(route.Parts) == 0 {
		c.fail("services", "route has no service")
	}

	total := 0

	for _, part := range route.Parts {
		within(c, "services", part.Weight, 0, MaxWeight)

		total += part.Weight
		known := slices.ContainsFunc(m.Services, func(s Service) bool { return s.Name == part.Service })

		if !known {
			c.fail("services", "there is no service %q", part.Service)
		}
	}

	if len(route.Parts) > 0 && total == 0 {
		c.fail("services", "all weights are zero")
	}
}
