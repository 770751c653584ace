package command_test

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/command"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/internal/trace"
)

func run(args []string, options ...command.Option) (code int, stdout, stderr string) {
	var out, log bytes.Buffer

	code = command.Tarragonmill(context.Background(), append([]string{"tarragonmill"}, args...),
		command.Streams{Out: &out, Err: &log}, options...)

	return code, out.String(), log.String()
}

// Guards against a daemon that starts with invalid settings, or although only --check was requested.
func TestDaemon(t *testing.T) {
	const good = "../settings/testdata/corpus/full.ini"

	starts := 0
	option := command.WithDaemon(func(
		_ context.Context, s settings.Settings, reload func() (settings.Settings, error), logger zerolog.Logger,
	) error {
		starts++

		logger.Debug().Msg("level of the settings")
		require.Equal(t, "stockdesk", s.Service)

		again, err := reload()
		require.NoError(t, err)
		require.True(t, again.Equal(s))

		return errors.New("address in use")
	})
	bad := filepath.Join(t.TempDir(), "bad.ini")
	require.NoError(t, os.WriteFile(bad, []byte("[instance]\nid = A\n"), 0o600))

	for _, test := range []struct {
		args   []string
		code   int
		starts int
		text   string
	}{
		{[]string{"daemon"}, 2, 0, "settings"},
		{[]string{"daemon", "--settings", bad}, 2, 0, `"line":2,"section":"instance","key":"id"`},
		{[]string{"daemon", "--settings", bad, "--check"}, 2, 0, "section is missing"},
		{[]string{"daemon", "--settings", "absent.ini"}, 2, 0, "absent.ini"},
		{[]string{"daemon", "--settings", good, "more"}, 2, 0, "unexpected argument"},
		{[]string{"daemon", "--settings", good, "--check"}, 0, 0, "valid"},
		{[]string{"daemon", "--settings", good}, 1, 1, "level of the settings"},
	} {
		starts = 0
		code, stdout, stderr := run(test.args, option)
		require.Equal(t, test.code, code, "%v", test.args)
		require.Equal(t, test.starts, starts, "%v", test.args)
		require.Contains(t, stdout+stderr, test.text)
	}
}

// Guards against a replay that differs from its recording and whose exit code means success or an invalid file.
func TestReplay(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trace.jsonl")
	require.NoError(t, os.WriteFile(path, []byte("recording"), 0o600))

	for _, test := range []struct {
		result trace.Result
		err    error
		code   int
		stdout string
	}{
		{trace.Result{Events: 3, Checked: 3, End: trace.EndLimit}, nil, 0, "3 events, 3 compared and equal"},
		{trace.Result{}, &trace.Difference{Line: 4, Event: "x", Want: []string{"a"}, Got: []string{"b"}}, 1, "line 4"},
		{trace.Result{}, trace.ErrIncomplete, 2, ""},
	} {
		code, stdout, _ := run([]string{"replay", path}, command.WithReplay(func(in io.ReadSeeker) (trace.Result, error) {
			text, err := io.ReadAll(in)
			require.NoError(t, err)
			require.Equal(t, "recording", string(text))

			return test.result, test.err
		}))
		require.Equal(t, test.code, code)
		require.Contains(t, stdout, test.stdout)
	}
}
