package admin

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally updates the exported values; those at /metrics are at most this old.
const reportInterval = 2 * time.Second

// Metrics is a tally scope whose values are served in the Prometheus text format.
type Metrics struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics whose names start with prefix and which all have the given tags. Close ends the reporting
// goroutine. A metric that cannot be registered, for example because its name is used with other tags, is logged and
// not exported. NewMetrics returns an error if the metrics of the process cannot be registered.
func NewMetrics(prefix string, tags map[string]string, logger zerolog.Logger) (*Metrics, error) {
	registry := prom.NewRegistry()
	// Memory, goroutines and CPU time of the process, to compare them with the target per daemon.
	for _, collector := range []prom.Collector{
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	} {
		if err := registry.Register(collector); err != nil {
			return nil, errors.Wrap(err, "register collector")
		}
	}

	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: prometheus.HistogramTimerType,
		OnRegisterError:  func(err error) { logger.Error().Err(err).Msg("metric was not registered") },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Tags:                   tags,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, reportInterval)

	return &Metrics{scope: scope, handler: reporter.HTTPHandler(), closer: closer}, nil
}

// sanitizer returns options that keep printable characters in the values of labels. The default options would change
// instance IDs such as "stockdesk-03".
func sanitizer() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}}

	return &options
}

// Scope returns the scope in which metrics are created.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler returns the handler that serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close exports the last values and ends the reporting.
func (m *Metrics) Close() error { return errors.Wrap(m.closer.Close(), "close metrics") }
