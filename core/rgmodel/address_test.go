package rgmodel

import (
	"strings"
	"testing"

	"github.com/juju/errors"
)

// TestCheckAddress guards against an address that no process can dial, that reaches the process which dials it, or that is another
// spelling of an address that is known.
func TestCheckAddress(t *testing.T) {
	tests := map[string]struct {
		address string
		want    bool
	}{
		"IPv4":                     {address: "10.0.0.1:7720", want: true},
		"IPv6":                     {address: "[fd00::1]:7720", want: true},
		"loopback":                 {address: "127.0.0.1:1", want: true},
		"highest port":             {address: "10.0.0.1:65535", want: true},
		"host name":                {address: "edge-1.example:7720", want: true},
		"one label":                {address: "e1:1", want: true},
		"empty":                    {address: ""},
		"no port":                  {address: "10.0.0.1"},
		"empty port":               {address: "10.0.0.1:"},
		"port 0":                   {address: "10.0.0.1:0"},
		"port negative":            {address: "10.0.0.1:-1"},
		"port too large":           {address: "10.0.0.1:70000"},
		"port far too large":       {address: "10.0.0.1:36893488147419103232"},
		"port with a sign":         {address: "10.0.0.1:+80"},
		"port with a zero":         {address: "10.0.0.1:080"},
		"port with a space":        {address: "10.0.0.1: 80"},
		"name of a port":           {address: "10.0.0.1:http"},
		"no host":                  {address: ":7720"},
		"unspecified IPv4":         {address: "0.0.0.0:7720"},
		"unspecified IPv6":         {address: "[::]:7720"},
		"multicast":                {address: "224.0.0.1:7720"},
		"IPv4 in IPv6":             {address: "[::ffff:10.0.0.1]:7720"},
		"IPv4 with zeros":          {address: "10.0.0.01:7720"},
		"short IPv4":               {address: "10.1:7720"},
		"hexadecimal IPv4":         {address: "0x0a000001:7720"},
		"IPv4 with a large number": {address: "10.0.0.256:7720"},
		"IPv6 in another spelling": {address: "[FD00:0::1]:7720"},
		"IPv6 without brackets":    {address: "fd00::1:7720"},
		"brackets around IPv4":     {address: "[10.0.0.1]:7720"},
		"host with a space":        {address: "a b:7720"},
		"host with capitals":       {address: "EDGE:7720"},
		"host with a null":         {address: "a\x00:7720"},
		"empty label":              {address: "a..b:7720"},
		"URL":                      {address: "http://10.0.0.1:7720"},
		"long":                     {address: strings.Repeat("a", 1<<20) + ":7720"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			err := CheckAddress(tc.address)
			if tc.want != (err == nil) || err != nil && !errors.Is(err, errors.NotValid) {
				t.Errorf("error %v, want valid %v", err, tc.want)
			}
			if err != nil && len(err.Error()) > 4*maxShownBytes {
				t.Errorf("error of %d bytes", len(err.Error()))
			}
		})
	}
}

// TestCheckEntry guards against a description of an entry of another writer that is passed on to the fleet.
func TestCheckEntry(t *testing.T) {
	long := strings.Repeat("a", 1<<20)
	sound := Entry{Name: "edge-1", Incarnation: "1", Address: "10.0.0.1:7720", AvailabilityZone: "a"}
	tests := map[string]struct {
		change func(ent *Entry)
		want   bool
	}{
		"sound":             {change: func(*Entry) {}, want: true},
		"no incarnation":    {change: func(ent *Entry) { ent.Incarnation = "" }, want: true},
		"no zone":           {change: func(ent *Entry) { ent.AvailabilityZone = "" }, want: true},
		"no name":           {change: func(ent *Entry) { ent.Name = "" }},
		"name with a space": {change: func(ent *Entry) { ent.Name = "a b" }},
		"name with a slash": {change: func(ent *Entry) { ent.Name = "a/b" }},
		"name with a null":  {change: func(ent *Entry) { ent.Name = "a\x00" }},
		"name not UTF-8":    {change: func(ent *Entry) { ent.Name = "a\xff" }},
		"long name":         {change: func(ent *Entry) { ent.Name = long }},
		"long incarnation":  {change: func(ent *Entry) { ent.Incarnation = long }},
		"long zone":         {change: func(ent *Entry) { ent.AvailabilityZone = long }},
		"address":           {change: func(ent *Entry) { ent.Address = "10.0.0.1:70000" }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ent := sound
			tc.change(&ent)
			err := CheckEntry(ent)
			if tc.want != (err == nil) || err != nil && !errors.Is(err, errors.NotValid) {
				t.Errorf("error %v, want valid %v", err, tc.want)
			}
			val, first := ValidEntries([]Entry{ent, sound})
			if tc.want != (first == nil) || len(val) == 0 || val[len(val)-1] != sound || (len(val) == 2) != tc.want {
				t.Errorf("valid entries %v, error %v", val, first)
			}
		})
	}
}
