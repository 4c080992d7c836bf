// Package rgmetrics sets up loggers and metrics.
package rgmetrics

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// flushInterval is the interval at which tally passes counters to the reporter.
const flushInterval = time.Second

// durationBuckets are the upper limits of the histogram buckets in seconds, from short tasks to the longest deadline of a job.
var durationBuckets = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30}

// Metrics is a tally scope with an HTTP handler that serves its values in the Prometheus text format. Closer stops the
// reports of the scope.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	Closer  io.Closer
}

// New returns metrics with a new Prometheus registry.
func New() Metrics {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	rep := tallyprom.NewReporter(tallyprom.Options{
		Registerer: reg,
		Gatherer:   reg,
		// Histogram buckets can be summed over processes, unlike the quantiles of summaries.
		DefaultTimerType:        tallyprom.HistogramTimerType,
		DefaultHistogramBuckets: durationBuckets,
	})
	sco, clo := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "ragwortgap",
		CachedReporter: rep,
		Separator:      tallyprom.DefaultSeparator,
	}, flushInterval)
	return Metrics{Scope: sco, Handler: rep.HTTPHandler(), Closer: clo}
}

// NewLogger returns a logger that writes one JSON object per line to standard error.
func NewLogger() (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.EncoderConfig = encoderConfig()
	log, err := cfg.Build()
	return log, errors.Annotate(err, "create logger")
}

// encoderConfig returns the format of all log lines.
func encoderConfig() zapcore.EncoderConfig {
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey = "time"
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.MessageKey = "message"
	return enc
}
