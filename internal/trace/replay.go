package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrIncomplete is returned for a recording in which events are missing.
	ErrIncomplete = errors.New("recording is incomplete and cannot be replayed")
	// ErrFormat is returned for a file that is no recording of this version.
	ErrFormat = errors.New("file is not a recording of this version")
)

// Reducer changes its state by an event and returns the effects.
type Reducer[E, F any] func(now time.Time, event E) []F

// Result says what was replayed.
type Result struct {
	Events int
	// Checked is the number of events whose effects were compared.
	Checked int
	End     End
	// Partial is set if the last line was cut off by a crash; it was left out.
	Partial bool
}

// Difference is the first event whose effects are not those of the recording.
type Difference struct {
	// Line counts from 1.
	Line  int
	Event string
	// Want holds the recorded or expected effects, Got the effects of this run, as JSON.
	Want, Got []string
}

// Error implements error with one line per effect.
func (d *Difference) Error() string {
	return fmt.Sprintf("line %d: other effects of %s\nwant:\n  %s\ngot:\n  %s",
		d.Line, d.Event, strings.Join(d.Want, "\n  "), strings.Join(d.Got, "\n  "))
}

// Replay feeds the events of a recording through the reducer that start returns for the header, and
// compares effects. It stops with a *Difference at the first event that differs.
//
// A line may have "expect" instead of "effects": each expected effect then has to occur in this order
// among the event's effects, with the fields that are stated; other effects and fields are ignored. An
// empty "expect" requires that there are no effects. A line with neither is not compared.
func Replay[E, F any](
	in io.ReadSeeker, events *Kinds[E], effects *Kinds[F], start func(Header) (Reducer[E, F], error),
) (Result, error) {
	if err := refuseIncomplete(in); err != nil {
		return Result{}, err
	}

	r := &replay[E, F]{events: events, effects: effects, start: start}
	scanner := newScanner(in)

	for scanner.Scan() {
		r.line++

		if err := r.take(scanner.Bytes()); err != nil {
			return r.result, err
		}
	}

	if err := scanner.Err(); err != nil {
		return r.result, errors.Wrapf(err, "read line %d", r.line+1)
	}
	if r.apply == nil {
		return r.result, errors.Wrap(ErrFormat, "it is empty")
	}

	return r.result, nil
}

func newScanner(in io.Reader) *bufio.Scanner {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	// Lines keep their end, which tells whether the last one is whole.
	scanner.Split(func(data []byte, atEOF bool) (int, []byte, error) {
		if i := bytes.IndexByte(data, '\n'); i >= 0 {
			return i + 1, data[:i+1], nil
		}
		if atEOF && len(data) > 0 {
			return len(data), data, nil
		}

		return 0, nil, nil
	})

	return scanner
}

// refuseIncomplete looks at the last line, so that no recording with a gap is replayed at all.
func refuseIncomplete(in io.ReadSeeker) error {
	var last []byte

	scanner := newScanner(in)
	for scanner.Scan() {
		last = append(last[:0], scanner.Bytes()...)
	}

	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read recording")
	}

	var l line
	if json.Unmarshal(last, &l) == nil && (l.End == EndLost || l.End == EndUnrecordable) {
		return errors.Wrapf(ErrIncomplete, "it ended with %q %s", l.End, l.Cause)
	}

	_, err := in.Seek(0, io.SeekStart)

	return errors.Wrap(err, "read recording")
}

type replay[E, F any] struct {
	events  *Kinds[E]
	effects *Kinds[F]
	start   func(Header) (Reducer[E, F], error)
	apply   Reducer[E, F]
	line    int
	seq     uint64
	result  Result
}

func (r *replay[E, F]) take(data []byte) error {
	text := bytes.TrimSpace(data)
	if len(text) == 0 {
		return nil
	}

	var l line

	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()

	if err := decoder.Decode(&l); err != nil {
		if r.apply != nil && data[len(data)-1] != '\n' {
			r.result.Partial = true

			return nil
		}

		return r.wrong(err.Error())
	}

	switch {
	case l.Start != nil:
		return r.takeStart(*l.Start)
	case r.apply == nil:
		return r.wrong("the first line has no \"start\"")
	case r.result.End != EndCut:
		return r.wrong("there is a line after the closing line")
	case l.End != "":
		r.result.End = l.End

		return nil
	case l.Event != nil:
		return r.takeEvent(l)
	default:
		return r.wrong("the line has no \"event\"")
	}
}

func (r *replay[E, F]) wrong(message string) error {
	return errors.Wrapf(ErrFormat, "line %d: %s", r.line, message)
}

func (r *replay[E, F]) takeStart(s startLine) error {
	if r.apply != nil {
		return r.wrong("a second \"start\"")
	}
	if s.Format != format {
		return r.wrong(fmt.Sprintf("format %d, this version reads %d", s.Format, format))
	}

	apply, err := r.start(Header{Seed: s.Seed, Options: s.Options})
	if err != nil {
		return r.wrong(err.Error())
	}

	r.apply = apply

	return nil
}

func (r *replay[E, F]) takeEvent(l line) error {
	// Files written by hand need no numbers.
	if r.seq++; l.Seq != 0 && l.Seq != r.seq {
		return errors.Wrapf(ErrIncomplete, "line %d has event %d where %d is due", r.line, l.Seq, r.seq)
	}

	event, err := r.events.decode(*l.Event)
	if err != nil {
		return r.wrong(err.Error())
	}

	got, err := r.effects.encodeAll(r.apply(l.Now, event))
	if err != nil {
		return errors.Wrapf(err, "line %d", r.line)
	}

	r.result.Events++

	want, matches := l.Effects, equalAll
	if l.Expect != nil {
		want, matches = l.Expect, containsAll
	}
	if want == nil {
		return nil
	}

	r.result.Checked++

	if !matches(want, got) {
		return &Difference{Line: r.line, Event: l.Event.Kind, Want: texts(want), Got: texts(got)}
	}

	return nil
}

func texts(messages []message) []string {
	list := make([]string, 0, len(messages))
	for _, m := range messages {
		list = append(list, m.Kind+" "+string(m.Data))
	}

	if len(list) == 0 {
		return []string{"no effects"}
	}

	return list
}

func equalAll(want, got []message) bool {
	if len(want) != len(got) {
		return false
	}

	for i := range want {
		if want[i].Kind != got[i].Kind || !bytes.Equal(want[i].Data, got[i].Data) &&
			!reflect.DeepEqual(decodeAny(want[i].Data), decodeAny(got[i].Data)) {
			return false
		}
	}

	return true
}

// containsAll reports whether the wanted effects occur in order.
func containsAll(want, got []message) bool {
	if len(want) == 0 {
		return len(got) == 0
	}

	for _, g := range got {
		if len(want) > 0 && want[0].Kind == g.Kind &&
			(len(want[0].Data) == 0 || contains(decodeAny(want[0].Data), decodeAny(g.Data))) {
			want = want[1:]
		}
	}

	return len(want) == 0
}

// contains reports whether a value has all that is stated: objects may have more members, all else is
// equal.
func contains(want, got any) bool {
	stated, ok := want.(map[string]any)
	if !ok {
		return reflect.DeepEqual(want, got)
	}

	object, ok := got.(map[string]any)
	if !ok {
		return false
	}

	for key, value := range stated {
		member, found := object[key]
		if !found || !contains(value, member) {
			return false
		}
	}

	return true
}

// decodeAny returns nil for data that is absent or wrong. Numbers keep their text, so that large integers differ.
func decodeAny(data []byte) any {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()

	var value any
	if decoder.Decode(&value) != nil {
		return nil
	}

	return value
}
