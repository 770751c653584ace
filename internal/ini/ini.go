// Package ini parses INI documents. It keeps the line of each section and key, so that each error has a position.
//
// A section header consists of a kind, or of a kind and names: [listen], [rule stockdesk orders]. Each line holds one
// key. Values on several lines, line continuation and interpolation are not supported. The package has no schema:
// sections and keys that no caller requests are unknown, and Err reports them.
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

// Error is an error at one position of a document.
type Error struct {
	File string
	// Line counts from 1. For a missing key it is the line of the section header, and for a missing section the last
	// line of the document.
	Line int
	// Section is the header without brackets; empty outside of sections.
	Section string
	// Key is empty if the error concerns the whole section or line.
	Key     string
	Message string
}

// Error returns "file:line: [section] key: message", without section and key if they are empty.
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

// Document is a parsed file. It collects the errors in the file that are found while it is parsed and while its values
// are read.
type Document struct {
	file     string
	lastLine int
	sections []*Section
	headers  map[string]*Section
	faults   []*Error
	// syntaxFaults is the number of faults that Parse found. Faults found later may be consequences of these.
	syntaxFaults int
}

// Section is a section of a document. If the document lacks the section, it has no keys.
type Section struct {
	// Kind is the first word of the header, Names are the others.
	Kind  string
	Names []string

	document *Document
	header   string
	line     int
	// missing is set if the document lacks the section.
	missing bool
	// requested is set once a caller has requested the section. Err reports other sections as unknown.
	requested bool
	entries   []*entry
}

// entry is a key of a section. It is marked as requested once a caller has read it.
type entry struct {
	key       string
	value     string
	line      int
	requested bool
}

// Parse parses a document; errors give file as the file name. The document keeps all errors for Err, so that an
// operator sees them at once.
func Parse(file string, data []byte) *Document {
	d := &Document{file: file, headers: map[string]*Section{}}

	loaded, err := inifile.LoadSources(inifile.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, d.numberLines(data))
	if err != nil {
		// All lines were checked before, so this happens only if the library's rules change.
		d.addFault(1, "", "", "unreadable document: "+err.Error())

		return d
	}

	for _, section := range loaded.Sections() {
		d.addSection(section)
	}

	d.syntaxFaults = len(d.faults)

	return d
}

// numberLines prefixes each section name and key with its line number, because the library keeps no positions. It
// reports and omits lines that are neither a section header nor a key.
func (d *Document) numberLines(data []byte) []byte {
	var (
		out    bytes.Buffer
		header string
	)

	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	data = bytes.TrimSuffix(data, []byte("\n"))

	for index, raw := range strings.Split(string(data), "\n") {
		number := index + 1
		d.lastLine = number
		line := strings.TrimSpace(raw)

		switch fault := syntaxFault(line); {
		case fault != "":
			d.addLineFault(number, header, line, fault)
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

// addLineFault reports a line that could not be parsed. The error contains only the first word of the line, because the
// rest may be a secret.
func (d *Document) addLineFault(number int, header, line, fault string) {
	if strings.HasPrefix(line, "[") || !utf8.ValidString(line) {
		d.addFault(number, "", "", fault)

		return
	}

	before, _, _ := strings.Cut(line, "=")
	word, _, _ := strings.Cut(strings.TrimSpace(before), " ")
	d.addFault(number, header, word, fault)
}

func canonicalHeader(text string) string { return strings.Join(strings.Fields(text), " ") }

func isComment(line string) bool { return line[0] == '#' || line[0] == ';' }

// syntaxFault returns a message if a line without surrounding space is invalid, and "" if it is valid.
func syntaxFault(line string) string {
	if !utf8.ValidString(line) || strings.ContainsFunc(line, isForbiddenControl) {
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

func isForbiddenControl(r rune) bool { return r != '\t' && unicode.IsControl(r) }

func (d *Document) addSection(loaded *inifile.Section) {
	if loaded.Name() == inifile.DefaultSection {
		for _, key := range loaded.Keys() {
			line, name := splitLineNumber(key.Name())
			d.addFault(line, "", name, "key stands before the first section")
		}

		return
	}

	line, header := splitLineNumber(loaded.Name())
	words := strings.Fields(header)
	s := &Section{document: d, Kind: words[0], Names: words[1:], header: header, line: line}

	if first, found := d.headers[s.header]; found {
		d.addFault(line, s.header, "", fmt.Sprintf("section is a duplicate of line %d", first.line))

		return
	}

	for _, key := range loaded.Keys() {
		s.addEntry(key)
	}

	d.sections = append(d.sections, s)
	d.headers[s.header] = s
}

func (s *Section) addEntry(key *inifile.Key) {
	line, name := splitLineNumber(key.Name())
	value := key.Value()

	if first := s.findEntry(name); first != nil {
		s.document.addFault(line, s.header, name, fmt.Sprintf("key is a duplicate of line %d", first.line))

		return
	}
	// The library has removed balanced quotes around a value.
	if value != "" && (value[0] == '"' || value[0] == '\'') {
		s.document.addFault(line, s.header, name, "quotes do not enclose the value")
	}

	s.entries = append(s.entries, &entry{key: name, value: value, line: line})
}

// splitLineNumber splits a section name or key into the line number that numberLines has added and the rest.
func splitLineNumber(name string) (int, string) {
	number, rest, _ := strings.Cut(name, " ")
	line, _ := strconv.Atoi(number) // numberLines wrote the number.

	return line, strings.TrimSpace(rest)
}

func (s *Section) findEntry(key string) *entry {
	for _, e := range s.entries {
		if e.key == key {
			return e
		}
	}

	return nil
}

func (d *Document) addFault(line int, section, key, message string) {
	d.faults = append(d.faults, &Error{File: d.file, Line: line, Section: section, Key: key, Message: message})
}

// Section returns the section with this header. If there is none, the result has no keys, and Required reports the
// section as missing.
func (d *Document) Section(header string) *Section {
	if s, found := d.headers[header]; found {
		s.requested = true

		return s
	}

	return &Section{document: d, header: header, line: d.lastLine, missing: true}
}

// SectionsOf returns the sections of a kind in the order of the document. The names are placeholders for the names that
// have to follow the kind in the header. It reports and omits a section with more or fewer names.
func (d *Document) SectionsOf(kind string, names ...string) []*Section {
	var found []*Section

	for _, s := range d.sections {
		if s.Kind != kind {
			continue
		}

		s.requested = true

		if len(s.Names) == len(names) {
			found = append(found, s)

			continue
		}

		d.addFault(s.line, s.header, "", fmt.Sprintf("section header is not [%s %s]", kind, strings.Join(names, " ")))

		for _, e := range s.entries {
			e.requested = true
		}
	}

	return found
}

// Fail adds an error at a key of a section; an empty key means the section itself.
func (d *Document) Fail(header, key, message string) {
	d.addFault(d.lineOf(header, key), header, key, message)
}

// lineOf returns the line of a key, of its section if that lacks the key, or the last line if there is no such section.
func (d *Document) lineOf(header, key string) int {
	s, found := d.headers[header]
	if !found {
		return d.lastLine
	}

	if e := s.findEntry(key); e != nil {
		return e.line
	}

	return s.line
}

// Faulty reports whether an error was found so far.
func (d *Document) Faulty() bool { return len(d.faults) > 0 }

// Err adds an error for each section and key that was never requested, and returns all errors joined in the order of
// their lines, or nil. Each is an *Error. If there are syntax errors or duplicates, it returns only these, because
// other errors may be their consequences.
func (d *Document) Err() error {
	if d.syntaxFaults > 0 {
		d.faults = d.faults[:d.syntaxFaults]
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
		if !s.requested {
			d.addFault(s.line, s.header, "", "unknown section")

			continue
		}
		for _, e := range s.entries {
			if !e.requested {
				d.addFault(e.line, s.header, e.key, "unknown key")
			}
		}
	}
}

// Warn returns an *Error at a key of a section, as Fail places it, without adding it to the document.
func (d *Document) Warn(header, key, message string) *Error {
	return &Error{File: d.file, Line: d.lineOf(header, key), Section: header, Key: key, Message: message}
}

// Has reports whether a section has a key.
func (d *Document) Has(header, key string) bool {
	s, found := d.headers[header]

	return found && s.findEntry(key) != nil
}
