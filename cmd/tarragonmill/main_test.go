package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/tarragonmill/tarragonmill/internal/admin"
	"github.com/tarragonmill/tarragonmill/internal/command"
	"github.com/tarragonmill/tarragonmill/internal/standin/store"
)

var update = flag.Bool("update", false, "update the expected output in the scripts")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tarragonmill": main,
		"standin": func() {
			os.Exit(command.Standin(context.Background(), os.Args, command.Streams{Out: os.Stdout, Err: os.Stderr}))
		},
	})
}

// Guards against changes of arguments, output and exit codes that pipelines depend on. The scripts use a log service at
// $LOG, one that is down at $NOLOG, and an admin address of a daemon at $ADMIN.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		UpdateScripts:       *update,
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			log := httptest.NewServer(store.New().Handler())
			env.Defer(log.Close)
			env.Setenv("LOG", log.URL)

			unavailable := store.New()
			unavailable.SetFaults(store.Faults{Down: store.Reset})
			noLog := httptest.NewServer(unavailable.Handler())
			env.Defer(noLog.Close)
			env.Setenv("NOLOG", noLog.URL)

			adminServer := httptest.NewServer(admin.New("", admin.WithDump(func(context.Context) (any, error) {
				data, err := os.ReadFile(filepath.Join(env.WorkDir, "dump.json"))

				return json.RawMessage(data), err
			})).Handler())
			env.Defer(adminServer.Close)
			env.Setenv("ADMIN", strings.TrimPrefix(adminServer.URL, "http://"))

			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"code": runWithExitCode},
	})
}

// runWithExitCode implements "code CODE COMMAND ARGUMENTS...". It runs the command, which must end with the exit code.
func runWithExitCode(ts *testscript.TestScript, _ bool, args []string) {
	const codeAndCommand = 2
	if len(args) < codeAndCommand {
		ts.Fatalf("usage: code CODE COMMAND ARGUMENTS...")
	}

	want, err := strconv.Atoi(args[0])
	ts.Check(err)

	var exit *exec.ExitError

	switch err := ts.Exec(args[1], args[2:]...); {
	case err == nil && want == 0:
	case errors.As(err, &exit) && exit.ExitCode() == want:
	default:
		ts.Fatalf("want exit code %d: %v", want, err)
	}
}
