// Package ini reads INI documents and keeps the line of each section and key, so that every error
// names its position.
//
// A section header is one word, or a word and names: [listen], [rule stockdesk orders]. A line holds
// one key. Values on several lines, continuation and interpolation are not supported. The package
// keeps no schema: a section or key that no call has asked for is reported as unknown by Err.
package ini

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	inifile "gopkg.in/ini.v1"
)

// Error is a fault at one place of a document.
type Error struct {
	File string
	// Line counts from 1. It is the line of the section header for a missing key, and the last line
	// of the document for a missing section.
	Line int
	// Section is the text between the brackets; empty outside of sections.
	Section string
	// Key is empty if the fault concerns the whole section or line.
	Key     string
	Message string
}

// Error returns "file:line: [section] key: message".
func (e *Error) Error() string {
	place := fmt.Sprintf("%s:%d: ", e.File, e.Line)
	if e.Section != "" {
		place += "[" + e.Section + "] "
	}
	if e.Key != "" {
		place += e.Key + ": "
	}

	return place + e.Message
}

// Document is a parsed file. It collects the faults found while it is read.
type Document struct {
	file     string
	last     int
	sections []*Section
	headers  map[string]*Section
	faults   []*Error
	// syntax is the number of faults found before the first key was read. Faults after them may only
	// be their consequences.
	syntax int
}

// Section is a part of a document. A section that the document lacks has no keys.
type Section struct {
	// Kind is the first word of the header, Names are the others.
	Kind  string
	Names []string

	document *Document
	header   string
	line     int
	missing  bool
	claimed  bool
	entries  []*entry
}

type entry struct {
	key     string
	value   string
	line    int
	claimed bool
}

// Parse reads a document; file is the name used in errors. Faults are collected for Err, so that one
// run reports all of them.
func Parse(file string, data []byte) *Document {
	d := &Document{file: file, headers: map[string]*Section{}}

	loaded, err := inifile.LoadSources(inifile.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, d.number(data))
	if err != nil {
		// The lines were checked before, so that this happens only if the library's rules change.
		d.fail(1, "", "", "unreadable document: "+err.Error())

		return d
	}

	for _, section := range loaded.Sections() {
		d.addSection(section)
	}

	d.syntax = len(d.faults)

	return d
}

// number prefixes each section and key name with its line, because the library keeps no positions.
// Lines that are neither a section nor a key are reported and left out.
func (d *Document) number(data []byte) []byte {
	var (
		out    bytes.Buffer
		header string
	)

	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	data = bytes.TrimSuffix(data, []byte("\n"))

	for index, raw := range strings.Split(string(data), "\n") {
		number := index + 1
		d.last = number
		line := strings.TrimSpace(raw)

		switch fault := lineFault(line); {
		case fault != "":
			d.failLine(number, header, line, fault)
		case line == "" || isComment(line):
		case line[0] == '[':
			header = canonicalHeader(line[1:strings.IndexByte(line, ']')])
			out.WriteString("[" + strconv.Itoa(number) + " " + header + "]\n")
		default:
			out.WriteString(strconv.Itoa(number) + " " + line + "\n")
		}
	}

	return out.Bytes()
}

// failLine reports a line that could not be read. Only its first word is named, because the rest may
// be a secret.
func (d *Document) failLine(number int, header, line, fault string) {
	if strings.HasPrefix(line, "[") || !utf8.ValidString(line) {
		d.fail(number, "", "", fault)

		return
	}

	before, _, _ := strings.Cut(line, "=")
	word, _, _ := strings.Cut(strings.TrimSpace(before), " ")
	d.fail(number, header, word, fault)
}

func canonicalHeader(text string) string { return strings.Join(strings.Fields(text), " ") }

func isComment(line string) bool { return line[0] == '#' || line[0] == ';' }

func lineFault(line string) string {
	if !utf8.ValidString(line) || strings.ContainsFunc(line, isForbidden) {
		return "line contains a control character or is not UTF-8"
	}
	if line == "" || isComment(line) {
		return ""
	}
	if line[0] == '[' {
		header, rest, closed := strings.Cut(line, "]")
		rest = strings.TrimSpace(rest)

		switch {
		case !closed:
			return "section header has no closing bracket"
		case strings.TrimSpace(header[1:]) == "":
			return "section header has no name"
		case rest != "":
			return "text after the section header"
		}

		return ""
	}

	key, value, found := strings.Cut(line, "=")
	value = strings.TrimSpace(value)

	switch {
	case !found:
		return "line is neither a section nor \"key = value\""
	case strings.TrimSpace(key) == "":
		return "key name is missing before \"=\""
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		return "quotes for values on several lines are not supported"
	}

	return ""
}

func isForbidden(r rune) bool { return r != '\t' && unicode.IsControl(r) }

func (d *Document) addSection(loaded *inifile.Section) {
	if loaded.Name() == inifile.DefaultSection {
		for _, key := range loaded.Keys() {
			line, name := splitNumber(key.Name())
			d.fail(line, "", name, "key stands before the first section")
		}

		return
	}

	line, header := splitNumber(loaded.Name())
	words := strings.Fields(header)
	s := &Section{document: d, Kind: words[0], Names: words[1:], header: header, line: line}

	if first, found := d.headers[s.header]; found {
		d.fail(line, s.header, "", fmt.Sprintf("section is a duplicate of line %d", first.line))

		return
	}

	for _, key := range loaded.Keys() {
		s.addEntry(key)
	}

	d.sections = append(d.sections, s)
	d.headers[s.header] = s
}

func (s *Section) addEntry(key *inifile.Key) {
	line, name := splitNumber(key.Name())
	value := key.Value()

	if first := s.find(name); first != nil {
		s.document.fail(line, s.header, name, fmt.Sprintf("key is a duplicate of line %d", first.line))

		return
	}
	// Balanced quotes around a value were removed by the library.
	if value != "" && (value[0] == '"' || value[0] == '\'') {
		s.document.fail(line, s.header, name, "quotes do not enclose the value")
	}

	s.entries = append(s.entries, &entry{key: name, value: value, line: line})
}

func splitNumber(name string) (int, string) {
	number, rest, _ := strings.Cut(name, " ")
	line, _ := strconv.Atoi(number) // Written by number.

	return line, strings.TrimSpace(rest)
}

func (s *Section) find(key string) *entry {
	for _, e := range s.entries {
		if e.key == key {
			return e
		}
	}

	return nil
}

func (d *Document) fail(line int, section, key, message string) {
	d.faults = append(d.faults, &Error{File: d.file, Line: line, Section: section, Key: key, Message: message})
}

// Section returns the section with this header. If there is none, the result is empty, and asking it
// for a required key reports the section as missing.
func (d *Document) Section(header string) *Section {
	if s, found := d.headers[header]; found {
		s.claimed = true

		return s
	}

	return &Section{document: d, header: header, line: d.last, missing: true}
}

// SectionsOf returns the sections of a kind in the order of the document. The names describe what has
// to follow the kind in the header; a section with more or fewer is reported and left out.
func (d *Document) SectionsOf(kind string, names ...string) []*Section {
	var found []*Section

	for _, s := range d.sections {
		if s.Kind != kind {
			continue
		}

		s.claimed = true

		if len(s.Names) == len(names) {
			found = append(found, s)

			continue
		}

		d.fail(s.line, s.header, "", fmt.Sprintf("section header is not [%s %s]", kind, strings.Join(names, " ")))

		for _, e := range s.entries {
			e.claimed = true
		}
	}

	return found
}

// Fail records a fault at a key of a section; an empty key means the section itself.
func (d *Document) Fail(header, key, message string) {
	line := d.last
	if s, found := d.headers[header]; found {
		line = s.line
		if e := s.find(key); e != nil {
			line = e.line
		}
	}

	d.fail(line, header, key, message)
}

// Faulty reports whether a fault was recorded so far.
func (d *Document) Faulty() bool { return len(d.faults) > 0 }

// Err reports sections and keys that nobody has asked for, and returns all faults in the order of
// their lines, or nil. Each is an *Error. If there are faults of syntax or duplicates, only these are
// returned, because others may be their consequences.
func (d *Document) Err() error {
	if d.syntax > 0 {
		d.faults = d.faults[:d.syntax]
	} else {
		d.reportUnknown()
	}

	slices.SortStableFunc(d.faults, func(a, b *Error) int { return a.Line - b.Line })

	faults := make([]error, 0, len(d.faults))
	for _, fault := range d.faults {
		faults = append(faults, fault)
	}

	return errors.Join(faults...)
}

func (d *Document) reportUnknown() {
	for _, s := range d.sections {
		if !s.claimed {
			d.fail(s.line, s.header, "", "unknown section")

			continue
		}
		for _, e := range s.entries {
			if !e.claimed {
				d.fail(e.line, s.header, e.key, "unknown key")
			}
		}
	}
}
