// Command standin runs stand-ins for the log service and for backend servers, and soak tests.
package main

import (
	"context"
	"os"

	"github.com/tarragonmill/tarragonmill/internal/command"
)

func main() {
	os.Exit(command.Standin(context.Background(), os.Args, command.Streams{Out: os.Stdout, Err: os.Stderr}))
}
