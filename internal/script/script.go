// Package script runs scripted tests of reducers. A script is a txtar archive of two files: the first has events, one
// per line, and the second the effects that they must have. Time passes only by the line "after DURATION". Empty lines
// and lines that start with # are skipped.
package script

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"
)

// startTime is the time at which every script starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Reducer is the reducer that a script tests.
type Reducer interface {
	// Apply applies the event of a line and returns a description of each effect.
	Apply(now time.Time, line Line) []string
	// Tick applies a tick and returns a description of each effect.
	Tick(now time.Time) []string
	// Next returns when the next tick is due, or the zero time for never.
	Next() time.Time
}

// Line is the line of an event: a command, positional words, and words of the form key=value. Word fails the
// test if the word is missing; Int, Float and Duration fail it if the value is malformed.
type Line struct {
	t       *testing.T
	Command string
	Words   []string
	values  map[string]string
}

func parse(t *testing.T, text string) Line {
	line := Line{t: t, values: make(map[string]string)}

	for index, word := range strings.Fields(text) {
		key, value, valued := strings.Cut(word, "=")

		switch {
		case index == 0:
			line.Command = word
		case valued:
			line.values[key] = value
		default:
			line.Words = append(line.Words, word)
		}
	}

	return line
}

// Word returns the positional word with the given index; the first one after the command has index 0.
func (l Line) Word(index int) string {
	require.Greater(l.t, len(l.Words), index, "%s: word %d is missing", l.Command, index)

	return l.Words[index]
}

// Has reports whether the line contains a positional word.
func (l Line) Has(word string) bool {
	for _, other := range l.Words {
		if other == word {
			return true
		}
	}

	return false
}

// Text returns the value of a key, or fallback if the line lacks the key.
func (l Line) Text(key, fallback string) string {
	if value, found := l.values[key]; found {
		return value
	}

	return fallback
}

// Int returns the value of a key as an integer, or fallback if the line lacks the key.
func (l Line) Int(key string, fallback int) int { return parseValue(l, key, fallback, strconv.Atoi) }

// Float returns the value of a key as a number, or fallback if the line lacks the key.
func (l Line) Float(key string, fallback float64) float64 {
	return parseValue(l, key, fallback, func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

// Duration returns the value of a key as a duration, or fallback if the line lacks the key.
func (l Line) Duration(key string, fallback time.Duration) time.Duration {
	return parseValue(l, key, fallback, time.ParseDuration)
}

func parseValue[T any](l Line, key string, fallback T, parser func(string) (T, error)) T {
	text, found := l.values[key]
	if !found {
		return fallback
	}

	value, err := parser(text)
	require.NoError(l.t, err, "%s: %s", l.Command, key)

	return value
}

// FailUnknownCommand fails the test because the reducer does not know the command.
func (l Line) FailUnknownCommand() { require.Fail(l.t, "unknown command", "%q", l.Command) }

// Run runs all scripts that match a file pattern, each with a new reducer. With update, it replaces the effects in the
// files by the observed ones.
func Run(t *testing.T, pattern string, update bool, newReducer func() Reducer) {
	t.Helper()

	files, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, files)

	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			require.NoError(t, err)
			require.Len(t, archive.Files, 2, "a script has the files events and effects")

			got := runEvents(t, string(archive.Files[0].Data), newReducer())
			if update {
				archive.Files[1].Data = []byte(got)
				require.NoError(t, os.WriteFile(file, txtar.Format(archive), 0o600))
			}

			require.Equal(t, string(archive.Files[1].Data), got)
		})
	}
}

func runEvents(t *testing.T, text string, reducer Reducer) string {
	runner := &scriptRunner{reducer: reducer, now: startTime}

	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}

		fmt.Fprintf(&runner.out, "> %s\n", line)

		parsed := parse(t, line)
		if parsed.Command != "after" {
			runner.writeEffects(reducer.Apply(runner.now, parsed))

			continue
		}

		period, err := time.ParseDuration(parsed.Word(0))
		require.NoError(t, err)
		runner.advance(period)
	}

	return runner.out.String()
}

// scriptRunner runs one script. It keeps the time and collects the effects.
type scriptRunner struct {
	reducer Reducer
	now     time.Time
	out     strings.Builder
}

// advance advances the time by a period. It applies a tick whenever one is due, and one at the end.
func (r *scriptRunner) advance(period time.Duration) {
	end := r.now.Add(period)

	for next := r.reducer.Next(); !next.IsZero() && !next.After(end); next = r.reducer.Next() {
		if next.After(r.now) {
			r.now = next
		}

		r.writeEffects(r.reducer.Tick(r.now))

		// A reducer that asks for the same time again has nothing left to do at that time.
		if again := r.reducer.Next(); !again.After(r.now) {
			break
		}
	}

	r.now = end
	r.writeEffects(r.reducer.Tick(r.now))
}

func (r *scriptRunner) writeEffects(effects []string) {
	for _, effect := range effects {
		fmt.Fprintf(&r.out, "%6s  %s\n", r.now.Sub(startTime), effect)
	}
}
