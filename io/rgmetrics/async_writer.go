package rgmetrics

import (
	"io"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// bufferedLines is the number of lines that are buffered for a slow reader of the log.
	bufferedLines = 1024
	// maxLinesPerSecond is the rate limit for each message. Events that happen more often are counted by a metric.
	maxLinesPerSecond = 20
)

// AsyncWriter buffers lines and writes them in a goroutine, so logging never blocks. Lines that do not fit into the buffer
// are dropped.
type AsyncWriter struct {
	// Done is closed when all lines that were buffered before Close are written.
	Done chan struct{}
	// dropped is the metric logLinesDropped.
	dropped tally.Counter
	lines   chan []byte
}

// NewAsyncWriter starts a goroutine that writes buffered lines to the writer. The metric logLinesDropped counts the lines that
// do not fit into the buffer, and those that cannot be written.
func NewAsyncWriter(wtr io.Writer, sco tally.Scope) *AsyncWriter {
	aw := &AsyncWriter{
		Done: make(chan struct{}), dropped: sco.Counter("logLinesDropped"), lines: make(chan []byte, bufferedLines),
	}
	go func() {
		defer close(aw.Done)
		for lin := range aw.lines {
			// A write error can only be counted, because the log itself is the place to report it.
			if _, err := wtr.Write(lin); err != nil {
				aw.dropped.Inc(1)
			}
		}
	}()
	return aw
}

// Write buffers a copy of the line, or counts the line as dropped if the buffer is full.
func (aw *AsyncWriter) Write(lin []byte) (int, error) {
	select {
	case aw.lines <- append([]byte(nil), lin...):
	default:
		aw.dropped.Inc(1)
	}
	return len(lin), nil
}

// Sync does nothing, because lines are written without further buffering.
func (aw *AsyncWriter) Sync() error { return nil }

// Close waits until all buffered lines are written. Write must not be called afterwards.
func (aw *AsyncWriter) Close() {
	close(aw.lines)
	<-aw.Done
}

// NewRateLimitedLogger returns a logger that writes at most maxLinesPerSecond lines per second for each message. Lines that
// exceed this rate are counted like those that do not fit into the buffer.
func NewRateLimitedLogger(aw *AsyncWriter) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), aw, zapcore.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerSecond, 0,
		zapcore.SamplerHook(func(_ zapcore.Entry, dec zapcore.SamplingDecision) {
			if dec&zapcore.LogDropped > 0 {
				aw.dropped.Inc(1)
			}
		})))
}
