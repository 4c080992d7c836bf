package rgmetrics

import (
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

type (
	// stuckWriter blocks until it is released.
	stuckWriter struct {
		release chan struct{}
		text    strings.Builder
	}
)

func (sw *stuckWriter) Write(lin []byte) (int, error) {
	<-sw.release
	return sw.text.Write(lin)
}

// TestOutput guards against a process that stands still because nobody reads its log, and against a flood of lines.
func TestOutput(t *testing.T) {
	tests := map[string]struct {
		messages int
		lines    int
		dropped  bool
	}{
		"few lines":                      {messages: 5, lines: 5},
		"one message many times":         {messages: 500, lines: linesPerSecond},
		"more than the outbox can carry": {messages: 3 * outputLines, lines: outputLines + 1, dropped: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			wtr := &stuckWriter{release: make(chan struct{})}
			aw := NewAsyncWriter(wtr)
			log := OpenRateLimitedLog(aw, tally.NoopScope)
			for i := range tc.messages {
				if tc.dropped {
					// Different messages are not bounded together.
					log.Info(strings.Repeat("x", i))
				} else {
					log.Info("same", zap.Int("i", i))
				}
			}
			close(wtr.release)
			aw.Close()
			if got := strings.Count(wtr.text.String(), "\n"); got > tc.lines || !tc.dropped && got < min(tc.lines, tc.messages) {
				t.Errorf("%d lines, want %d", got, tc.lines)
			}
			if got := aw.Dropped.Load() > 0; got != tc.dropped {
				t.Errorf("dropped %v, want %v", got, tc.dropped)
			}
		})
	}
}
