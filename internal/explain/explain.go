// Package explain tells the story of one request from the log lines of any number of daemons. It knows the events of
// package eventlog and nothing of what the fields of a line mean.
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

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// leftOutReach is how far from a request a line about omitted lines still concerns it: it follows up to a second after
// them.
const leftOutReach = 2 * time.Second

// ErrUnknown means that no line has the request's identifier.
var ErrUnknown = errors.New("no line has this request")

// Line is one log line about a request.
type Line struct {
	Time    time.Time
	Source  string
	Event   eventlog.Event
	Request string
	// Fields are all others, as they were written.
	Fields map[string]any
}

// Story holds the lines of one request and its nested calls, in order of time.
type Story struct {
	Lines []Line
	// LeftOut are lines that say that others were left out, of all sources.
	LeftOut []Line
}

// Reader collects the story of one request.
type Reader struct {
	id    string
	story Story
}

// NewReader returns a reader for the request with an identifier.
func NewReader(id string) *Reader { return &Reader{id: id} }

// Read takes the log of one daemon. What is not a log line is passed over.
func (r *Reader) Read(source string, in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)

	for lines.Scan() {
		if begin := strings.IndexByte(lines.Text(), '{'); begin >= 0 {
			r.take(source, lines.Text()[begin:])
		}
	}

	return errors.Wrapf(lines.Err(), "read %s", source)
}

func (r *Reader) take(source, text string) {
	fields := make(map[string]any)
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		return
	}

	line := Line{Source: source, Event: eventlog.Event(textOf(fields, "event")), Request: textOf(fields, "request")}

	at, err := time.Parse(time.RFC3339Nano, textOf(fields, "time"))
	if err != nil {
		return
	}

	line.Time = at
	for _, name := range []string{"event", "request", "time", "level"} {
		delete(fields, name)
	}

	line.Fields = fields

	switch {
	case line.Event == eventlog.LinesSuppressed:
		r.story.LeftOut = append(r.story.LeftOut, line)
	case line.Request == r.id || strings.HasPrefix(line.Request, r.id+"."):
		r.story.Lines = append(r.story.Lines, line)
	}
}

func textOf(fields map[string]any, name string) string {
	text, _ := fields[name].(string)

	return text
}

// Story returns what was found, or ErrUnknown.
func (r *Reader) Story() (Story, error) {
	if len(r.story.Lines) == 0 {
		return Story{}, errors.Wrapf(ErrUnknown, "request %s", r.id)
	}

	slices.SortStableFunc(r.story.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })

	return r.story, nil
}

// Write prints the story: the time since its first line, the source, the event and its fields.
func (s Story) Write(out io.Writer) error {
	begin := s.Lines[0].Time
	text := &strings.Builder{}

	fmt.Fprintf(text, "request %s, %s\n", s.Lines[0].Request, begin.UTC().Format(time.RFC3339Nano))

	for _, line := range s.Lines {
		fmt.Fprintf(text, "%9.3f ms  %s  %s%s%s\n", float64(line.Time.Sub(begin).Microseconds())/1000,
			line.Source, line.Event, nested(s.Lines[0].Request, line.Request), list(line.Fields))
	}

	for _, gap := range s.Missing() {
		fmt.Fprintf(text, "missing: %s\n", gap)
	}

	_, err := io.WriteString(out, text.String())

	return errors.Wrap(err, "write story")
}

// nested names the call of a line that is not about the request itself.
func nested(first, request string) string {
	if request == first {
		return ""
	}

	return " (" + request + ")"
}

func list(fields map[string]any) string {
	text := &strings.Builder{}

	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(text, " %s=%v", name, fields[name])
	}

	return text.String()
}

// Missing says which lines the story lacks, and which daemons left lines out at that time.
func (s Story) Missing() []string {
	gaps := s.openRequests()
	gaps = append(gaps, s.unsent()...)

	if len(gaps) == 0 {
		return nil
	}

	first, last := s.Lines[0].Time, s.Lines[len(s.Lines)-1].Time

	for _, line := range s.LeftOut {
		if line.Time.After(first.Add(-leftOutReach)) && line.Time.Before(last.Add(leftOutReach)) {
			gaps = append(gaps, fmt.Sprintf("%s left %v lines out before %s", line.Source, line.Fields["lines"],
				line.Time.UTC().Format(time.RFC3339Nano)))
		}
	}

	return gaps
}

// openRequests finds requests and calls of which no line tells the end.
func (s Story) openRequests() []string {
	ended := make(map[string]bool)

	for _, line := range s.Lines {
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

// unsent finds attempts that some line mentions and of which no line tells why they were sent.
func (s Story) unsent() []string {
	type attempt struct {
		request string
		number  float64
	}

	sent, mentioned := make(map[attempt]bool), make(map[attempt]bool)

	for _, line := range s.Lines {
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
