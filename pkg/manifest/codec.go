package manifest

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/ini"
)

// MaxSize is the maximum size of a manifest in the INI form, in bytes. A manifest of 120 services, the target, takes
// about a fifth of it.
const MaxSize = 1 << 20

// Defaults of optional keys. Traffic between regions and hedging are off by default, and retries are few.
const (
	defaultRetryShare = 0.2 // retries per request
	defaultAttempts   = 3   // backend servers per request
	defaultQuantile   = 0.95
	defaultWindow     = 10 * time.Minute
	defaultTolerance  = 5 * time.Second
	defaultGrant      = 10 * time.Minute
)

// Headers of sections, or their first words.
const (
	keysSection = "keys"
	serviceKind = "service"
	ruleKind    = "rule"
	routeKind   = "route"
	tenantKind  = "tenant"

	limitsSection = "limits"
)

// Keys that services and rules have in common.
const (
	quantileKey = "quantile"
	delayedKey  = "delayed"
	workKey     = "work"
)

func serviceSection(service string) string    { return serviceKind + " " + service }
func ruleSection(service, rule string) string { return ruleKind + " " + service + " " + rule }
func routeSection(route string) string        { return routeKind + " " + route }
func tenantSection(tenant string) string      { return tenantKind + " " + tenant }

// Parse parses and validates a manifest in the INI form. Services, routes and tenants are sorted by name; the rules of a
// service keep their order. If the manifest is larger than MaxSize or invalid, Parse returns an empty manifest and an error.
// Errors give name as the file name. Those about the content are joined *ini.Error values, each with line, section and
// key.
func Parse(name string, data []byte) (Manifest, error) {
	if len(data) > MaxSize {
		return Manifest{}, errors.Newf("%s: manifest of %d bytes is larger than %d", name, len(data), MaxSize)
	}

	document := ini.Parse(name, data)
	m := Manifest{Keys: decodeKeys(document.Section(keysSection)), Limits: decodeLimits(document.Section(limitsSection))}
	serviceIndex := map[string]int{}

	for _, section := range document.SectionsOf(serviceKind, "SERVICE") {
		m.Services = append(m.Services, decodeService(section))
	}

	slices.SortFunc(m.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })

	for i, service := range m.Services {
		serviceIndex[service.Name] = i
	}

	for _, section := range document.SectionsOf(ruleKind, "SERVICE", "RULE") {
		rule := decodeRule(section)

		i, found := serviceIndex[section.Names[0]]
		if !found {
			document.Fail(ruleSection(section.Names[0], section.Names[1]), "", "there is no section ["+serviceSection(section.Names[0])+"]")

			continue
		}

		m.Services[i].Rules = append(m.Services[i].Rules, rule)
	}

	for _, section := range document.SectionsOf(routeKind, "ROUTE") {
		m.Routes = append(m.Routes, decodeRoute(section))
	}

	slices.SortFunc(m.Routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })

	for _, section := range document.SectionsOf(tenantKind, "TENANT") {
		m.Tenants = append(m.Tenants, decodeTenant(section))
	}

	slices.SortFunc(m.Tenants, func(a, b Tenant) int { return strings.Compare(a.Name, b.Name) })

	// Values that could not be parsed are zero here, and checking them would add misleading errors.
	if !document.Faulty() {
		_, problems := m.check()
		for _, problem := range problems {
			document.Fail(problem.Section, problem.Key, problem.Message)
		}
	}
	if err := document.Err(); err != nil {
		return Manifest{}, err
	}

	return m, nil
}

func decodeKeys(s *ini.Section) Keys {
	if !ini.Optional(s, "used", true, strconv.ParseBool) {
		return Keys{}
	}

	return Keys{
		Window:    ini.Optional(s, "window", defaultWindow, ini.Duration),
		Tolerance: ini.Optional(s, "tolerance", defaultTolerance, ini.Duration),
		Grant:     ini.Optional(s, "grant", defaultGrant, ini.Duration),
	}
}

func decodeLimits(s *ini.Section) Limits {
	return Limits{
		Header:        int(ini.Optional(s, "header", 0, ini.Size)),
		Body:          ini.Optional(s, "body", 0, ini.Size),
		HeaderTimeout: ini.Optional(s, "receive", 0, ini.Duration),
		IdleTimeout:   ini.Optional(s, "idle", 0, ini.Duration),
	}
}

func decodeRoute(s *ini.Section) Route {
	return Route{
		Name:   s.Names[0],
		Host:   ini.Required(s, "host", ini.Text),
		Prefix: ini.Required(s, "prefix", ini.Text),
		Parts:  ini.Required(s, "services", ini.List(parsePart)),
		Rule:   decodeSharedRule(s, s.Names[0]),
	}
}

// parsePart parses a service with an optional weight: "stockdesk" or "stockdesk:90". The default weight is 1.
func parsePart(text string) (Part, error) {
	name, weight, weighted := strings.Cut(text, ":")
	if !weighted {
		return Part{Service: name, Weight: 1}, nil
	}

	number, err := strconv.Atoi(weight)

	return Part{Service: name, Weight: number}, errors.Wrapf(err, "%q is not a service and its weight", text)
}

func formatPart(p Part) string { return p.Service + ":" + strconv.Itoa(p.Weight) }

func decodeService(s *ini.Section) Service {
	service := Service{
		Name:  s.Names[0],
		Hosts: ini.Optional(s, "hosts", nil, ini.List(ini.Text)),
		Budget: Budget{
			Probes: ini.Required(s, "probes", ini.Number),
			Bytes:  ini.Required(s, "bytes", ini.Size),
			Cross:  ini.Optional(s, "cross", 0, ini.Size),
			Spill:  ini.Optional(s, "spill", 0, ini.Size),
		},
		Retry: Retry{
			Share:    ini.Optional(s, "retries", defaultRetryShare, ini.Number),
			Attempts: ini.Optional(s, "attempts", defaultAttempts, ini.Integer),
		},
		Hedge: Hedge{
			Share:    ini.Optional(s, "hedges", 0, ini.Number),
			Quantile: ini.Optional(s, quantileKey, defaultQuantile, ini.Number),
			Delayed:  ini.Optional(s, delayedKey, 0, ini.Number),
			Work:     ini.Optional(s, workKey, 0, ini.Number),
		},
		Health:      ini.Optional(s, "health", "", ini.Text),
		Connections: ini.Optional(s, "connections", 0, ini.Integer),
		Cold: Cold{
			Time: ini.Optional(s, "warmup", 0, ini.Duration),
			Rate: ini.Optional(s, "cold", 0, ini.Number),
		},
	}

	return service
}

func decodeRule(s *ini.Section) Rule {
	rule := decodeSharedRule(s, s.Names[1])
	rule.Methods = ini.Optional(s, "methods", nil, ini.List(ini.Text))
	rule.Path = ini.Required(s, "path", ini.Text)

	return rule
}

// decodeSharedRule reads the keys that the rules of services and routes have in common.
func decodeSharedRule(s *ini.Section, name string) Rule {
	return Rule{
		Name:     name,
		Kind:     ini.Required(s, "kind", parseKind),
		Deadline: ini.Required(s, "deadline", ini.Duration),
		Target:   ini.Optional(s, "target", 0, ini.Duration),
		Attempts: ini.Optional(s, "attempts", 0, ini.Integer),
		Priority: ini.Optional(s, "priority", 0, ini.Integer),
		Body:     ini.Required(s, "body", ini.Size),
		Answer:   ini.Optional(s, "answer", 0, ini.Size),

		Anonymous: ini.Optional(s, "anonymous", false, strconv.ParseBool),
		Regions:   ini.Optional(s, "regions", nil, ini.List(ini.Name)),
		Hedge:     decodeHedgeOverride(s),
	}
}

func parseKind(text string) (Kind, error) {
	for _, kind := range []Kind{NonIdempotent, Idempotent} {
		if kind.String() == text {
			return kind, nil
		}
	}

	return NonIdempotent, errors.Newf("%q is none of %s, %s", text, Idempotent, NonIdempotent)
}

// Format returns the canonical INI form, in which defaults are written out. For a valid manifest whose services and
// routes are sorted by name, Parse returns an equal manifest.
func Format(m Manifest) []byte {
	var out bytes.Buffer

	fmt.Fprintf(&out, "[%s]\n", keysSection)

	if m.Keys == (Keys{}) {
		writeKey(&out, "used", strconv.FormatBool(false))
	} else {
		writeKey(&out, "window", m.Keys.Window.String())
		writeKey(&out, "tolerance", m.Keys.Tolerance.String())
		writeKey(&out, "grant", m.Keys.Grant.String())
	}

	if m.Limits != (Limits{}) {
		fmt.Fprintf(&out, "\n[%s]\n", limitsSection)
		writeKey(&out, "header", ini.FormatSize(int64(m.Limits.Header)))
		writeKey(&out, "body", ini.FormatSize(m.Limits.Body))
		writeKey(&out, "receive", m.Limits.HeaderTimeout.String())
		writeKey(&out, "idle", m.Limits.IdleTimeout.String())
	}

	for _, service := range m.Services {
		formatService(&out, service)
	}

	for _, route := range m.Routes {
		formatRoute(&out, route)
	}

	for _, tenant := range m.Tenants {
		formatTenant(&out, tenant)
	}

	return out.Bytes()
}

func formatRoute(out *bytes.Buffer, r Route) {
	parts := make([]string, len(r.Parts))
	for i, part := range r.Parts {
		parts[i] = formatPart(part)
	}

	fmt.Fprintf(out, "\n[%s]\n", routeSection(r.Name))
	writeKey(out, "host", r.Host)
	writeKey(out, "prefix", r.Prefix)
	writeKey(out, "services", strings.Join(parts, ", "))
	formatSharedRule(out, r.Rule)
}

func formatSharedRule(out *bytes.Buffer, rule Rule) {
	writeKey(out, "kind", rule.Kind.String())
	writeKey(out, "deadline", rule.Deadline.String())

	if rule.Target > 0 {
		writeKey(out, "target", rule.Target.String())
	}

	if rule.Attempts > 0 {
		writeKey(out, "attempts", strconv.Itoa(rule.Attempts))
	}

	if rule.Priority > 0 {
		writeKey(out, "priority", strconv.Itoa(rule.Priority))
	}

	writeKey(out, "body", ini.FormatSize(rule.Body))

	if rule.Answer > 0 {
		writeKey(out, "answer", ini.FormatSize(rule.Answer))
	}

	if rule.Anonymous {
		writeKey(out, "anonymous", strconv.FormatBool(true))
	}

	formatRegions(out, rule.Regions)
	formatHedgeOverride(out, rule.Hedge)
}

func formatRegions(out *bytes.Buffer, regions []string) {
	if len(regions) > 0 {
		writeKey(out, "regions", strings.Join(regions, ", "))
	}
}

func formatService(out *bytes.Buffer, s Service) {
	fmt.Fprintf(out, "\n[%s]\n", serviceSection(s.Name))

	if len(s.Hosts) > 0 {
		writeKey(out, "hosts", strings.Join(s.Hosts, ", "))
	}

	writeKey(out, "probes", formatNumber(s.Budget.Probes))
	writeKey(out, "bytes", ini.FormatSize(s.Budget.Bytes))
	writeKey(out, "cross", ini.FormatSize(s.Budget.Cross))
	writeKey(out, "spill", ini.FormatSize(s.Budget.Spill))
	writeKey(out, "retries", formatNumber(s.Retry.Share))
	writeKey(out, "attempts", strconv.Itoa(s.Retry.Attempts))
	writeKey(out, "hedges", formatNumber(s.Hedge.Share))
	writeKey(out, quantileKey, formatNumber(s.Hedge.Quantile))
	formatHedge(out, s.Hedge)

	if s.Health != "" {
		writeKey(out, "health", s.Health)
	}

	if s.Connections > 0 {
		writeKey(out, "connections", strconv.Itoa(s.Connections))
	}

	if s.Cold != (Cold{}) {
		writeKey(out, "warmup", s.Cold.Time.String())
		writeKey(out, "cold", formatNumber(s.Cold.Rate))
	}

	for _, rule := range s.Rules {
		fmt.Fprintf(out, "\n[%s]\n", ruleSection(s.Name, rule.Name))

		if len(rule.Methods) > 0 {
			writeKey(out, "methods", strings.Join(rule.Methods, ", "))
		}

		writeKey(out, "path", rule.Path)
		formatSharedRule(out, rule)
	}
}

func writeKey(out *bytes.Buffer, key, value string) { fmt.Fprintf(out, "%s = %s\n", key, value) }

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
