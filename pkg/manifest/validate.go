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
	// MaxDeadline bounds Rule.Deadline, Rule.Target, Cold.Time and Limits.HeaderTimeout.
	MaxDeadline = 10 * time.Minute
	// MaxBody bounds request bodies, in bytes. The daemon that receives a request holds its body in memory.
	MaxBody = 64 << 20
	// MaxAnswer bounds response bodies, in bytes. They are streamed, not held in memory.
	MaxAnswer = 1 << 40
	// MaxProbes bounds Budget.Probes, in probes per second.
	MaxProbes = 10_000
	// MaxBytes bounds the byte rates of a Budget, in bytes per second.
	MaxBytes = 1 << 40
	// MaxAttempts bounds Rule.Attempts and Retry.Attempts. More would multiply the load while servers fail.
	MaxAttempts = 8
	// MaxConnections bounds the connections to one backend server.
	MaxConnections = 100_000
	// MinQuantile and MaxQuantile bound Hedge.Quantile.
	MinQuantile = 0.5
	MaxQuantile = 0.999

	// MinWindow and MaxWindow bound Keys.Window.
	MinWindow = time.Second
	MaxWindow = 24 * time.Hour
	// MaxTolerance bounds Keys.Tolerance.
	MaxTolerance = time.Minute
	// MinGrant and MaxGrant bound Keys.Grant. The minimum keeps the rate of grant records within what the log service
	// accepts.
	MinGrant = time.Minute
	MaxGrant = time.Hour
	// MaxHeader bounds Limits.Header, in bytes.
	MaxHeader = 1 << 20
	// MaxIdle bounds Limits.IdleTimeout.
	MaxIdle = time.Hour
)

// Problem is an error in a manifest.
type Problem struct {
	// Section is the section header in the INI form, such as "rule stockdesk orders"; empty if the problem concerns the
	// whole manifest.
	Section string
	// Key is empty if the problem concerns the whole section.
	Key     string
	Message string
}

// Error returns "[section] key: message", without the parts that are empty.
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

// Validate returns all errors in the manifest as joined Problem values; nil if the manifest is valid.
func (m Manifest) Validate() error {
	_, err := m.compile()

	return err
}

// compile returns a matcher, and the error of Validate.
func (m Manifest) compile() (Matcher, error) {
	matcher, problems := m.check()
	faults := make([]error, 0, len(problems))

	for _, problem := range problems {
		faults = append(faults, problem)
	}

	return matcher, errors.Join(faults...)
}

// checker collects the problems of a manifest.
type checker struct {
	// section is the header of the section being checked.
	section  string
	problems []Problem
}

func (c *checker) addProblem(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Section: c.section, Key: key, Message: fmt.Sprintf(format, args...)})
}

func checkRange[T int | int64 | float64 | time.Duration](c *checker, key string, value, low, high T) {
	if message := ini.OutOfRange(value, low, high); message != "" {
		c.addProblem(key, "%s", message)
	}
}

func (m Manifest) check() (Matcher, []Problem) {
	c := &checker{}
	// Without a service, daemons would refuse every request. Most likely, the build pipeline failed.
	if len(m.Services) == 0 {
		c.addProblem("", "manifest has no service")
	}

	c.checkKeys(m.Keys)
	c.checkCallerLimits(m.Limits)

	services := map[string]bool{}
	hosts := map[string]*compiledService{}

	for _, service := range m.Services {
		c.section = serviceSection(service.Name)
		if !ini.IsName(service.Name) {
			c.addProblem("", "%q is not a name of lower-case letters, digits, hyphens and dots", service.Name)
		}
		if services[service.Name] {
			c.addProblem("", "service is declared twice")
		}

		services[service.Name] = true

		c.checkServiceLimits(service)

		// A service that receives requests only through routes has neither hosts nor rules. At times, no route names it.
		if len(service.Hosts) == 0 && len(service.Rules) == 0 && len(m.Routes) > 0 {
			continue
		}

		entry := &compiledService{name: service.Name, mux: http.NewServeMux()}
		c.checkHosts(service, entry, hosts)
		c.checkRules(service, entry.mux)
	}

	matcher := Matcher{hosts: hosts, routes: c.compileRoutes(m), tenants: c.checkTenants(m.Tenants)}
	matcher.keyed = len(m.Tenants) > 0

	return matcher, c.problems
}

func (c *checker) checkKeys(keys Keys) {
	if keys == (Keys{}) {
		return
	}

	c.section = keysSection
	checkRange(c, "window", keys.Window, MinWindow, MaxWindow)
	checkRange(c, "tolerance", keys.Tolerance, 0, MaxTolerance)
	checkRange(c, "grant", keys.Grant, MinGrant, MaxGrant)
}

func (c *checker) checkCallerLimits(limits Limits) {
	c.section = limitsSection
	checkRange(c, "header", limits.Header, 0, MaxHeader)
	checkRange(c, "body", limits.Body, 0, MaxBody)
	checkRange(c, "receive", limits.HeaderTimeout, 0, MaxDeadline)
	checkRange(c, "idle", limits.IdleTimeout, 0, MaxIdle)
}

func validHost(host string) bool {
	return host != "" && canonicalHost(host) == host && !strings.ContainsFunc(host, isForbiddenInHost)
}

func (c *checker) checkHosts(service Service, entry *compiledService, hosts map[string]*compiledService) {
	if len(service.Hosts) == 0 {
		c.addProblem("hosts", "service has no host")
	}

	for _, host := range service.Hosts {
		if !validHost(host) {
			c.addProblem("hosts", "%q is not a lower-case host without port", host)
		}
		if other, found := hosts[host]; found {
			c.addProblem("hosts", "host %q already names service %s", host, other.name)
		}

		hosts[host] = entry
	}
}

func isForbiddenInHost(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && !strings.ContainsRune("-._:", r)
}

func (c *checker) checkServiceLimits(s Service) {
	checkRange(c, "probes", s.Budget.Probes, 0, MaxProbes)
	checkRange(c, "bytes", s.Budget.Bytes, 0, MaxBytes)
	checkRange(c, "cross", s.Budget.Cross, 0, MaxBytes)
	checkRange(c, "spill", s.Budget.Spill, 0, MaxBytes)

	if s.Budget.Cross > s.Budget.Bytes {
		c.addProblem("cross", "%d is more than the key bytes, which includes it", s.Budget.Cross)
	}

	checkRange(c, "retries", s.Retry.Share, 0, 1)
	checkRange(c, "attempts", s.Retry.Attempts, 1, MaxAttempts)
	checkRange(c, "connections", s.Connections, 0, MaxConnections)
	checkRange(c, "warmup", s.Cold.Time, 0, MaxDeadline)
	checkRange(c, "cold", s.Cold.Rate, 0, MaxRate)
	c.checkHedge(s.Hedge)
}

// checkRules checks the rules of a service and registers the valid ones.
func (c *checker) checkRules(service Service, mux *http.ServeMux) {
	if len(service.Rules) == 0 {
		c.addProblem("", "service has no rule")
	}

	names := map[string]bool{}

	for index, rule := range service.Rules {
		c.section = ruleSection(service.Name, rule.Name)
		if !ini.IsName(rule.Name) {
			c.addProblem("", "%q is not a name of lower-case letters, digits, hyphens and dots", rule.Name)
		}
		if names[rule.Name] {
			c.addProblem("", "rule is declared twice")
		}

		names[rule.Name] = true

		c.checkRule(rule)

		if !c.checkMethods(rule) || !c.checkPath(rule) {
			continue
		}
		if register(mux, rule) != nil {
			c.addProblem("path", "%s", patternProblem(service.Rules[:index], rule))
		}
	}
}

// checkRule checks the keys that the rules of services and routes have in common.
func (c *checker) checkRule(rule Rule) {
	checkRange(c, "deadline", rule.Deadline, time.Millisecond, MaxDeadline)
	checkRange(c, "target", rule.Target, 0, MaxDeadline)
	checkRange(c, "attempts", rule.Attempts, 0, MaxAttempts)
	checkRange(c, "priority", rule.Priority, 0, MaxPriority)
	checkRange(c, "body", rule.Body, 0, MaxBody)
	checkRange(c, "answer", rule.Answer, 0, MaxAnswer)
	c.checkRegions(rule.Regions)
	c.checkHedgeOverride(rule.Hedge)

	if rule.Kind > Idempotent {
		c.addProblem("kind", "kind %d is unknown", rule.Kind)
	}
}

func (c *checker) checkMethods(rule Rule) bool {
	seen := map[string]bool{}

	for _, method := range rule.Methods {
		isUpper := method != "" && !strings.ContainsFunc(method, func(r rune) bool { return r < 'A' || r > 'Z' })
		if !isUpper || method == http.MethodConnect {
			c.addProblem("methods", "%q is not a method in capital letters, or is CONNECT", method)

			return false
		}
		if seen[method] {
			c.addProblem("methods", "method %s is listed twice", method)

			return false
		}

		seen[method] = true
	}

	return true
}

func (c *checker) checkPath(rule Rule) bool {
	if !strings.HasPrefix(rule.Path, "/") {
		c.addProblem("path", "%q does not begin with a slash", rule.Path)

		return false
	}
	// Some of these characters cannot be written in the INI form; the others never occur in an escaped path.
	if strings.ContainsFunc(rule.Path, func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"'`?#;", r) }) {
		c.addProblem("path", "%q contains a space, quote, control character, or one of ? # ;", rule.Path)

		return false
	}
	// http.ServeMux rejects such a path only if the pattern has a method.
	if strings.Contains(rule.Path, "//") || strings.Contains(rule.Path+"/", "/./") || strings.Contains(rule.Path+"/", "/../") {
		c.addProblem("path", "%q can never match, because paths with //, . or .. are not matched", rule.Path)

		return false
	}

	return true
}

// patternProblem returns the reason why a rule could not be registered. It doesn't use the message of net/http for a
// conflict, because that contains source positions of this package.
func patternProblem(earlier []Rule, rule Rule) string {
	// Without a method in the pattern, the offset in the error message counts from the start of the path.
	if err := register(http.NewServeMux(), Rule{Path: rule.Path}); err != nil {
		return "bad pattern: " + trimPattern(err)
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

// trimPattern returns the message of a net/http error about a pattern without the quoted pattern in front.
func trimPattern(err error) string {
	text := err.Error()
	if _, rest, found := strings.Cut(text, "\": "); found {
		return rest
	}

	return text
}

// register adds a pattern to the mux for each method of a rule. It returns an error where http.ServeMux panics: if a
// pattern is invalid or conflicts with an earlier one.
func register(mux *http.ServeMux, rule Rule) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = errors.Newf("%v", recovered)
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

// ruleHandler attaches a rule to a pattern of http.ServeMux. It never serves a request.
type ruleHandler struct{ rule Rule }

// ServeHTTP implements http.Handler.
func (ruleHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNotImplemented)
}
