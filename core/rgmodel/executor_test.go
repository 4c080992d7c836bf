package rgmodel

import (
	"math"
	"strings"
	"testing"

	"github.com/juju/errors"
)

// TestCheckExecutor guards against a saved or reported description that makes room on an executor that it does not have, that
// overflows, or whose id cannot be sent.
func TestCheckExecutor(t *testing.T) {
	long := strings.Repeat("a", 1<<20)
	tests := map[string]struct {
		change func(exe *Executor)
		want   bool
	}{
		"sound":                     {change: func(*Executor) {}, want: true},
		"without a start time":      {change: func(exe *Executor) { exe.Incarnation.StartedMillis = 0 }, want: true},
		"without capacity":          {change: func(exe *Executor) { exe.Capacity = Resources{} }, want: true},
		"no id":                     {change: func(exe *Executor) { exe.Incarnation.ID = "" }},
		"id with a line break":      {change: func(exe *Executor) { exe.Incarnation.ID = "i-1\r\nX-Other: 1" }},
		"id with a slash":           {change: func(exe *Executor) { exe.Incarnation.ID = "i/1" }},
		"long id":                   {change: func(exe *Executor) { exe.Incarnation.ID = long }},
		"negative start time":       {change: func(exe *Executor) { exe.Incarnation.StartedMillis = -1 }},
		"start time too large":      {change: func(exe *Executor) { exe.Incarnation.StartedMillis = math.MaxInt64 }},
		"no service":                {change: func(exe *Executor) { exe.Service = "" }},
		"long service":              {change: func(exe *Executor) { exe.Service = long }},
		"long zone":                 {change: func(exe *Executor) { exe.AvailabilityZone = long }},
		"negative cores":            {change: func(exe *Executor) { exe.Capacity.Cores = -1 }},
		"too many cores":            {change: func(exe *Executor) { exe.Capacity.Cores = 1e308 }},
		"infinite cores":            {change: func(exe *Executor) { exe.Capacity.Cores = math.Inf(1) }},
		"cores not a number":        {change: func(exe *Executor) { exe.Capacity.Cores = math.NaN() }},
		"negative memory":           {change: func(exe *Executor) { exe.Capacity.MemoryBytes = -1 }},
		"too much memory":           {change: func(exe *Executor) { exe.Capacity.MemoryBytes = math.MaxInt64 }},
		"negative accelerators":     {change: func(exe *Executor) { exe.Capacity.Accelerators = -1 }},
		"too many accelerators":     {change: func(exe *Executor) { exe.Capacity.Accelerators = math.MaxInt }},
		"negative clock":            {change: func(exe *Executor) { exe.Clock = -1 }},
		"clock too large":           {change: func(exe *Executor) { exe.Clock = math.MaxInt64 }},
		"sequence number too large": {change: func(exe *Executor) { exe.Sequence = math.MaxUint64 }},
		"too many labels":           {change: func(exe *Executor) { exe.Labels = make([]string, maxLabels+1) }},
		"long label":                {change: func(exe *Executor) { exe.Labels = []string{"a", long} }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			exe := Executor{
				Incarnation: ExecutorIncarnation{ID: "i-7f3a91c2", StartedMillis: 1764900000000}, Service: "desk", AvailabilityZone: "a",
				Capacity: Resources{Cores: 16, MemoryBytes: 32 << 30}, Labels: []string{"a", "r1-3"}, Clock: 482113, Sequence: 4,
			}
			tc.change(&exe)
			err := CheckExecutor(exe)
			if tc.want != (err == nil) || err != nil && !errors.Is(err, errors.NotValid) {
				t.Errorf("error %v, want valid %v", err, tc.want)
			}
		})
	}
}
