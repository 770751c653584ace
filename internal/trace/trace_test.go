package trace_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/tarragonmill/tarragonmill/internal/trace"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// These are the events and effects of a test reducer, which adds numbers and draws random ones.
type (
	event  interface{ isEvent() }
	effect interface{ isEffect() }
	added  struct {
		Amount uint64
		Note   string
		From   netip.AddrPort
	}
	asked struct{ Verdict verdict.Verdict }
	sum   struct {
		Total uint64
		Drawn float64
		At    time.Time
	}
	answer struct {
		Verdict verdict.Verdict
		Data    []byte
		More    *sum
	}
)

func (added) isEvent()   {}
func (asked) isEvent()   {}
func (sum) isEffect()    {}
func (answer) isEffect() {}

// newTestReducer returns a reducer that starts at the total in the options and draws random numbers from the seed.
func newTestReducer(h trace.Header) (trace.Reducer[event, effect], error) {
	var total uint64
	if err := json.Unmarshal(h.Options, &total); err != nil {
		return nil, err
	}

	random := rand.New(rand.NewPCG(h.Seed, 0))

	return func(now time.Time, e event) []effect {
		switch e := e.(type) {
		case added:
			total += e.Amount

			return []effect{sum{Total: total, Drawn: random.Float64(), At: now.Add(time.Second)}}
		case asked:
			return []effect{answer{Verdict: e.Verdict, Data: []byte{0xff}}, answer{More: &sum{Total: total}}}
		default:
			return nil
		}
	}, nil
}

func kinds(t testing.TB) (*trace.Kinds[event], *trace.Kinds[effect]) {
	events, err := trace.NewKinds[event](added{}, asked{})
	require.NoError(t, err)
	effects, err := trace.NewKinds[effect](sum{}, answer{})
	require.NoError(t, err)

	return events, effects
}

var header = trace.Header{Seed: 7, Options: json.RawMessage("18446744073709551000")}

// record writes a recording of n events of each kind to out.
func record(t testing.TB, out io.Writer, limit int64, n int, note string) {
	events, effects := kinds(t)
	recorder := trace.NewRecorder(out, limit, header, events, effects)
	ctx, cancel := context.WithCancel(context.Background())
	ended := recorder.Start(ctx)
	apply, err := newTestReducer(header)
	require.NoError(t, err)

	now := time.Now()
	for i := range n {
		now = now.Add(1234567 * time.Nanosecond)
		for _, e := range []event{
			added{Amount: uint64(i), Note: note, From: netip.MustParseAddrPort("[::1]:80")}, asked{Verdict: verdict.NotRun},
		} {
			list := apply(now, e)
			recorder.Record(now, e, list)
			clear(list)
		}
	}

	cancel()
	require.NoError(t, <-ended)
}

func replay(t *testing.T, recording string) (trace.Result, error) {
	events, effects := kinds(t)

	return trace.Replay(strings.NewReader(recording), events, effects, newTestReducer)
}

// Guards against a recording that does not reproduce its run, and against a replay that accepts a recording with other
// effects, missing events or damage.
func TestRecordAndReplay(t *testing.T) {
	var out bytes.Buffer
	record(t, &out, 1<<20, 50, "<\u2028>")

	result, err := replay(t, out.String())
	require.NoError(t, err)
	require.Equal(t, trace.Result{Events: 100, Checked: 100, End: trace.EndStopped}, result)

	lines := strings.SplitAfter(out.String(), "\n")
	for _, change := range [][2]string{
		{`"Total":`, `"Total":1`},
		{`,"Drawn":0.`, `,"Drawn":1.`},
		{`"kind":"trace_test.sum"`, `"kind":"trace_test.answer"`},
	} {
		changed := append([]string{}, lines...)
		changed[5] = strings.Replace(changed[5], change[0], change[1], 1)
		require.NotEqual(t, lines[5], changed[5])

		_, err = replay(t, strings.Join(changed, ""))

		var difference *trace.Difference
		require.True(t, errors.As(err, &difference), "%v", err)
		require.Equal(t, 6, difference.Line)
		require.Equal(t, "trace_test.added", difference.Event)
	}

	for name, test := range map[string]struct {
		recording string
		want      error
	}{
		"event missing":  {strings.Join(append(append([]string{}, lines[:5]...), lines[6:]...), ""), trace.ErrIncomplete},
		"start missing":  {strings.Join(lines[1:], ""), trace.ErrFormat},
		"other format":   {strings.Replace(out.String(), `"format":1`, `"format":2`, 1), trace.ErrFormat},
		"unknown kind":   {strings.Replace(out.String(), "test.asked", "test.told", 1), trace.ErrFormat},
		"unknown field":  {strings.Replace(out.String(), `"Amount"`, `"Amuont"`, 1), trace.ErrFormat},
		"after the end":  {out.String() + lines[1], trace.ErrFormat},
		"empty":          {"", trace.ErrFormat},
		"damaged middle": {strings.Replace(out.String(), `"seq":9`, `"seq"9`, 1), trace.ErrFormat},
	} {
		_, err = replay(t, test.recording)
		require.ErrorIs(t, err, test.want, name)
	}

	result, err = replay(t, strings.Join(lines[:9], "")+lines[9][:20])
	require.NoError(t, err)
	require.Equal(t, trace.Result{Events: 8, Checked: 8, End: trace.EndCut, Partial: true}, result)
}

// Guards against a file above the size limit, and against a recording that ends at the limit without a closing line.
func TestLimit(t *testing.T) {
	for _, limit := range []int64{1 << 10, 4 << 10, 4<<10 + 77, 64 << 10} {
		var out bytes.Buffer
		record(t, &out, limit, 1000, "")
		require.LessOrEqual(t, int64(out.Len()), limit)
		require.True(t, strings.HasSuffix(out.String(), "{\"end\":\"limit\"}\n"))

		if limit > 2<<10 {
			result, err := replay(t, out.String())
			require.NoError(t, err)
			require.Equal(t, trace.EndLimit, result.End)
			require.Positive(t, result.Events)
		}
	}
}

// Guards against the replay of a recording with a gap, and against a slow disk that blocks the reducer.
func TestLostEvents(t *testing.T) {
	reader, writer := io.Pipe()
	events, effects := kinds(t)
	recorder := trace.NewRecorder(writer, 1<<40, header, events, effects)
	ctx, cancel := context.WithCancel(context.Background())
	ended := recorder.Start(ctx)

	// The pipe is not read yet, so that the writer blocks.
	for range 100_000 {
		recorder.Record(time.Now(), asked{}, nil)
	}

	text := make(chan string)

	go func() {
		data, _ := io.ReadAll(reader)
		text <- string(data)
	}()

	cancel()
	require.NoError(t, <-ended)
	require.NoError(t, writer.Close())

	recording := <-text
	require.Contains(t, recording, `{"end":"lost"}`)
	_, err := replay(t, recording)
	require.ErrorIs(t, err, trace.ErrIncomplete)

	var out bytes.Buffer
	record(t, &out, 1<<20, 1, "\xff")
	_, err = replay(t, out.String())
	require.ErrorIs(t, err, trace.ErrIncomplete)
	require.ErrorContains(t, err, "not UTF-8")
}

type (
	withInterface  struct{ Inner []any }
	withUnexported struct{ Inner struct{ hidden int } }
	withFunction   struct{ Inner map[string]func() }
	withMapKey     struct{ Inner map[struct{ A int }]int }
)

// Guards against the registration of a type whose values would change in a recording.
func TestLossyKinds(t *testing.T) {
	for _, sample := range []any{withInterface{}, withUnexported{}, withFunction{}, withMapKey{}} {
		_, err := trace.NewKinds(sample)
		require.ErrorIs(t, err, trace.ErrUnrecordable)
		require.ErrorContains(t, err, ".Inner")
	}
}

// Guards against expected effects that are not checked, or checked too strictly. In an archive, each recording is
// followed by a part of the error that its replay returns; empty for none.
func TestExpectations(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, paths)

	for _, path := range paths {
		archive, err := txtar.ParseFile(path)
		require.NoError(t, err)

		for i := 0; i < len(archive.Files); i += 2 {
			_, err := replay(t, string(archive.Files[i].Data))
			want := strings.TrimSpace(string(archive.Files[i+1].Data))

			if want == "" {
				require.NoError(t, err, archive.Files[i].Name)
			} else {
				require.ErrorContains(t, err, want, archive.Files[i].Name)
			}
		}
	}
}

// Guards against overwriting the recording of a run that crashed.
func TestCreate(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trace.jsonl")

	for _, text := range []string{"first", "second"} {
		file, err := trace.Create(path)
		require.NoError(t, err)
		_, err = file.WriteString(text)
		require.NoError(t, err)
		require.NoError(t, file.Close())
	}

	data, err := os.ReadFile(path + ".old")
	require.NoError(t, err)
	require.Equal(t, "first", string(data))
}

// Measures the time that recording an event costs the reducer.
func BenchmarkRecord(b *testing.B) {
	events, effects := kinds(b)
	recorder := trace.NewRecorder(io.Discard, 1<<40, header, events, effects)
	ctx, cancel := context.WithCancel(context.Background())
	ended := recorder.Start(ctx)
	now, list := time.Now(), []effect{sum{Total: 1}}

	for i := range b.N {
		recorder.Record(now, added{Amount: 1}, list)

		// Gives the writer time, as the pauses between the events of a daemon do.
		if i%4096 == 4095 {
			b.StopTimer()
			time.Sleep(50 * time.Millisecond)
			b.StartTimer()
		}
	}

	cancel()
	require.NoError(b, <-ended)
}
