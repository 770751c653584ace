// Command tarragonmill is the load balancer's daemon and the operators' tool.
package main

import (
	"context"
	"os"

	"github.com/tarragonmill/tarragonmill/internal/command"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/daemon"
)

func main() {
	os.Exit(command.Tarragonmill(context.Background(), os.Args, command.Streams{Out: os.Stdout, Err: os.Stderr},
		command.WithDaemon(daemon.Run), command.WithReplay(core.Replay)))
}
