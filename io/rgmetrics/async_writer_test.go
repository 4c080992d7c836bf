package rgmetrics

import (
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

type (
	// blockedWriter blocks writes until release is closed.
	blockedWriter struct {
		release chan struct{}
		text    strings.Builder
	}
)

func (bw *blockedWriter) Write(lin []byte) (int, error) {
	<-bw.release
	return bw.text.Write(lin)
}

// TestAsyncWriter guards against a process that blocks while its log is not read, against one repeated message that fills the
// log, and against lines that are left out and not counted.
func TestAsyncWriter(t *testing.T) {
	tests := map[string]struct {
		messages  int
		wantLines int
		wantDrop  bool
	}{
		"few lines":                     {messages: 5, wantLines: 5},
		"one message many times":        {messages: 500, wantLines: maxLinesPerSecond},
		"more than the buffer can hold": {messages: 3 * bufferedLines, wantLines: bufferedLines + 1, wantDrop: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			wtr := &blockedWriter{release: make(chan struct{})}
			sco := tally.NewTestScope("", nil)
			aw := NewAsyncWriter(wtr, sco)
			log := NewRateLimitedLogger(aw)
			for i := range tc.messages {
				if tc.wantDrop {
					// The rate limit applies to each message, so distinct messages are not limited.
					log.Info(strings.Repeat("x", i))
				} else {
					log.Info("same", zap.Int("i", i))
				}
			}
			close(wtr.release)
			aw.Close()
			got := strings.Count(wtr.text.String(), "\n")
			if got > tc.wantLines || !tc.wantDrop && got < min(tc.wantLines, tc.messages) {
				t.Errorf("%d lines, want %d", got, tc.wantLines)
			}
			if cou := sco.Snapshot().Counters()["logLinesDropped+"].Value(); cou != int64(tc.messages-got) {
				t.Errorf("%d of %d lines written, logLinesDropped is %d", got, tc.messages, cou)
			}
		})
	}
}
