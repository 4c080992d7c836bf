package rgmetrics

import (
	"strings"
	"syscall"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

type (
	// blockedWriter blocks writes until release is closed. With an error, it writes nothing.
	blockedWriter struct {
		release chan struct{}
		err     error
		text    strings.Builder
	}
)

func (bw *blockedWriter) Write(lin []byte) (int, error) {
	<-bw.release
	if bw.err != nil {
		return 0, bw.err
	}
	return bw.text.Write(lin)
}

// TestAsyncWriter guards against a process that blocks while its log is not read, against one repeated message that fills the
// log, and against lines that are left out and not counted.
func TestAsyncWriter(t *testing.T) {
	tests := map[string]struct {
		messages  int
		wantLines int
		wantDrop  bool
		err       error
	}{
		"few lines":                     {messages: 5, wantLines: 5},
		"one message many times":        {messages: 500, wantLines: maxLinesPerSecond},
		"more than the buffer can hold": {messages: 3 * bufferedLines, wantLines: bufferedLines + 1, wantDrop: true},
		"reader of the log has gone":    {messages: 5, err: syscall.EPIPE},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			wtr := &blockedWriter{release: make(chan struct{}), err: tc.err}
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
