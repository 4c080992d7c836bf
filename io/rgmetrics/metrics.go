// Package rgmetrics sets up logs and metrics.
package rgmetrics

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
)

// flushInterval is how often tally passes counters on to the reporter.
const flushInterval = time.Second

// Metrics is a scope whose values are served in the Prometheus text format.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	Closer  io.Closer
}

// Open returns metrics with their own registry.
func Open() Metrics {
	reg := prometheus.NewRegistry()
	rep := tallyprom.NewReporter(tallyprom.Options{Registerer: reg, Gatherer: reg})
	sco, clo := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "ragwortgap",
		CachedReporter: rep,
		Separator:      tallyprom.DefaultSeparator,
	}, flushInterval)
	return Metrics{Scope: sco, Handler: rep.HTTPHandler(), Closer: clo}
}

// OpenLog returns a log that writes one JSON object a line to standard error.
func OpenLog() (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	log, err := cfg.Build()
	return log, errors.Annotate(err, "open log")
}
