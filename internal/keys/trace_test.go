package keys

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

var update = flag.Bool("keys.update", false, "rewrite the expected effects of the scripts")

// Guards against a change of the effects in the cases that the package comment lists. Each script runs
// against the world of the model, so its invariants hold too.
func TestTraces(t *testing.T) {
	paths, err := filepath.Glob("testdata/traces/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, paths)

	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			require.NoError(t, err)

			got := runScript(t, string(archive.Files[0].Data))
			if *update {
				archive.Files = append(archive.Files[:1], txtar.File{Name: "want", Data: []byte(got)})
				require.NoError(t, os.WriteFile(path, txtar.Format(archive), 0o600))
			}

			require.Equal(t, string(archive.Files[1].Data), got)
		})
	}
}

func runScript(t *testing.T, script string) string {
	var (
		w    *world
		out  strings.Builder
		keys = map[string]*keyState{}
	)

	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}

		args := slices.Concat(words[1:], []string{"", ""})

		switch words[0] {
		case "daemons":
			ids := make([]instance.ID, 0, len(words))
			for _, id := range words[1:] {
				ids = append(ids, instance.ID(id))
			}

			w = newWorld(t, map[string]int{}, ids...)
		case "key":
			issued := start.Add(duration(t, args[1])).UnixMilli()
			for n := uint32(len(keys)) << 16; keys[args[0]] == nil; n++ {
				if key := testKey(issued, n); key.Partition == 0 {
					keys[args[0]] = &keyState{key: key}
				}
			}
		case "send":
			fingerprint, _ := strconv.Atoi(args[2])
			d := w.daemon(instance.ID(args[1]))
			w.apply(d, w.send(d, keys[args[0]], request.Fingerprint(fingerprint)))
		default:
			w.command(t, words[0], args)
		}

		out.WriteString(strings.TrimSpace(line) + "\n")

		for _, effect := range w.out {
			out.WriteString("    " + effect + "\n")
		}

		w.out = nil
	}

	return out.String()
}

func (w *world) command(t *testing.T, name string, args []string) {
	var d *daemon
	if i := slices.IndexFunc(w.daemons, func(d *daemon) bool { return string(d.id) == args[0] }); i >= 0 {
		d = w.daemons[i]
	}

	number, _ := strconv.Atoi(args[0])

	switch name {
	case "advance":
		w.now = w.now.Add(duration(t, args[0]))
	case "rounds":
		w.rounds(number)
	case "tick":
		w.apply(d, Tick{})
	case "read":
		upTo := len(w.log)
		if args[1] != "" {
			upTo, _ = strconv.Atoi(args[1])
		}

		w.apply(d, w.read(d, uint64(upTo)))
	case "deliver", "repeat", "drop":
		count, _ := strconv.Atoi(args[1])
		for range max(1, count) {
			i := slices.IndexFunc(w.net, func(m message) bool { return m.label == args[0] })
			require.GreaterOrEqual(t, i, 0, "no message %s", args[0])

			m := w.net[i]
			if name != "repeat" {
				w.net = slices.Delete(w.net, i, i+1)
			}

			if name != "drop" {
				m.deliver()
			}
		}
	case "show":
		dump := d.state.Dump()
		w.out = append(w.out, fmt.Sprintf("%s: through=%d lost=%t keys=%d", d.id, dump.Through, dump.Lost, dump.Keys))
	case "finish":
		v, err := verdict.Parse(args[2])
		require.NoError(t, err)
		w.finish(d, request.ID(args[1]), v, 10)
	case "status":
		w.setMember(d, map[string]instance.Status{
			"alive": instance.Alive, "draining": instance.Draining, "dead": instance.Dead, "left": instance.Left,
		}[args[1]])

		for _, other := range w.daemons {
			w.apply(other, MembersChanged{Service: service, Members: slices.Clone(w.members)})
		}
	case "crash":
		w.restart(d, duration(t, args[1]))
	case "stop":
		w.stop(d, instance.Dead)
	case "drain":
		w.apply(d, DrainStarted{})
	case "pause":
		w.pause(d)
	case "wake":
		w.wake(d)
	case "outage":
		w.down = args[0] == "on"
	case "expire":
		w.first = uint64(number)
	default:
		require.Fail(t, "unknown command", name)
	}
}

func duration(t *testing.T, text string) time.Duration {
	if text == "" {
		return 0
	}

	d, err := time.ParseDuration(text)
	require.NoError(t, err)

	return d
}
