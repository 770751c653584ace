package logrelay_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/config/follower"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
)

var update = flag.Bool("update", false, "rewrite the expected effects under testdata/traces")

// script runs one daemon on events from a file and prints its effects.
type script struct {
	t     *testing.T
	out   strings.Builder
	now   time.Duration
	state *follower.State
	reads int
}

// maxReads is the number of reads printed per line, to keep the files short.
const maxReads = 3

func (s *script) at() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

func (s *script) print(effects []follower.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case logrelay.Append:
			text := string(e.Data)
			if decoded, err := record.DecodeConfig(e.Data); err == nil {
				text = fmt.Sprintf("%+v", decoded)
			}

			fmt.Fprintf(&s.out, "%v Append %s\n", s.now, text)

			continue
		case logrelay.Read:
			if s.reads++; s.reads > maxReads {
				continue
			}
		}

		name := strings.TrimPrefix(fmt.Sprintf("%T", effect), "logrelay.")
		fmt.Fprintf(&s.out, "%v %s %+v\n", s.now, name, effect)
	}
}

func (s *script) apply(event logrelay.Event) { s.print(s.state.Apply(s.at(), event)) }

// records reads "publish:id:base:manifest", "snapshot:version:through:manifest" and "other:text".
func (s *script) records(offset uint64, words []string) (records []logservice.Record) {
	for i, word := range words {
		parts := strings.Split(word, ":")

		var (
			data []byte
			n, m uint64
		)

		switch parts[0] {
		case "publish":
			_, err := fmt.Sscan(parts[2], &n)
			require.NoError(s.t, err)

			data = record.EncodeConfig(record.Publish{ID: parts[1], Base: n, Manifest: parts[3]})
		case "snapshot":
			_, err := fmt.Sscan(parts[1]+" "+parts[2], &n, &m)
			require.NoError(s.t, err)

			data = record.EncodeConfig(record.Snapshot{Version: n, Through: m, Manifest: parts[3], ID: "s"})
		default:
			data = []byte(parts[1])
		}

		records = append(records, logservice.Record{Offset: offset + uint64(i), Data: data})
	}

	return records
}

func (s *script) run(line string) {
	words := strings.Fields(line)
	if len(words) == 0 || words[0] == "#" {
		return
	}

	fmt.Fprintln(&s.out, ">", line)

	s.reads = 0

	var first, from, next uint64

	switch words[0] {
	case "until":
		end, err := time.ParseDuration(words[1])
		require.NoError(s.t, err)

		for s.now < end {
			s.now += logrelay.TickInterval
			s.apply(logrelay.Tick{})

			if s.now%config.TickInterval == 0 {
				s.print(s.state.Configure(s.at(), config.Tick{}))
			}
		}
	case "relay":
		s.print(s.state.ChangeRole(s.at(), true))
	case "neighbours":
		var ids []instance.ID
		for _, word := range words[1:] {
			ids = append(ids, instance.ID(word))
		}

		s.apply(logrelay.NeighboursChanged{Neighbours: ids})
	case "heard":
		_, err := fmt.Sscan(words[2], &next)
		require.NoError(s.t, err)
		s.apply(logrelay.ThroughsHeard{
			From: instance.ID(words[1]), Throughs: []logrelay.Through{{Stream: record.ConfigStream, Offset: next}},
		})
	case "read-failed":
		s.apply(logrelay.ReadEnded{Stream: record.ConfigStream, Failed: true})
	case "read":
		_, err := fmt.Sscanf(strings.Join(words[1:4], " "), "first=%d from=%d next=%d", &first, &from, &next)
		require.NoError(s.t, err)
		s.apply(logrelay.ReadEnded{Stream: record.ConfigStream, Page: logservice.Page{
			First: first, Records: s.records(from, words[4:]), Next: next,
		}})
	case "pulled":
		_, err := fmt.Sscanf(words[2], "through=%d", &from)
		require.NoError(s.t, err)

		peer, page := instance.ID(words[1]), logrelay.Page{Through: from}

		words = words[3:]
		if base, found := strings.CutPrefix(words[0], "base="); found {
			page.Base, words = s.records(0, []string{base})[0].Data, words[1:]
		}

		page.Records = s.records(from, words)
		s.apply(logrelay.PullEnded{Stream: record.ConfigStream, Peer: peer, Page: page})
	case "append":
		s.apply(logrelay.AppendRequested{Token: 1, Stream: record.ConfigStream, Data: []byte(words[1])})
	case "appended":
		_, err := fmt.Sscan(words[1]+" "+words[2], &first, &next)
		require.NoError(s.t, err)
		s.apply(logrelay.AppendEnded{Token: first, Offset: next})
	case "append-refused":
		s.apply(logrelay.AppendEnded{Token: 1, Failed: true, Effect: logservice.NotAppended})
	case "append-lost":
		s.apply(logrelay.AppendEnded{Token: 1, Failed: true, Effect: logservice.MayBeAppended})
	default:
		s.t.Fatalf("unknown word %q", words[0])
	}
}

// Guards the order and time of single decisions, which the state-machine test does not pin down. Each
// file says in its comment which failure it is about.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)

	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			require.NoError(t, err)

			relay := logrelay.New(logrelay.WithStreams(logrelay.Stream{Name: record.ConfigStream}))
			s := &script{t: t, state: follower.New(relay, config.New(config.WithValidation(validate)), 1)}

			for _, line := range strings.Split(string(archive.Files[0].Data), "\n") {
				s.run(line)
			}

			if *update {
				archive.Files = []txtar.File{archive.Files[0], {Name: "effects", Data: []byte(s.out.String())}}
				require.NoError(t, os.WriteFile(file, txtar.Format(archive), 0o600))

				return
			}

			require.Equal(t, string(archive.Files[1].Data), s.out.String())
		})
	}
}
