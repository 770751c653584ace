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

var update = flag.Bool("keys.update", false, "rewrite the expected effects in testdata/traces")

// TestTraces guards against changed effects in the cases that the package comment lists. The scripts run in the
// simulation of TestModel, which also checks its invariants.
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

// runScript runs the commands of a script and returns them, each followed by the effects that it caused.
func runScript(t *testing.T, script string) string {
	var (
		sim  *simulation
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

			sim = newSimulation(t, map[string]int{}, ids...)
		case "key":
			issued := start.Add(duration(t, args[1])).UnixMilli()
			for n := uint32(len(keys)) << 16; keys[args[0]] == nil; n++ {
				if key := testKey(issued, n); key.Partition == 0 {
					keys[args[0]] = &keyState{key: key}
				}
			}
		case "send":
			fingerprint, _ := strconv.Atoi(args[2])
			d := sim.daemon(instance.ID(args[1]))
			sim.apply(d, sim.newCall(d, keys[args[0]], request.Fingerprint(fingerprint)))
		default:
			sim.runCommand(t, words[0], args)
		}

		out.WriteString(strings.TrimSpace(line) + "\n")

		for _, effect := range sim.output {
			out.WriteString("    " + effect + "\n")
		}

		sim.output = nil
	}

	return out.String()
}

// runCommand runs a command that needs neither a new simulation nor the keys of the script.
func (sim *simulation) runCommand(t *testing.T, name string, args []string) {
	var d *daemon
	if i := slices.IndexFunc(sim.daemons, func(d *daemon) bool { return string(d.id) == args[0] }); i >= 0 {
		d = sim.daemons[i]
	}

	number, _ := strconv.Atoi(args[0])

	switch name {
	case "advance":
		sim.now = sim.now.Add(duration(t, args[0]))
	case "rounds":
		sim.rounds(number)
	case "tick":
		sim.apply(d, Tick{})
	case "read":
		upTo := len(sim.log)
		if args[1] != "" {
			upTo, _ = strconv.Atoi(args[1])
		}

		sim.apply(d, sim.readLog(d, uint64(upTo)))
	case "deliver", "repeat", "drop":
		count, _ := strconv.Atoi(args[1])
		for range max(1, count) {
			i := slices.IndexFunc(sim.network, func(m message) bool { return m.label == args[0] })
			require.GreaterOrEqual(t, i, 0, "no message %s", args[0])

			m := sim.network[i]
			if name != "repeat" {
				sim.network = slices.Delete(sim.network, i, i+1)
			}

			if name != "drop" {
				m.deliver()
			}
		}
	case "show":
		dump := d.state.Dump()
		sim.output = append(sim.output,
			fmt.Sprintf("%s: through=%d lost=%t keys=%d", d.id, dump.Through, dump.Lost, dump.Keys))
	case "finish":
		v, err := verdict.Parse(args[2])
		require.NoError(t, err)
		sim.finish(d, request.ID(args[1]), v, 10)
	case "status":
		sim.setMember(d, map[string]instance.Status{
			"alive": instance.Alive, "draining": instance.Draining, "dead": instance.Dead, "left": instance.Left,
		}[args[1]])

		for _, other := range sim.daemons {
			sim.apply(other, MembersChanged{Service: service, Members: slices.Clone(sim.members)})
		}
	case "crash":
		sim.restart(d, duration(t, args[1]))
	case "stop":
		sim.stop(d, instance.Dead)
	case "drain":
		sim.apply(d, DrainStarted{})
	case "pause":
		sim.pause(d)
	case "wake":
		sim.wake(d)
	case "outage":
		sim.logDown = args[0] == "on"
	case "expire":
		sim.firstOffset = uint64(number)
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
