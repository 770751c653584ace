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
	dumpTime = 10 * time.Second
	maxDump  = 64 << 20 // bytes
)

func dumpCommand() *cli.Command {
	return &cli.Command{
		Name:   "dump",
		Usage:  "print the state of a daemon",
		Action: dump,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: adminFlag, Usage: "admin `ADDRESS` of the daemon", Required: true},
			// A key on the command line would be visible to every user of the instance.
			&cli.StringFlag{Name: keyFlag, Usage: "`FILE` with the fleet's key, for a daemon on another instance"},
			&cli.BoolFlag{Name: jsonFlag, Usage: "print JSON as the daemon sent it"},
		},
	}
}

func dump(ctx context.Context, c *cli.Command) error {
	if err := noArguments(c); err != nil {
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
	ctx, cancel := context.WithTimeout(ctx, dumpTime)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", http.NoBody)
	if err != nil {
		return nil, usage(errors.Wrap(err, "admin address"))
	}

	if keyFile != "" {
		key, err := os.ReadFile(keyFile)
		if err != nil {
			return nil, usage(errors.Wrap(err, "read key"))
		}

		request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(key)))
	}

	// The daemon is reached directly, never through a proxy of the environment.
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "ask the daemon")
	}
	defer func() { _ = response.Body.Close() }()

	data, err := io.ReadAll(io.LimitReader(response.Body, maxDump))
	if err != nil {
		return nil, errors.Wrap(err, "read dump")
	}

	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("the daemon answered %s: %s", response.Status, strings.TrimSpace(string(data)))
	}

	return data, nil
}
