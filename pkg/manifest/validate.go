package manifest

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/ini"
)

// Bounds of values in a manifest, all inclusive.
const (
	MaxDeadline = 10 * time.Minute
	// MaxBody bounds request bodies because an entry daemon holds them in memory.
	MaxBody = 64 << 20 // bytes
	// MaxAnswer bounds responses; they are streamed.
	MaxAnswer = 1 << 40 // bytes
	// MaxProbes per second and service.
	MaxProbes = 10_000
	// MaxBytes per second of any budget.
	MaxBytes = 1 << 40
	// MaxAttempts for one request; more would multiply load while servers fail.
	MaxAttempts = 8
	// MaxConnections to one backend server.
	MaxConnections = 100_000
	MinQuantile    = 0.5
	MaxQuantile    = 0.999

	MinWindow    = time.Second
	MaxWindow    = 24 * time.Hour
	MaxTolerance = time.Minute
	// MinGrant keeps the number of grant records within what the log service accepts.
	MinGrant = time.Minute
	MaxGrant = time.Hour
	// MaxHeader bounds the head of a request in bytes.
	MaxHeader = 1 << 20
	// MaxIdle bounds how long an unused connection of a caller is kept.
	MaxIdle = time.Hour
)

// Problem is a fault in a manifest.
type Problem struct {
	// Section is the header in the INI form, such as "rule stockdesk orders"; empty for the whole.
	Section string
	Key     string
	Message string
}

// Error implements error.
func (p Problem) Error() string {
	if p.Section == "" {
		return p.Message
	}

	place := "[" + p.Section + "] "
	if p.Key != "" {
		place += p.Key + ": "
	}

	return place + p.Message
}

// Validate returns all faults, each a Problem, joined; nil if the manifest can be put in force.
func (m Manifest) Validate() error {
	_, err := m.compile()

	return err
}

// compile returns what requests are matched with, and all faults as an error.
func (m Manifest) compile() (Matcher, error) {
	matcher, problems := m.check()
	faults := make([]error, 0, len(problems))

	for _, problem := range problems {
		faults = append(faults, problem)
	}

	return matcher, errors.Join(faults...)
}

// checker collects problems of one section at a time.
type checker struct {
	section  string
	problems []Problem
}

func (c *checker) fail(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Section: c.section, Key: key, Message: fmt.Sprintf(format, args...)})
}

func within[T int | int64 | float64 | time.Duration](c *checker, key string, value, low, high T) {
	if message := ini.OutOfRange(value, low, high); message != "" {
		c.fail(key, "%s", message)
	}
}

func (m Manifest) check() (Matcher, []Problem) {
	c := &checker{}
	// Such a manifest would refuse every request; it most likely comes from a fault in the pipeline.
	if len(m.Services) == 0 {
		c.fail("", "manifest has no service")
	}

	c.checkKeys(m.Keys)
	c.checkCallerLimits(m.Limits)

	services := map[string]bool{}
	hosts := map[string]*compiled{}

	for _, service := range m.Services {
		c.section = serviceSection(service.Name)
		if !ini.IsName(service.Name) {
			c.fail("", "%q is not a name of lower-case letters, digits, hyphens and dots", service.Name)
		}
		if services[service.Name] {
			c.fail("", "service is declared twice")
		}

		services[service.Name] = true

		c.checkLimits(service)

		// A service that only routes lead to has neither hosts nor rules.
		if len(service.Hosts) == 0 && len(service.Rules) == 0 && m.isRouted(service.Name) {
			continue
		}

		entry := &compiled{name: service.Name, mux: http.NewServeMux()}
		c.checkHosts(service, entry, hosts)
		c.checkRules(service, entry.mux)
	}

	return Matcher{hosts: hosts, routes: c.compileRoutes(m)}, c.problems
}

func (m Manifest) isRouted(service string) bool {
	return slices.ContainsFunc(m.Routes, func(r Route) bool {
		return slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Service == service })
	})
}

func (c *checker) checkKeys(keys Keys) {
	if keys == (Keys{}) {
		return
	}

	c.section = keysSection
	within(c, "window", keys.Window, MinWindow, MaxWindow)
	within(c, "tolerance", keys.Tolerance, 0, MaxTolerance)
	within(c, "grant", keys.Grant, MinGrant, MaxGrant)
}

func (c *checker) checkCallerLimits(limits Limits) {
	c.section = limitsSection
	within(c, "header", limits.Header, 0, MaxHeader)
	within(c, "body", limits.Body, 0, MaxBody)
	within(c, "receive", limits.HeaderTimeout, 0, MaxDeadline)
	within(c, "idle", limits.IdleTimeout, 0, MaxIdle)
}

func validHost(host string) bool {
	return host != "" && canonicalHost(host) == host && !strings.ContainsFunc(host, isForbiddenInHost)
}

func (c *checker) checkHosts(service Service, entry *compiled, hosts map[string]*compiled) {
	if len(service.Hosts) == 0 {
		c.fail("hosts", "service has no host")
	}

	for _, host := range service.Hosts {
		if !validHost(host) {
			c.fail("hosts", "%q is not a lower-case host without port", host)
		}
		if other, found := hosts[host]; found {
			c.fail("hosts", "host %q already names service %s", host, other.name)
		}

		hosts[host] = entry
	}
}

func isForbiddenInHost(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && !strings.ContainsRune("-._:", r)
}

func (c *checker) checkLimits(s Service) {
	within(c, "probes", s.Budget.Probes, 0, MaxProbes)
	within(c, "bytes", s.Budget.Bytes, 0, MaxBytes)
	within(c, "cross", s.Budget.Cross, 0, MaxBytes)
	within(c, "spill", s.Budget.Spill, 0, MaxBytes)

	if s.Budget.Cross > s.Budget.Bytes {
		c.fail("cross", "%d is more than bytes, of which it is a part", s.Budget.Cross)
	}

	within(c, "retries", s.Retry.Share, 0, 1)
	within(c, "attempts", s.Retry.Attempts, 1, MaxAttempts)
	within(c, "connections", s.Connections, 0, MaxConnections)
	within(c, "hedges", s.Hedge.Share, 0, 1)

	if s.Hedge.Share > 0 || s.Hedge.Quantile != 0 {
		within(c, "quantile", s.Hedge.Quantile, MinQuantile, MaxQuantile)
	}
}

// checkRules registers the rules that it finds right.
func (c *checker) checkRules(service Service, mux *http.ServeMux) {
	if len(service.Rules) == 0 {
		c.fail("", "service has no rule")
	}

	names := map[string]bool{}

	for index, rule := range service.Rules {
		c.section = ruleSection(service.Name, rule.Name)
		if !ini.IsName(rule.Name) {
			c.fail("", "%q is not a name of lower-case letters, digits, hyphens and dots", rule.Name)
		}
		if names[rule.Name] {
			c.fail("", "rule is declared twice")
		}

		names[rule.Name] = true

		c.checkRule(rule)

		if !c.checkMethods(rule) || !c.checkPath(rule) {
			continue
		}
		if register(mux, rule) != nil {
			c.fail("path", "%s", explain(service.Rules[:index], rule))
		}
	}
}

// checkRule checks what the rules of services and routes have in common.
func (c *checker) checkRule(rule Rule) {
	within(c, "deadline", rule.Deadline, time.Millisecond, MaxDeadline)
	within(c, "target", rule.Target, 0, MaxDeadline)
	within(c, "attempts", rule.Attempts, 0, MaxAttempts)
	within(c, "priority", rule.Priority, 0, MaxPriority)
	within(c, "body", rule.Body, 0, MaxBody)
	within(c, "answer", rule.Answer, 0, MaxAnswer)

	if rule.Kind > Idempotent {
		c.fail("kind", "kind %d is unknown", rule.Kind)
	}
}

func (c *checker) checkMethods(rule Rule) bool {
	seen := map[string]bool{}

	for _, method := range rule.Methods {
		isUpper := method != "" && !strings.ContainsFunc(method, func(r rune) bool { return r < 'A' || r > 'Z' })
		if !isUpper || method == http.MethodConnect {
			c.fail("methods", "%q is not a method in capital letters, or is CONNECT", method)

			return false
		}
		if seen[method] {
			c.fail("methods", "method %s is listed twice", method)

			return false
		}

		seen[method] = true
	}

	return true
}

func (c *checker) checkPath(rule Rule) bool {
	if !strings.HasPrefix(rule.Path, "/") {
		c.fail("path", "%q does not begin with a slash", rule.Path)

		return false
	}
	// These would not survive the INI form, or never match an escaped path.
	if strings.ContainsFunc(rule.Path, func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"'`?#;", r) }) {
		c.fail("path", "%q contains a space, quote, control character, or one of ? # ;", rule.Path)

		return false
	}
	// http.ServeMux itself refuses such paths only together with a method.
	if strings.Contains(rule.Path, "//") || strings.Contains(rule.Path+"/", "/./") || strings.Contains(rule.Path+"/", "/../") {
		c.fail("path", "%q can never match, because paths with //, . or .. are not matched", rule.Path)

		return false
	}

	return true
}

// explain says why a rule could not be registered. The text of net/http for a conflict is not used
// because it contains the position of the call in this source.
func explain(earlier []Rule, rule Rule) string {
	// Without a method, the offset in the text is that in the path.
	if err := register(http.NewServeMux(), Rule{Path: rule.Path}); err != nil {
		return "bad pattern: " + reason(err)
	}

	for _, other := range earlier {
		mux := http.NewServeMux()
		if register(mux, other) == nil && register(mux, rule) != nil {
			return fmt.Sprintf("pattern %q conflicts with %q of rule %s: some requests match both and neither is more specific",
				rule.Path, other.Path, other.Name)
		}
	}

	return "pattern conflicts with an earlier rule"
}

// reason strips the quoted pattern from an error of net/http about a pattern.
func reason(err error) string {
	text := err.Error()
	if _, rest, found := strings.Cut(text, "\": "); found {
		return rest
	}

	return text
}

// register adds a rule for each of its methods. http.ServeMux panics on a pattern that is wrong or
// conflicts with an earlier one.
func register(mux *http.ServeMux, rule Rule) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = errors.Newf("%v", fault)
		}
	}()

	if len(rule.Methods) == 0 {
		mux.Handle(rule.Path, ruleHandler{rule: rule})
	}
	for _, method := range rule.Methods {
		mux.Handle(method+" "+rule.Path, ruleHandler{rule: rule})
	}

	return nil
}

// ruleHandler carries a rule through http.ServeMux; it never serves a request.
type ruleHandler struct{ rule Rule }

// ServeHTTP implements http.Handler.
func (ruleHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNotImplemented)
}
