package lint

import (
	"slices"
	"strings"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// checkParts finds services of a route that get none of its requests.
func (c *checker) checkParts(header string, route manifest.Route) {
	for _, part := range route.Parts {
		if part.Weight == 0 {
			c.warn(header, "services", "service %s has the weight 0 and gets no requests", part.Service)
		}
	}
}

// checkReach finds services and rules that get no requests. Routes precede the rules of services, so a route hides the
// rules below its prefix. Among rules of one service, the more specific pattern wins, and equal ones are errors.
func (c *checker) checkReach() {
	for _, service := range c.manifest.Services {
		if len(service.Hosts) == 0 {
			if !slices.ContainsFunc(c.manifest.Routes, func(r manifest.Route) bool { return sendsTo(r, service.Name) }) {
				c.warn("service "+service.Name, "", "no host and no route sends requests to the service")
			}

			continue
		}

		c.checkHosts(service)

		for _, rule := range service.Rules {
			if hidden := c.hidingRoute(service.Hosts, rule.Path); hidden != "" {
				c.warn("rule "+service.Name+" "+rule.Name, "path",
					"the rule never matches, because [route %s] has the same host and a prefix of the path", hidden)
			}
		}
	}
}

func sendsTo(route manifest.Route, service string) bool {
	return slices.ContainsFunc(route.Parts, func(p manifest.Part) bool { return p.Service == service && p.Weight > 0 })
}

// checkHosts finds hosts all of whose requests go to a route.
func (c *checker) checkHosts(service manifest.Service) {
	if len(service.Hosts) < 2 {
		// The warnings about the rules say it.
		return
	}

	for _, host := range service.Hosts {
		if route := c.hidingRoute([]string{host}, "/"); route != "" {
			c.warn("service "+service.Name, "hosts", "[route %s] has all requests of the host %s", route, host)
		}
	}
}

// hidingRoute returns the name of a route that has all requests with a path at some of the hosts, if each other host
// has such a route, too; empty if a request may reach the service.
func (c *checker) hidingRoute(hosts []string, path string) string {
	fixed := fixedPart(path)
	name := ""

	for _, host := range hosts {
		index := slices.IndexFunc(c.manifest.Routes, func(r manifest.Route) bool {
			return r.Host == host && strings.HasPrefix(fixed, r.Prefix)
		})
		if index < 0 {
			return ""
		}

		name = c.manifest.Routes[index].Name
	}

	return name
}

// fixedPart returns the part of a pattern before its first wildcard.
func fixedPart(path string) string {
	fixed, _, _ := strings.Cut(path, "{")

	return fixed
}
