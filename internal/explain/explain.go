// Package explain reconstructs the timeline of one request from the logs of any number of daemons. It interprets the
// events of package eventlog, and prints the other fields of a line without interpreting them.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
)

// maxLine is the largest length of a log line in bytes.
const maxLine = 1 << 20

// omissionWindow is the largest time between the lines of a request and a line about omitted log lines that may concern
// the request. A daemon writes that line up to a second after the omitted ones.
const omissionWindow = 2 * time.Second

// ErrUnknown is returned if no log line has the request's identifier.
var ErrUnknown = errors.New("no line has this request")

// Line is one log line about a request.
type Line struct {
	Time time.Time
	// Source is the log that contains the line, as passed to Reader.Read.
	Source string
	Event  eventlog.Event
	// Request is the identifier of the request, or that of a nested call, which starts with the identifier of the request
	// and a dot.
	Request string
	// Fields are the other fields of the line, except for the level, as they were written.
	Fields map[string]any
}

// Timeline holds the log lines of one request and its nested calls, ordered by time.
type Timeline struct {
	Lines []Line
	// Omitted are the lines with the event eventlog.LinesSuppressed, of all sources. Each states how many log lines its
	// daemon omitted.
	Omitted []Line
}

// Reader collects the timeline of one request.
type Reader struct {
	id       string
	timeline Timeline
}

// NewReader returns a reader for the request with the identifier id.
func NewReader(id string) *Reader { return &Reader{id: id} }

// Read adds the log of one daemon. It skips text that is not a log line. It returns an error if the log cannot be read
// or has a line longer than 1 MiB.
func (r *Reader) Read(source string, in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)

	for lines.Scan() {
		if start := strings.IndexByte(lines.Text(), '{'); start >= 0 {
			r.addLine(source, lines.Text()[start:])
		}
	}

	return errors.Wrapf(lines.Err(), "read %s", source)
}

func (r *Reader) addLine(source, text string) {
	fields := make(map[string]any)
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		return
	}

	line := Line{
		Source: source, Event: eventlog.Event(stringField(fields, "event")), Request: stringField(fields, "request"),
	}

	timestamp, err := time.Parse(time.RFC3339Nano, stringField(fields, "time"))
	if err != nil {
		return
	}

	line.Time = timestamp
	for _, name := range []string{"event", "request", "time", "level"} {
		delete(fields, name)
	}

	line.Fields = fields

	switch {
	case line.Event == eventlog.LinesSuppressed:
		r.timeline.Omitted = append(r.timeline.Omitted, line)
	case line.Request == r.id || strings.HasPrefix(line.Request, r.id+"."):
		r.timeline.Lines = append(r.timeline.Lines, line)
	}
}

func stringField(fields map[string]any, name string) string {
	text, _ := fields[name].(string)

	return text
}

// Timeline returns the collected lines, or ErrUnknown if there are none.
func (r *Reader) Timeline() (Timeline, error) {
	if len(r.timeline.Lines) == 0 {
		return Timeline{}, errors.Wrapf(ErrUnknown, "request %s", r.id)
	}

	slices.SortStableFunc(r.timeline.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })

	return r.timeline, nil
}

// Write prints the timeline: for each line, the time since the first line, the source, the event and its fields. The
// lines that are missing follow. The timeline must have a line.
func (t Timeline) Write(out io.Writer) error {
	start := t.Lines[0].Time
	text := &strings.Builder{}

	fmt.Fprintf(text, "request %s, %s\n", t.Lines[0].Request, start.UTC().Format(time.RFC3339Nano))

	for _, line := range t.Lines {
		fmt.Fprintf(text, "%9.3f ms  %s  %s%s%s\n", float64(line.Time.Sub(start).Microseconds())/1000,
			line.Source, line.Event, formatNested(t.Lines[0].Request, line.Request), formatFields(line.Fields))
	}

	for _, gap := range t.Missing() {
		fmt.Fprintf(text, "missing: %s\n", gap)
	}

	_, err := io.WriteString(out, text.String())

	return errors.Wrap(err, "write timeline")
}

// formatNested returns the identifier of a nested call in parentheses, or nothing for the request itself.
func formatNested(first, request string) string {
	if request == first {
		return ""
	}

	return " (" + request + ")"
}

func formatFields(fields map[string]any) string {
	text := &strings.Builder{}

	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(text, " %s=%v", name, fields[name])
	}

	return text.String()
}

// Missing describes the lines that the timeline lacks, and the daemons that omitted log lines at that time. It returns
// nil if no line is missing.
func (t Timeline) Missing() []string {
	gaps := t.unfinishedRequests()
	gaps = append(gaps, t.unexplainedAttempts()...)

	if len(gaps) == 0 {
		return nil
	}

	first, last := t.Lines[0].Time, t.Lines[len(t.Lines)-1].Time

	for _, line := range t.Omitted {
		if line.Time.After(first.Add(-omissionWindow)) && line.Time.Before(last.Add(omissionWindow)) {
			gaps = append(gaps, fmt.Sprintf("%s left %v lines out before %s", line.Source, line.Fields["lines"],
				line.Time.UTC().Format(time.RFC3339Nano)))
		}
	}

	return gaps
}

// unfinishedRequests describes the requests and nested calls without a line about their end.
func (t Timeline) unfinishedRequests() []string {
	ended := make(map[string]bool)

	for _, line := range t.Lines {
		end := line.Event == eventlog.Answered || line.Event == eventlog.Refused || line.Event == eventlog.CallerLeft
		ended[line.Request] = ended[line.Request] || end
	}

	var gaps []string

	for _, request := range slices.Sorted(maps.Keys(ended)) {
		if !ended[request] {
			gaps = append(gaps, fmt.Sprintf("how %s ended", request))
		}
	}

	return gaps
}

// unexplainedAttempts describes the attempts that occur in a line but have no line about why they were sent.
func (t Timeline) unexplainedAttempts() []string {
	type attempt struct {
		request string
		number  float64
	}

	sent, mentioned := make(map[attempt]bool), make(map[attempt]bool)

	for _, line := range t.Lines {
		number, ok := line.Fields["attempt"].(float64)
		if !ok {
			continue
		}

		mentioned[attempt{line.Request, number}] = true

		if line.Event == eventlog.Sent {
			sent[attempt{line.Request, number}] = true
		}
	}

	keys := slices.SortedFunc(maps.Keys(mentioned), func(a, b attempt) int {
		return cmp.Or(cmp.Compare(a.request, b.request), cmp.Compare(a.number, b.number))
	})

	var gaps []string

	for _, key := range keys {
		if !sent[key] {
			gaps = append(gaps, fmt.Sprintf("why attempt %.0f of %s was sent", key.number, key.request))
		}
	}

	return gaps
}
