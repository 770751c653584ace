// Package lint finds entries of a valid manifest that most likely are mistakes: rules that never match, and limits that
// contradict each other or have no effect.
package lint

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/tarragonmill/tarragonmill/internal/ini"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const (
	// lowestPriority is the last priority that differs from the next ones; all further ones have the same rank.
	lowestPriority = int(request.LowRank - request.UrgentRank)
	// rateWindow is the time, in seconds, over which the rate of a tenant is guaranteed.
	rateWindow = 5
)

// checker collects the warnings about one manifest.
type checker struct {
	document *ini.Document
	manifest manifest.Manifest
	warnings []*ini.Error
}

// Check returns warnings about a valid manifest and the text from which it was parsed, in the order of their lines. The
// name of the file is only used in the warnings.
func Check(file string, data []byte, m manifest.Manifest) []*ini.Error {
	c := &checker{document: ini.Parse(file, data), manifest: m}

	for _, service := range m.Services {
		c.checkService(service)
	}

	for _, route := range m.Routes {
		header := "route " + route.Name
		c.checkRule(header, route.Rule)
		c.checkParts(header, route)
	}

	c.checkReach()

	for _, tenant := range m.Tenants {
		c.checkTenant(tenant)
	}

	slices.SortStableFunc(c.warnings, func(a, b *ini.Error) int { return cmp.Compare(a.Line, b.Line) })

	return c.warnings
}

func (c *checker) warn(header, key, format string, args ...any) {
	c.warnings = append(c.warnings, c.document.Warn(header, key, fmt.Sprintf(format, args...)))
}

func (c *checker) checkService(service manifest.Service) {
	header := "service " + service.Name

	if service.Cold.Rate > 0 && service.Cold.Time == 0 {
		c.warn(header, "cold", "without the key warmup, only servers that state it themselves are cold")
	}

	if service.Cold.Time > 0 && service.Cold.Rate == 0 {
		c.warn(header, "warmup", "without the key cold, a cold server has no limit")
	}

	c.checkHedge(header, service.Hedge)

	for _, rule := range service.Rules {
		c.checkRule("rule "+service.Name+" "+rule.Name, rule)
	}
}

// checkHedge finds limits on hedged attempts that lack a part. Without a limit, the quantile has no effect; the default
// that the canonical form states is no mistake.
func (c *checker) checkHedge(header string, h manifest.Hedge) {
	switch {
	case h.Delayed > 0 && h.Work == 0:
		c.warn(header, "delayed", "without the key work, nothing is hedged after a delay")
	case h.Work > 0 && h.Delayed == 0:
		c.warn(header, "work", "without the key delayed, the limit has no effect")
	case h.Delayed > 0 && !c.document.Has(header, "quantile"):
		c.warn(header, "delayed", "the key quantile is missing; the delay is the quantile %g", h.Quantile)
	}
}

// checkRule checks the keys that rules and routes have in common.
func (c *checker) checkRule(header string, rule manifest.Rule) {
	if rule.Target > rule.Deadline {
		c.warn(header, "target", "%s is after the deadline of %s", rule.Target, rule.Deadline)
	}

	c.checkPriority(header, rule.Priority)

	if rule.Anonymous && len(c.manifest.Tenants) == 0 {
		c.warn(header, "anonymous", "no key is needed anyway, because the manifest has no tenants")
	}

	if rule.Kind != manifest.Idempotent && rule.Hedge != (manifest.HedgeOverride{}) {
		c.warn(header, "kind", "requests that must not run twice are never hedged, so the limits have no effect")
	}

	if rule.Kind != manifest.Idempotent && rule.Attempts > 1 {
		c.warn(header, "attempts", "requests that must not run twice run at one server, whatever the limit")
	}
}

func (c *checker) checkPriority(header string, priority int) {
	if priority > lowestPriority {
		c.warn(header, "priority", "%d is served like %d: lower priorities are not told apart", priority, lowestPriority)
	}
}

func (c *checker) checkTenant(tenant manifest.Tenant) {
	header := "tenant " + tenant.Name

	if len(tenant.Keys) == 0 {
		c.warn(header, "keys", "without a key, no request of the tenant is accepted")
	}

	c.checkPriority(header, tenant.Priority)

	switch {
	case !tenant.Limited():
	case tenant.Rate == 0:
		c.warn(header, "rate", "without a rate, no request is accepted after the burst")
	case tenant.Burst < 1:
		c.warn(header, "burst", "%g is less than one request", tenant.Burst)
	}

	if tenant.Rate > 0 && tenant.Rate*rateWindow < 1 {
		c.warn(header, "rate", "%g per second is less than one request in %d s", tenant.Rate, rateWindow)
	}

	c.checkCommonRegions(header, tenant)
}

// checkCommonRegions finds rules and routes whose requests no server may run for a tenant.
func (c *checker) checkCommonRegions(header string, tenant manifest.Tenant) {
	allowed := request.NewRegions(tenant.Regions)
	check := func(what string, regions []string) {
		common := allowed.Intersect(request.NewRegions(regions))
		if common.Restricted && common.Names == "" {
			c.warn(header, "regions", "no region is allowed by both the tenant and [%s]", what)
		}
	}

	for _, service := range c.manifest.Services {
		for _, rule := range service.Rules {
			check("rule "+service.Name+" "+rule.Name, rule.Regions)
		}
	}

	for _, route := range c.manifest.Routes {
		check("route "+route.Name, route.Rule.Regions)
	}
}
