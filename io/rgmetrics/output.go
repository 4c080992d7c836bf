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

// Output passes lines on to a writer without ever blocking those who log. Lines that find no place are counted.
type Output struct {
	// Done is closed when all lines before Close are written.
	Done    chan struct{}
	Dropped atomic.Uint64
	lines   chan []byte
}

// OpenOutput starts to pass lines on to the writer.
func OpenOutput(wtr io.Writer) *Output {
	out := &Output{Done: make(chan struct{}), lines: make(chan []byte, outputLines)}
	go func() {
		defer close(out.Done)
		for lin := range out.lines {
			// Where the log cannot be written, there is no other place to say so.
			_, _ = wtr.Write(lin)
		}
	}()
	return out
}

// Write takes a copy of the line, or counts it as dropped.
func (out *Output) Write(lin []byte) (int, error) {
	select {
	case out.lines <- append([]byte(nil), lin...):
	default:
		out.Dropped.Add(1)
	}
	return len(lin), nil
}

// Sync does nothing; lines are written at once.
func (out *Output) Sync() error { return nil }

// Close waits until the lines are written. Nothing may be logged afterwards.
func (out *Output) Close() {
	close(out.lines)
	<-out.Done
}

// OpenBoundedLog returns a log of at most 20 lines a second for each message, and counts what is left out in the metric
// logLinesDropped.
func OpenBoundedLog(out *Output, sco tally.Scope) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding()), out, zapcore.InfoLevel)
	dropped := sco.Counter("logLinesDropped")
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0,
		zapcore.SamplerHook(func(_ zapcore.Entry, dec zapcore.SamplingDecision) {
			if dec&zapcore.LogDropped > 0 {
				dropped.Inc(1)
			}
		})))
}
