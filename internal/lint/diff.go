package lint

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Diff describes what differs between two valid manifests, one line for each difference. It compares values, so neither
// the order of entries nor a default that is written out is a difference. API keys are named by the first digits of
// their digests.
func Diff(before, after manifest.Manifest) []string {
	old, changed := sectionsOf(before), sectionsOf(after)

	var lines []string

	for _, header := range sortedKeys(old, changed) {
		was, existed := old[header]
		is, exists := changed[header]

		switch {
		case !exists:
			lines = append(lines, "["+header+"] removed")
		case !existed:
			lines = append(lines, "["+header+"] added: "+summary(is))
		default:
			lines = append(lines, diffSection(header, was, is)...)
		}
	}

	return lines
}

// section holds the values of a section by key.
type section map[string]string

// sectionsOf returns the sections of the canonical form by header.
func sectionsOf(m manifest.Manifest) map[string]section {
	sections := make(map[string]section)

	var current section

	for line := range bytes.Lines(manifest.Format(m)) {
		text := strings.TrimSpace(string(line))

		if header, found := strings.CutPrefix(text, "["); found {
			current = make(section)
			sections[strings.TrimSuffix(header, "]")] = current
		} else if key, value, found := strings.Cut(text, " = "); found {
			current[key] = canonical(key, value)
		}
	}

	return sections
}

// canonical sorts the lists in which the order means nothing, and shortens the digests of API keys.
func canonical(key, value string) string {
	switch key {
	case "hosts", "methods", "regions", "services", keysKey:
	default:
		return value
	}

	items := strings.Split(value, ", ")
	slices.Sort(items)

	if key != keysKey {
		return strings.Join(items, ", ")
	}

	return strings.Join(items, " ")
}

const (
	// keysKey is the key with the digests of a tenant's API keys.
	keysKey = "keys"
	// digestDigits is the number of digits by which a digest is named.
	digestDigits = 8
)

func shorten(digest string) string { return digest[:min(digestDigits, len(digest))] + "…" }

// summary lists the values of a new section.
func summary(s section) string {
	parts := make([]string, 0, len(s))

	for _, key := range slices.Sorted(maps.Keys(s)) {
		value := s[key]
		if key == keysKey {
			digests := strings.Fields(value)
			for i := range digests {
				digests[i] = shorten(digests[i])
			}

			value = strings.Join(digests, " ")
		}

		parts = append(parts, key+" "+value)
	}

	return strings.Join(parts, "; ")
}

func diffSection(header string, was, is section) []string {
	var lines []string

	for _, key := range sortedKeys(was, is) {
		old, existed := was[key]
		value, exists := is[key]
		place := fmt.Sprintf("[%s] %s ", header, key)

		switch {
		case old == value && existed == exists:
		case key == keysKey:
			lines = append(lines, diffDigests(header, strings.Fields(old), strings.Fields(value))...)
		case !exists:
			lines = append(lines, place+"removed, was "+old)
		case !existed:
			lines = append(lines, place+"added: "+value)
		default:
			lines = append(lines, place+"changed from "+old+" to "+value)
		}
	}

	return lines
}

func diffDigests(header string, old, changed []string) []string {
	var lines []string

	for _, digest := range old {
		if !slices.Contains(changed, digest) {
			lines = append(lines, fmt.Sprintf("[%s] key %s removed", header, shorten(digest)))
		}
	}

	for _, digest := range changed {
		if !slices.Contains(old, digest) {
			lines = append(lines, fmt.Sprintf("[%s] key %s added", header, shorten(digest)))
		}
	}

	return lines
}

// sortedKeys returns the keys of two maps, each once.
func sortedKeys[V any](a, b map[string]V) []string {
	all := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(all)

	return slices.Compact(all)
}
