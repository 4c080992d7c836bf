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
			until: at(time.Second), link: EntryConn{Loaded: at(time.Millisecond), Told: at(time.Millisecond)},
			wantSent: true, wantLoad: true,
		},
		"pause has begun": {
			until: at(-time.Second), link: EntryConn{Loaded: at(time.Millisecond), Told: at(time.Millisecond), Usable: true},
			wantSent: true, wantLoad: true,
		},
		"pause goes on":             {until: at(-time.Second), link: EntryConn{Loaded: at(time.Second), Told: at(time.Millisecond)}},
		"nothing new":               {link: EntryConn{Loaded: at(time.Second), Told: at(time.Millisecond), Usable: true}},
		"nothing new for a while":   {link: EntryConn{Loaded: at(time.Second), Told: at(90 * time.Millisecond), Usable: true}, wantSent: true},
		"change, told a moment ago": {link: EntryConn{Loaded: at(time.Millisecond), Told: at(time.Millisecond), Usable: true, Changed: true}},
		"change, told some time ago": {
			link: EntryConn{Loaded: at(30 * time.Millisecond), Usable: true, Changed: true}, wantSent: true, wantLoad: true,
		},
		"not usable, told a moment ago": {
			until: at(-time.Second), link: EntryConn{Loaded: at(time.Millisecond), Told: at(time.Millisecond), Changed: true},
		},
		"change, asked for less often": {
			link: EntryConn{ReportInterval: distant, Loaded: at(100 * time.Millisecond), Told: at(time.Millisecond), Usable: true, Changed: true},
		},
		"no news for a distant entry": {
			link: EntryConn{ReportInterval: distant, Loaded: at(time.Second), Told: at(200 * time.Millisecond), Usable: true},
		},
		"no news for a distant entry with a task": {
			link: EntryConn{ReportInterval: distant, Loaded: at(time.Second), Told: at(90 * time.Millisecond), Usable: true},
			work: true, wantSent: true,
		},
		"end of a task": {
			link:  EntryConn{ReportInterval: distant, Loaded: at(time.Millisecond), Told: at(time.Millisecond), Usable: true, Changed: true},
			ended: true, wantSent: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			con := tc.link
			con.Cleared = true
			sta := &State{Phase: PhaseServing, Health: Health{Until: tc.until}, Conns: map[ConnID]*EntryConn{benchLink: &con}}
			if tc.work {
				sta.Queue = []Work{{Conn: benchLink}}
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
