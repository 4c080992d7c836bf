package rgmetrics

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// outputLines is the number of lines that may wait for a slow reader of the log.
	outputLines = 1024
	// linesPerSecond bounds the lines of one message. A decision that is made more often is counted by a metric.
	linesPerSecond = 20
)

// AsyncWriter buffers lines and writes them in a goroutine, so that logging never blocks. Lines that do not fit into the
// buffer are dropped and counted.
type AsyncWriter struct {
	// Done is closed when all lines before Close are written.
	Done    chan struct{}
	Dropped atomic.Uint64
	lines   chan []byte
}

// NewAsyncWriter starts a goroutine that writes buffered lines to the writer.
func NewAsyncWriter(wtr io.Writer) *AsyncWriter {
	aw := &AsyncWriter{Done: make(chan struct{}), lines: make(chan []byte, outputLines)}
	go func() {
		defer close(aw.Done)
		for lin := range aw.lines {
			// Where the log cannot be written, there is no other place to say so.
			_, _ = wtr.Write(lin)
		}
	}()
	return aw
}

// Write takes a copy of the line, or counts it as dropped.
func (aw *AsyncWriter) Write(lin []byte) (int, error) {
	select {
	case aw.lines <- append([]byte(nil), lin...):
	default:
		aw.Dropped.Add(1)
	}
	return len(lin), nil
}

// Sync does nothing; lines are written at once.
func (aw *AsyncWriter) Sync() error { return nil }

// Close waits until the lines are written. Nothing may be logged afterwards.
func (aw *AsyncWriter) Close() {
	close(aw.lines)
	<-aw.Done
}

// OpenRateLimitedLog returns a log that writes at most 20 lines per second for each message. The metric logLinesDropped
// counts the lines that exceed this rate.
func OpenRateLimitedLog(aw *AsyncWriter, sco tally.Scope) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding()), aw, zapcore.InfoLevel)
	dropped := sco.Counter("logLinesDropped")
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0,
		zapcore.SamplerHook(func(_ zapcore.Entry, dec zapcore.SamplingDecision) {
			if dec&zapcore.LogDropped > 0 {
				dropped.Inc(1)
			}
		})))
}
