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

// MaxSize of a manifest in its INI form. The target of 120 services needs about a fifth of it.
const MaxSize = 1 << 20 // bytes

// Defaults of optional keys. What costs traffic on the link or repeats requests is off or small.
const (
	defaultRetries   = 0.2
	defaultAttempts  = 3
	defaultQuantile  = 0.95
	defaultWindow    = 10 * time.Minute
	defaultTolerance = 5 * time.Second
	defaultGrant     = 10 * time.Minute
)

// Kinds of sections.
const (
	keysSection = "keys"
	serviceKind = "service"
	ruleKind    = "rule"
)

func serviceSection(service string) string    { return serviceKind + " " + service }
func ruleSection(service, rule string) string { return ruleKind + " " + service + " " + rule }

// Parse reads the INI form and validates it; name is used in errors. Each fault has file, line,
// section and key. Services are sorted by name; the rules of a service keep their order.
func Parse(name string, data []byte) (Manifest, error) {
	if len(data) > MaxSize {
		return Manifest{}, errors.Newf("%s: manifest of %d bytes is larger than %d", name, len(data), MaxSize)
	}

	document := ini.Parse(name, data)
	m := Manifest{Keys: decodeKeys(document.Section(keysSection))}
	index := map[string]int{}

	for _, section := range document.SectionsOf(serviceKind, "SERVICE") {
		m.Services = append(m.Services, decodeService(section))
	}

	slices.SortFunc(m.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })

	for i, service := range m.Services {
		index[service.Name] = i
	}

	for _, section := range document.SectionsOf(ruleKind, "SERVICE", "RULE") {
		rule := decodeRule(section)

		i, found := index[section.Names[0]]
		if !found {
			document.Fail(ruleSection(section.Names[0], section.Names[1]), "", "there is no section ["+serviceSection(section.Names[0])+"]")

			continue
		}

		m.Services[i].Rules = append(m.Services[i].Rules, rule)
	}

	// Values that did not parse are zero and would only add consequential errors.
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
	return Keys{
		Window:    ini.Optional(s, "window", defaultWindow, ini.Duration),
		Tolerance: ini.Optional(s, "tolerance", defaultTolerance, ini.Duration),
		Grant:     ini.Optional(s, "grant", defaultGrant, ini.Duration),
	}
}

func decodeService(s *ini.Section) Service {
	service := Service{
		Name:  s.Names[0],
		Hosts: ini.Required(s, "hosts", ini.List(ini.Text)),
		Budget: Budget{
			Probes: ini.Required(s, "probes", ini.Number),
			Bytes:  ini.Required(s, "bytes", ini.Size),
			Cross:  ini.Optional(s, "cross", 0, ini.Size),
			Spill:  ini.Optional(s, "spill", 0, ini.Size),
		},
		Retry: Retry{
			Share:    ini.Optional(s, "retries", defaultRetries, ini.Number),
			Attempts: ini.Optional(s, "attempts", defaultAttempts, ini.Whole),
		},
		Hedge: Hedge{
			Share:    ini.Optional(s, "hedges", 0, ini.Number),
			Quantile: ini.Optional(s, "quantile", defaultQuantile, ini.Number),
		},
	}

	return service
}

func decodeRule(s *ini.Section) Rule {
	return Rule{
		Name:     s.Names[1],
		Methods:  ini.Optional(s, "methods", nil, ini.List(ini.Text)),
		Path:     ini.Required(s, "path", ini.Text),
		Kind:     ini.Required(s, "kind", parseKind),
		Deadline: ini.Required(s, "deadline", ini.Duration),
		Body:     ini.Required(s, "body", ini.Size),
		Answer:   ini.Optional(s, "answer", 0, ini.Size),
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

// Format writes the INI form with every value stated. Parse returns an equal manifest if the given
// one is valid and its services are sorted by name.
func Format(m Manifest) []byte {
	var out bytes.Buffer

	fmt.Fprintf(&out, "[%s]\n", keysSection)
	line(&out, "window", m.Keys.Window.String())
	line(&out, "tolerance", m.Keys.Tolerance.String())
	line(&out, "grant", m.Keys.Grant.String())

	for _, service := range m.Services {
		formatService(&out, service)
	}

	return out.Bytes()
}

func formatService(out *bytes.Buffer, s Service) {
	fmt.Fprintf(out, "\n[%s]\n", serviceSection(s.Name))
	line(out, "hosts", strings.Join(s.Hosts, ", "))
	line(out, "probes", number(s.Budget.Probes))
	line(out, "bytes", ini.FormatSize(s.Budget.Bytes))
	line(out, "cross", ini.FormatSize(s.Budget.Cross))
	line(out, "spill", ini.FormatSize(s.Budget.Spill))
	line(out, "retries", number(s.Retry.Share))
	line(out, "attempts", strconv.Itoa(s.Retry.Attempts))
	line(out, "hedges", number(s.Hedge.Share))
	line(out, "quantile", number(s.Hedge.Quantile))

	for _, rule := range s.Rules {
		fmt.Fprintf(out, "\n[%s]\n", ruleSection(s.Name, rule.Name))

		if len(rule.Methods) > 0 {
			line(out, "methods", strings.Join(rule.Methods, ", "))
		}

		line(out, "path", rule.Path)
		line(out, "kind", rule.Kind.String())
		line(out, "deadline", rule.Deadline.String())
		line(out, "body", ini.FormatSize(rule.Body))

		if rule.Answer > 0 {
			line(out, "answer", ini.FormatSize(rule.Answer))
		}
	}
}

func line(out *bytes.Buffer, key, value string) { fmt.Fprintf(out, "%s = %s\n", key, value) }

func number(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
