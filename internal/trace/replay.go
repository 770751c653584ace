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
	// ErrIncomplete means that events are missing in a recording.
	ErrIncomplete = errors.New("recording is incomplete and cannot be replayed")
	// ErrFormat means that a file is not a recording in the format of this version.
	ErrFormat = errors.New("file is not a recording of this version")
)

// Reducer applies an event, which occurs at the time now, to its state and returns the effects.
type Reducer[E, F any] func(now time.Time, event E) []F

// Result describes a replay.
type Result struct {
	// Events is the number of events that were replayed.
	Events int
	// Checked is the number of events whose effects were compared.
	Checked int
	// End is the reason why the recording ended.
	End End
	// Partial is set if a crash cut off the last line. The line was ignored.
	Partial bool
}

// Difference is an error: the first event whose effects differ from the recorded or expected ones.
type Difference struct {
	// Line is the line of the event, counted from 1.
	Line int
	// Event is the kind of the event.
	Event string
	// Want holds the recorded or expected effects, Got those of the replay. Each is a kind and JSON.
	Want, Got []string
}

// Error returns a message with one line per effect.
func (d *Difference) Error() string {
	return fmt.Sprintf("line %d: other effects of %s\nwant:\n  %s\ngot:\n  %s",
		d.Line, d.Event, strings.Join(d.Want, "\n  "), strings.Join(d.Got, "\n  "))
}

// Replay applies the events of a recording to the reducer that newReducer returns for the header, and compares the
// effects. At the first event whose effects differ, it stops and returns a *Difference. It returns an error that wraps
// ErrIncomplete if events are missing, and one that wraps ErrFormat if the file is not a valid recording. Other errors
// come from reading the file or from an effect that cannot be encoded.
//
// A line may have "expect" instead of "effects". The expected effects must then occur in this order among the effects
// of the event, with the stated fields; other effects and fields are ignored. An empty "expect" requires that there
// are no effects. The effects of a line with neither are not compared.
func Replay[E, F any](
	in io.ReadSeeker, events *Kinds[E], effects *Kinds[F], newReducer func(Header) (Reducer[E, F], error),
) (Result, error) {
	if err := checkComplete(in); err != nil {
		return Result{}, err
	}

	r := &replayer[E, F]{events: events, effects: effects, newReducer: newReducer}
	scanner := newScanner(in)

	for scanner.Scan() {
		r.line++

		if err := r.replayLine(scanner.Bytes()); err != nil {
			return r.result, err
		}
	}

	if err := scanner.Err(); err != nil {
		return r.result, errors.Wrapf(err, "read line %d", r.line+1)
	}
	if r.apply == nil {
		return r.result, errors.Wrap(ErrFormat, "file is empty")
	}

	return r.result, nil
}

func newScanner(in io.Reader) *bufio.Scanner {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	// Lines keep their newline, which shows whether the last one is complete.
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

// checkComplete returns ErrIncomplete if the last line says that events are missing, so that no part of such a
// recording is replayed.
func checkComplete(in io.ReadSeeker) error {
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
		return errors.Wrapf(ErrIncomplete, "recording ended with %q %s", l.End, l.Cause)
	}

	_, err := in.Seek(0, io.SeekStart)

	return errors.Wrap(err, "read recording")
}

// replayer replays a recording line by line.
type replayer[E, F any] struct {
	events     *Kinds[E]
	effects    *Kinds[F]
	newReducer func(Header) (Reducer[E, F], error)
	// apply is nil until the start line has been replayed.
	apply Reducer[E, F]
	// line and seq are the numbers of the last line and event; both count from 1.
	line   int
	seq    uint64
	result Result
}

func (r *replayer[E, F]) replayLine(data []byte) error {
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

		return r.formatError(err.Error())
	}

	switch {
	case l.Start != nil:
		return r.replayStart(*l.Start)
	case r.apply == nil:
		return r.formatError("the first line has no \"start\"")
	case r.result.End != EndCut:
		return r.formatError("there is a line after the closing line")
	case l.End != "":
		r.result.End = l.End

		return nil
	case l.Event != nil:
		return r.replayEvent(l)
	default:
		return r.formatError("the line has no \"event\"")
	}
}

func (r *replayer[E, F]) formatError(message string) error {
	return errors.Wrapf(ErrFormat, "line %d: %s", r.line, message)
}

func (r *replayer[E, F]) replayStart(s startLine) error {
	if r.apply != nil {
		return r.formatError("there is a second \"start\"")
	}
	if s.Format != formatVersion {
		return r.formatError(fmt.Sprintf("format %d, this version reads %d", s.Format, formatVersion))
	}

	apply, err := r.newReducer(Header{Seed: s.Seed, Options: s.Options})
	if err != nil {
		return r.formatError(err.Error())
	}

	r.apply = apply

	return nil
}

func (r *replayer[E, F]) replayEvent(l line) error {
	// Lines written by hand may omit the number.
	if r.seq++; l.Seq != 0 && l.Seq != r.seq {
		return errors.Wrapf(ErrIncomplete, "line %d has event %d instead of %d", r.line, l.Seq, r.seq)
	}

	event, err := r.events.decode(*l.Event)
	if err != nil {
		return r.formatError(err.Error())
	}

	got, err := r.effects.encodeAll(r.apply(l.Now, event))
	if err != nil {
		return errors.Wrapf(err, "line %d", r.line)
	}

	r.result.Events++

	want, matches := l.Effects, equalEffects
	if l.Expect != nil {
		want, matches = l.Expect, containsInOrder
	}
	if want == nil {
		return nil
	}

	r.result.Checked++

	if !matches(want, got) {
		return &Difference{Line: r.line, Event: l.Event.Kind, Want: formatEffects(want), Got: formatEffects(got)}
	}

	return nil
}

func formatEffects(effects []typedValue) []string {
	formatted := make([]string, 0, len(effects))
	for _, e := range effects {
		formatted = append(formatted, e.Kind+" "+string(e.Data))
	}

	if len(formatted) == 0 {
		return []string{"no effects"}
	}

	return formatted
}

func equalEffects(want, got []typedValue) bool {
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

// containsInOrder reports whether the wanted effects occur in this order.
func containsInOrder(want, got []typedValue) bool {
	if len(want) == 0 {
		return len(got) == 0
	}

	for _, g := range got {
		if len(want) > 0 && want[0].Kind == g.Kind &&
			(len(want[0].Data) == 0 || containsStated(decodeAny(want[0].Data), decodeAny(g.Data))) {
			want = want[1:]
		}
	}

	return len(want) == 0
}

// containsStated reports whether a value matches the wanted one. Objects may have more members than wanted; all other
// values must be equal.
func containsStated(want, got any) bool {
	wantObject, ok := want.(map[string]any)
	if !ok {
		return reflect.DeepEqual(want, got)
	}

	gotObject, ok := got.(map[string]any)
	if !ok {
		return false
	}

	for key, value := range wantObject {
		member, found := gotObject[key]
		if !found || !containsStated(value, member) {
			return false
		}
	}

	return true
}

// decodeAny decodes JSON; it returns nil for missing or malformed data. Numbers keep their text, because large integers
// would lose digits as float64.
func decodeAny(data []byte) any {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()

	var value any
	if decoder.Decode(&value) != nil {
		return nil
	}

	return value
}
