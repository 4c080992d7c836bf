package rgsettings

import (
	"testing"

	"ragwortgap/core/rgintake"
)

// TestIntake guards against limits that do not fit the memory of a machine or a single legal request.
func TestIntake(t *testing.T) {
	const megabyte = bytesPerMegabyte
	tests := map[string]struct {
		memory  int64
		set     IntakeSettings
		want    rgintake.Limits
		wantErr string
	}{
		"smallest machine": {memory: 144, want: rgintake.Limits{Bytes: 18 * megabyte, Connections: 1152}},
		"set": {
			memory: 144, set: IntakeSettings{BodyMegabytes: 40, Connections: 7},
			want: rgintake.Limits{Bytes: 40 * megabyte, Connections: 7},
		},
		"no memory limit":       {want: rgintake.Limits{Bytes: 64 * megabyte, Connections: 3075}},
		"less than the largest": {memory: 144, set: IntakeSettings{BodyMegabytes: 15}, wantErr: "bodyMegabytes"},
		"more than half":        {memory: 144, set: IntakeSettings{BodyMegabytes: 73}, wantErr: "bodyMegabytes"},
		"negative budget":       {set: IntakeSettings{BodyMegabytes: -1}, wantErr: "bodyMegabytes"},
		"negative connections":  {set: IntakeSettings{Connections: -1}, wantErr: "connections"},
		"too many connections":  {set: IntakeSettings{Connections: maxConnections + 1}, wantErr: "connections"},
		"more without any limit": {
			set: IntakeSettings{BodyMegabytes: 4096}, want: rgintake.Limits{Bytes: 4096 * megabyte, Connections: 3075},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			err := checkIntake(tc.set, rgintake.MinBytes, tc.memory)
			if fe, ok := err.(FieldError); tc.wantErr != "" && (!ok || fe.Field != tc.wantErr) || tc.wantErr == "" && err != nil {
				t.Fatalf("error %v, want one of %q", err, tc.wantErr)
			}
			if tc.wantErr != "" {
				return
			}
			if got := (PlatformProcess{MemoryMegabytes: tc.memory, IntakeSettings: tc.set}).Intake(4100); got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// TestEntryIntake guards against a budget into which a body of the product's own interface does not fit.
func TestEntryIntake(t *testing.T) {
	for _, mem := range []int64{0, 64, 144, 4096} {
		if got := (Entry{MemoryMegabytes: mem}).Intake(4100).MaxBody(); got < 8*bytesPerMegabyte {
			t.Errorf("largest body %d with %d MB", got, mem)
		}
	}
}
