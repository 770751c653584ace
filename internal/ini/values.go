package ini

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Required returns the value of a key. If the key is missing or empty or cannot be parsed, it adds an error to the
// document and returns the zero value.
func Required[T any](s *Section, key string, parse func(string) (T, error)) T {
	var zero T

	if s.missing {
		s.reportMissing()

		return zero
	}

	e := s.findEntry(key)
	if e == nil {
		s.document.addFault(s.line, s.header, key, "key is missing")

		return zero
	}

	return parseEntry(s, e, zero, parse)
}

// Optional returns the value of a key, or the fallback if the key is missing. If the key is empty or cannot be
// parsed, it adds an error to the document and returns the fallback.
func Optional[T any](s *Section, key string, fallback T, parse func(string) (T, error)) T {
	e := s.findEntry(key)
	if e == nil {
		return fallback
	}

	return parseEntry(s, e, fallback, parse)
}

func parseEntry[T any](s *Section, e *entry, fallback T, parse func(string) (T, error)) T {
	e.requested = true

	if e.value == "" {
		s.document.addFault(e.line, s.header, e.key, "value is missing")

		return fallback
	}

	value, err := parse(e.value)
	if err != nil {
		s.document.addFault(e.line, s.header, e.key, err.Error())

		return fallback
	}

	return value
}

// reportMissing adds an error for a missing section, once and not for each of its keys.
func (s *Section) reportMissing() {
	for _, fault := range s.document.faults {
		if fault.Section == s.header && fault.Key == "" {
			return
		}
	}

	s.document.addFault(s.line, s.header, "", "section is missing")
}

// Text accepts any text.
func Text(text string) (string, error) { return text, nil }

// Name accepts names of services, rules, instances, regions and failure domains: up to 63 lower-case letters, digits,
// hyphens and dots that begin with a letter or digit.
func Name(text string) (string, error) {
	if !IsName(text) {
		return "", errors.Newf("%q is not a name of lower-case letters, digits, hyphens and dots", text)
	}

	return text, nil
}

// maxNameLength is the maximum length of a DNS label in bytes; names of instances usually are such labels.
const maxNameLength = 63

// IsName reports whether Name accepts the text.
func IsName(text string) bool {
	if text == "" || len(text) > maxNameLength || text[0] == '-' || text[0] == '.' {
		return false
	}

	return !strings.ContainsFunc(text, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '.'
	})
}

// Integer parses a decimal integer.
func Integer(text string) (int, error) {
	value, err := strconv.Atoi(text)
	if err != nil {
		return 0, errors.Newf("%q is not a whole number", text)
	}

	return value, nil
}

// Number parses a number in the syntax of strconv.ParseFloat, which includes NaN and infinities.
func Number(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errors.Newf("%q is not a number", text)
	}

	return value, nil
}

// Duration parses a duration in the syntax of time.ParseDuration.
func Duration(text string) (time.Duration, error) {
	value, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Newf("%q is not a duration such as 250ms or 10m", text)
	}

	return value, nil
}

// units are ordered from large to small, so that FormatSize finds the largest one first.
var units = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}}

// Size parses a number of bytes with an optional unit: KiB, MiB or GiB.
func Size(text string) (int64, error) {
	digits, factor := text, int64(1)
	for _, unit := range units {
		if rest, found := strings.CutSuffix(text, unit.suffix); found {
			digits, factor = strings.TrimSpace(rest), unit.bytes
		}
	}

	value, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || value*factor/factor != value {
		return 0, errors.Newf("%q is not a size such as 512, 64KiB or 10MiB", text)
	}

	return value * factor, nil
}

// FormatSize formats a number of bytes with the largest unit that represents it exactly.
func FormatSize(size int64) string {
	for _, unit := range units {
		if size != 0 && size%unit.bytes == 0 {
			return strconv.FormatInt(size/unit.bytes, 10) + unit.suffix
		}
	}

	return strconv.FormatInt(size, 10)
}

// Address parses an IP address with a port. It rejects host names, so that daemons do not depend on a resolver.
func Address(text string) (netip.AddrPort, error) {
	value, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, errors.Newf("%q is not an IP address with a port such as 127.0.0.1:8080", text)
	}

	return value, nil
}

// URL parses an absolute http or https URL and returns it without a trailing slash.
func URL(text string) (string, error) {
	value, err := url.Parse(text)
	if err != nil || (value.Scheme != "http" && value.Scheme != "https") || value.Host == "" ||
		value.RawQuery != "" || value.Fragment != "" {
		return "", errors.Newf("%q is not a base URL such as http://127.0.0.1:9000", text)
	}

	return strings.TrimSuffix(text, "/"), nil
}

// OneOf returns a parser that accepts the listed words.
func OneOf(words ...string) func(string) (string, error) {
	return func(text string) (string, error) {
		for _, word := range words {
			if text == word {
				return text, nil
			}
		}

		return "", errors.Newf("%q is none of %s", text, strings.Join(words, ", "))
	}
}

// List returns a parser for comma-separated items.
func List[T any](parse func(string) (T, error)) func(string) ([]T, error) {
	return func(text string) ([]T, error) {
		var items []T

		for index, part := range strings.Split(text, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				return nil, errors.Newf("item %d of the list is empty", index+1)
			}

			item, err := parse(part)
			if err != nil {
				return nil, err
			}

			items = append(items, item)
		}

		return items, nil
	}
}

// Range returns a parser that also checks bounds, both inclusive.
func Range[T int | int64 | float64 | time.Duration](parse func(string) (T, error), low, high T) func(string) (T, error) {
	return func(text string) (T, error) {
		value, err := parse(text)
		if err != nil {
			return value, err
		}

		if problem := OutOfRange(value, low, high); problem != "" {
			return value, errors.New(problem)
		}

		return value, nil
	}
}

// OutOfRange returns a message if a value is not within the bounds, both inclusive, or is NaN; otherwise it returns "".
func OutOfRange[T int | int64 | float64 | time.Duration](value, low, high T) string {
	if value >= low && value <= high {
		return ""
	}

	return fmt.Sprintf("%v is out of range, allowed are %v to %v", value, low, high)
}
