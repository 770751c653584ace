package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
)

// added compares calls through two daemons with direct calls to a backend server, alternating in one run
// so that both meet the same load of the machine. A call whose entry is beside the server passes one
// daemon only; the entry is of another service here, so that every call passes two.
func added(ctx context.Context, out io.Writer, options Options) error {
	f, err := fleet.Start(ctx, nodes(2*serversPerUnit))
	if err != nil {
		return err
	}

	if _, err := f.Publish(ctx, fleet.Manifest); err != nil {
		return errors.CombineErrors(err, f.Stop())
	}

	entry := f.Instances[serversPerUnit].Caller() + "/stock/1"
	direct := "http://" + f.Instances[0].Settings.Backend.Address.String() + "/stock/1"
	client := fleet.Client()
	through, alone := newHistogram(), newHistogram()
	ticker := time.NewTicker(time.Second / time.Duration(options.Rate))

	defer ticker.Stop()

	for range options.Calls {
		<-ticker.C

		if err := call(ctx, client, direct, alone); err != nil {
			return errors.CombineErrors(err, f.Stop())
		}

		if err := call(ctx, client, entry, through); err != nil {
			return errors.CombineErrors(err, f.Stop())
		}
	}

	for _, q := range []float64{50, 99, 99.9} {
		with, without := micros(through, q), micros(alone, q)
		_, _ = fmt.Fprintf(out, "call p%g: direct %v, through two daemons %v, difference %v\n", q, without, with, with-without)
	}

	return f.Stop()
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func micros(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func call(ctx context.Context, client *http.Client, url string, times *hdrhistogram.Histogram) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build call")
	}

	r.Host = "stockdesk"
	begun := time.Now()

	response, err := client.Do(r)
	if err != nil {
		return errors.Wrap(err, "call")
	}

	defer func() { _ = response.Body.Close() }()

	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		return errors.Newf("call answered %d: %v", response.StatusCode, err)
	}

	return errors.Wrap(times.RecordValue(time.Since(begun).Microseconds()), "record call")
}
