package rgexecutor

import (
	"testing"
	"time"
)

// TestNotify guards against an entry that is never told that an executor takes work again, because it places nothing there
// and so nothing changes there; against entries that are told more often than they ask for; and against a sidecar with
// tasks that looks lost.
func TestNotify(t *testing.T) {
	now := time.Unix(1000, 0)
	const distant = 300 * time.Millisecond
	at := func(before time.Duration) time.Time { return now.Add(-before) }
	tests := map[string]struct {
		until    time.Time
		link     EntryConn
		work     bool
		ended    bool
		wantSent bool
		wantLoad bool
	}{
		"pause is over": {
			until: at(time.Second), link: EntryConn{LastReported: at(time.Millisecond), LastSent: at(time.Millisecond)},
			wantSent: true, wantLoad: true,
		},
		"pause has begun": {
			until: at(-time.Second), link: EntryConn{LastReported: at(time.Millisecond), LastSent: at(time.Millisecond), ReportedUsable: true},
			wantSent: true, wantLoad: true,
		},
		"pause goes on": {
			until: at(-time.Second), link: EntryConn{LastReported: at(time.Second), LastSent: at(time.Millisecond)},
		},
		"nothing new": {
			link: EntryConn{LastReported: at(time.Second), LastSent: at(time.Millisecond), ReportedUsable: true},
		},
		"nothing new for a while": {
			link: EntryConn{LastReported: at(time.Second), LastSent: at(90 * time.Millisecond), ReportedUsable: true}, wantSent: true,
		},
		"change, told a moment ago": {
			link: EntryConn{LastReported: at(time.Millisecond), LastSent: at(time.Millisecond), ReportedUsable: true, LoadChanged: true},
		},
		"change, told some time ago": {
			link: EntryConn{LastReported: at(30 * time.Millisecond), ReportedUsable: true, LoadChanged: true}, wantSent: true, wantLoad: true,
		},
		"not usable, told a moment ago": {
			until: at(-time.Second), link: EntryConn{LastReported: at(time.Millisecond), LastSent: at(time.Millisecond), LoadChanged: true},
		},
		"change, asked for less often": {
			link: EntryConn{
				ReportInterval: distant, LastReported: at(100 * time.Millisecond), LastSent: at(time.Millisecond),
				ReportedUsable: true, LoadChanged: true,
			},
		},
		"no news for a distant entry": {
			link: EntryConn{ReportInterval: distant, LastReported: at(time.Second), LastSent: at(200 * time.Millisecond), ReportedUsable: true},
		},
		"no news for a distant entry with a task": {
			link: EntryConn{ReportInterval: distant, LastReported: at(time.Second), LastSent: at(90 * time.Millisecond), ReportedUsable: true},
			work: true, wantSent: true,
		},
		"end of a task": {
			link: EntryConn{
				ReportInterval: distant, LastReported: at(time.Millisecond), LastSent: at(time.Millisecond), ReportedUsable: true, LoadChanged: true,
			},
			ended: true, wantSent: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			con := tc.link
			con.ReportedEarlierRunsEnded = true
			sta := &State{Phase: PhaseServing, Health: Health{PausedUntil: tc.until}, Conns: map[ConnID]*EntryConn{benchLink: &con}}
			if tc.work {
				sta.Queue = []Assignment{{Conn: benchLink}}
			}
			var ended []ConnID
			if tc.ended {
				ended = []ConnID{benchLink}
			}
			ntfs := Notify(sta, now, ended)
			if got := len(ntfs) > 0; got != tc.wantSent {
				t.Fatalf("sent %v, want %v", got, tc.wantSent)
			}
			if tc.wantSent && (ntfs[0].Report != nil) != tc.wantLoad {
				t.Errorf("load %v, want one: %v", ntfs[0].Report, tc.wantLoad)
			}
		})
	}
}
