package command_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/command"
	"github.com/tarragonmill/tarragonmill/internal/settings"
)

const hangupSettings = `[instance]
id = stock-1
service = stock
region = lakes
domain = milwaukee
[listen]
caller = 127.0.0.1:8080
peer = 127.0.0.1:8081
admin = 127.0.0.1:8082
[peer]
advertise = 127.0.0.1:8081
key = 0123456789abcdef
[backend]
address = 127.0.0.1:7000
slots = 6
queue = 12
[log]
url = http://127.0.0.1:9000
`

// TestHangupAtStart guards against a SIGHUP that kills a daemon before it handles the signal. If the test fails, the
// signal kills the test process.
func TestHangupAtStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(path, []byte(hangupSettings), 0o600))

	run := func(context.Context, settings.Settings, func() (settings.Settings, error), zerolog.Logger) error {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		// The signal is delivered during this pause.
		time.Sleep(100 * time.Millisecond)

		return nil
	}

	var out, failed strings.Builder

	code := command.Tarragonmill(t.Context(), []string{"tarragonmill", "daemon", "--settings", path},
		command.Streams{Out: &out, Err: &failed}, command.WithDaemon(run))
	require.Zero(t, code, failed.String())
}
