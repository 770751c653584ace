package command

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/admin"
)

const adminFlag, keyFlag, jsonFlag = "admin", "key", "json"

const (
	// dumpTimeout bounds the request for a state dump.
	dumpTimeout = 10 * time.Second
	maxDumpSize = 64 << 20 // bytes
)

func dumpCommand() *cli.Command {
	return &cli.Command{
		Name:   "dump",
		Usage:  "print the state of a daemon",
		Action: printDump,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: adminFlag, Usage: "admin `ADDRESS` of the daemon", Required: true},
			// The key is in a file because all users of the instance can read the command line.
			&cli.StringFlag{Name: keyFlag, Usage: "`FILE` with the fleet's key, for a daemon on another instance"},
			&cli.BoolFlag{Name: jsonFlag, Usage: "print the JSON that the daemon sends"},
		},
	}
}

func printDump(ctx context.Context, c *cli.Command) error {
	if err := requireNoArguments(c); err != nil {
		return err
	}

	data, err := fetchDump(ctx, c.String(adminFlag), c.String(keyFlag))
	if err != nil {
		return err
	}

	if c.Bool(jsonFlag) {
		_, err = c.Root().Writer.Write(data)

		return errors.Wrap(err, "write dump")
	}

	return admin.Print(c.Root().Writer, data)
}

func fetchDump(ctx context.Context, address, keyFile string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", http.NoBody)
	if err != nil {
		return nil, usageError(errors.Wrap(err, "admin address"))
	}

	if keyFile != "" {
		key, err := os.ReadFile(keyFile)
		if err != nil {
			return nil, usageError(errors.Wrap(err, "read key"))
		}

		request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(key)))
	}

	// This transport connects to the daemon directly and ignores a proxy in the environment.
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "request the state dump")
	}
	defer func() { _ = response.Body.Close() }()

	data, err := io.ReadAll(io.LimitReader(response.Body, maxDumpSize))
	if err != nil {
		return nil, errors.Wrap(err, "read dump")
	}

	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("the daemon answered %s: %s", response.Status, strings.TrimSpace(string(data)))
	}

	return data, nil
}
