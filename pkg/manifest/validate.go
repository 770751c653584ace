package manifest

import (
	"fmt"
	"net/http"
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
	MinQuantile = 0.5
	MaxQuantile = 0.999

	MinWindow    = time.Second
	MaxWindow    = 24 * time.Hour
	MaxTolerance = time.Minute
	// MinGrant keeps the number of grant records within what the log service accepts.
	MinGrant = time.Minute
	MaxGrant = time.Hour
)

// Problem is a fault in a manifest.
type Problem struct {
	// Section is the header in the INI form, such as "rule stockdesk orders".
	Section string
	Key     string
	Message string
}

// Error implements error.
func (p Problem) Error() string {
	place := "[" + p.Section + "] "
	if p.Key != "" {
		place += p.Key + ": "
	}

	return place + p.Message
}

// Validate returns all faults, each a Problem, joined; nil if the manifest can be put in force.
func (m Manifest) Validate() error {
	problems := m.problems()
	faults := make([]error, 0, len(problems))

	for _, problem := range problems {
		faults = append(faults, problem)
	}

	return errors.Join(faults...)
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

func (m Manifest) problems() []Problem {
	c := &checker{section: keysSection}
	within(c, "window", m.Keys.Window, MinWindow, MaxWindow)
	within(c, "tolerance", m.Keys.Tolerance, 0, MaxTolerance)
	within(c, "grant", m.Keys.Grant, MinGrant, MaxGrant)

	services := map[string]bool{}
	hosts := map[string]string{}

	for _, service := range m.Services {
		c.section = serviceSection(service.Name)
		if !ini.IsName(service.Name) {
			c.fail("", "%q is not a name of lower-case letters, digits, hyphens and dots", service.Name)
		}
		if services[service.Name] {
			c.fail("", "service is declared twice")
		}

		services[service.Name] = true

		c.checkHosts(service, hosts)
		c.checkLimits(service)
		c.checkRules(service)
	}

	return c.problems
}

func (c *checker) checkHosts(service Service, hosts map[string]string) {
	if len(service.Hosts) == 0 {
		c.fail("hosts", "service has no host")
	}

	for _, host := range service.Hosts {
		if host == "" || canonicalHost(host) != host || strings.ContainsFunc(host, isForbiddenInHost) {
			c.fail("hosts", "%q is not a lower-case host without port", host)
		}
		if other, found := hosts[host]; found {
			c.fail("hosts", "host %q already names service %s", host, other)
		}

		hosts[host] = service.Name
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
	within(c, "hedges", s.Hedge.Share, 0, 1)

	if s.Hedge.Share > 0 || s.Hedge.Quantile != 0 {
		within(c, "quantile", s.Hedge.Quantile, MinQuantile, MaxQuantile)
	}
}

func (c *checker) checkRules(service Service) {
	if len(service.Rules) == 0 {
		c.fail("", "service has no rule")
	}

	names := map[string]bool{}
	mux := http.NewServeMux()

	for index, rule := range service.Rules {
		c.section = ruleSection(service.Name, rule.Name)
		if !ini.IsName(rule.Name) {
			c.fail("", "%q is not a name of lower-case letters, digits, hyphens and dots", rule.Name)
		}
		if names[rule.Name] {
			c.fail("", "rule is declared twice")
		}

		names[rule.Name] = true

		within(c, "deadline", rule.Deadline, time.Millisecond, MaxDeadline)
		within(c, "body", rule.Body, 0, MaxBody)
		within(c, "answer", rule.Answer, 0, MaxAnswer)

		if rule.Kind > Idempotent {
			c.fail("kind", "kind %d is unknown", rule.Kind)
		}
		if !c.checkMethods(rule) || !c.checkPath(rule) {
			continue
		}
		if register(mux, rule) != nil {
			c.fail("path", "%s", conflict(service.Rules[:index], rule))
		}
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
	// With a method, http.ServeMux also refuses paths that can never match, such as "/a//b".
	rule.Methods = []string{http.MethodGet}
	if err := register(http.NewServeMux(), rule); err != nil {
		c.fail("path", "%s", reason(err))

		return false
	}

	return true
}

// conflict names the earlier rule that a rule conflicts with. The text of net/http is not used
// because it contains the position of the call in this source.
func conflict(earlier []Rule, rule Rule) string {
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
		text = rest
	}

	return "bad pattern: " + text
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
