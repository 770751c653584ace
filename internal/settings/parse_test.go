package settings_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/ini"
	"github.com/tarragonmill/tarragonmill/internal/settings"
)

// Guards against a setting that is read into the wrong field or replaced by a default without an error.
func TestLoad(t *testing.T) {
	s, err := settings.Load("testdata/corpus/full.ini")
	require.NoError(t, err)

	parseAddress := netip.MustParseAddrPort
	require.Equal(t, settings.Settings{
		ID:      "stockdesk-03",
		Service: "stockdesk",
		Place:   s.Place,
		Listen: settings.Listen{
			Caller: parseAddress("0.0.0.0:8080"), Peer: parseAddress("[::1]:8081"), Admin: parseAddress("127.0.0.1:8082"),
		},
		Advertise: parseAddress("10.0.0.3:8081"),
		Seeds:     []netip.AddrPort{parseAddress("10.0.0.4:8081"), parseAddress("10.0.0.5:8081")},
		Key:       "correct horse # battery",
		Backend: settings.Backend{
			Address: parseAddress("127.0.0.1:7000"), Slots: 6, Queue: 0, Connections: 100,
			Health: "/health", Interval: 250 * time.Millisecond, Backlog: 2,
		},
		Store: parseAddress("10.0.0.9:9000"),
		Trace: settings.Trace{File: "trace.jsonl", Limit: 10 << 20},
		Level: "debug",

		Fields: settings.OwnFields,
		Limits: settings.Limits{Memory: 184_000_000, Connections: 2000, Fields: 4000, Rate: 2 << 10},
		Repeat: settings.Repeat{Share: 0.1, Slack: 10, Window: 10 * time.Second},
		Grace:  30 * time.Second,
	}, s)
	require.Equal(t, "west-lakes", s.Place.Region)
	require.Equal(t, "milwaukee", s.Place.Domain)
}

// Guards against a crash on malformed input, and against errors without a line number.
func FuzzParse(f *testing.F) {
	paths, err := filepath.Glob("testdata/corpus/*.ini")
	require.NoError(f, err)
	require.NotEmpty(f, paths)

	for _, path := range paths {
		data, err := os.ReadFile(path)
		require.NoError(f, err)
		f.Add(data)
	}

	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse("fuzz.ini", data)

		var fault *ini.Error
		require.True(t, err == nil || errors.As(err, &fault) && fault.Line > 0, "%v", err)
	})
}

// Guards against limits on hedged attempts that are ignored, out of bounds, or without effect.
func TestHedge(t *testing.T) {
	data, err := os.ReadFile("testdata/corpus/full.ini")
	require.NoError(t, err)

	const onPlatform = "\n[callers]\nfields = platform\n"

	for _, test := range []struct {
		added, message string
		want           settings.Hedge
	}{
		{onPlatform, "", settings.Hedge{}},
		{onPlatform + "[hedge]\nshare = 0.05\nwork = 0.1\n", "", settings.Hedge{Share: 0.05, Quantile: 0.95, Work: 0.1}},
		{
			onPlatform + "[hedge]\nshare = 0.05\nwork = 0.1\nquantile = 0.9\n", "",
			settings.Hedge{Share: 0.05, Quantile: 0.9, Work: 0.1},
		},
		{onPlatform + "[hedge]\nshare = 0.05\n", "[hedge] share", settings.Hedge{}},
		{onPlatform + "[hedge]\nwork = 0.05\n", "[hedge] work", settings.Hedge{}},
		{onPlatform + "[hedge]\nshare = 0.6\nwork = 0.1\n", "[hedge] share", settings.Hedge{}},
		{onPlatform + "[hedge]\nshare = 0.1\nwork = 0.1\nquantile = 0.4\n", "[hedge] quantile", settings.Hedge{}},
		{"\n[hedge]\nshare = 0.05\nwork = 0.1\n", "the manifest sets these limits", settings.Hedge{}},
	} {
		s, err := settings.Parse("s.ini", append(data[:len(data):len(data)], test.added...))
		if test.message != "" {
			require.ErrorContains(t, err, test.message)

			continue
		}

		require.NoError(t, err)
		require.Equal(t, test.want, s.Hedge)

		without := s
		without.Hedge = settings.Hedge{}
		require.True(t, settings.CanReload(s, without))
	}
}
