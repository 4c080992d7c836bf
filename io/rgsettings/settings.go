// Package rgsettings reads and checks the settings files of the processes: JSON with comments.
package rgsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgtls"
)

const (
	// DefaultDrainBound is how long a planned stop waits for requests in flight. No deadline is longer.
	DefaultDrainBound = 30 * time.Second
	// DefaultLeaseTime is how long an entry counts as alive after its last renewal.
	DefaultLeaseTime = 3 * time.Second
	// DefaultMaxAnswerBytes bounds the answer of an upstream to one task.
	DefaultMaxAnswerBytes = 64 << 10
)

type (
	// Entry holds the settings of an entry process.
	Entry struct {
		Name             string `json:"name"`
		AvailabilityZone string `json:"availabilityZone"`
		CallerAddress    string `json:"callerAddress"`
		PeerAddress      string `json:"peerAddress"`
		// AdvertisedAddress is what sidecars and other entries dial, where that is not PeerAddress.
		AdvertisedAddress string           `json:"advertisedAddress"`
		Store             string           `json:"store"`
		Peers             []string         `json:"peers"`
		DrainBound        rgmodel.Duration `json:"drainBound"`
		LeaseTime         rgmodel.Duration `json:"leaseTime"`
		// PeerTLS is for connections of own processes; nil means plain TCP.
		PeerTLS *rgtls.Files `json:"peerTLS"`
		// CallerTLS is for callers and operators; nil means plain HTTP.
		CallerTLS *rgtls.Files `json:"callerTLS"`
		// TeamKeys is a file of key digests; empty means that callers need no key.
		TeamKeys string `json:"teamKeys"`
	}

	// Sidecar holds the settings of a sidecar process.
	Sidecar struct {
		Name             string            `json:"name"`
		AvailabilityZone string            `json:"availabilityZone"`
		Rack             string            `json:"rack"`
		Entries          []string          `json:"entries"`
		Upstream         string            `json:"upstream"`
		Slots            int               `json:"slots"`
		Connections      int               `json:"connections"`
		Resources        rgmodel.Resources `json:"resources"`
		DrainBound       rgmodel.Duration  `json:"drainBound"`
		MaxAnswerBytes   int64             `json:"maxAnswerBytes"`
		// StatusAddress serves operators; empty means that the sidecar serves no HTTP.
		StatusAddress string `json:"statusAddress"`
		// PeerTLS is for connections to entries; nil means plain TCP.
		PeerTLS *rgtls.Files `json:"peerTLS"`
	}

	// FieldError names the setting that is wrong, its value and the reason.
	FieldError struct {
		Field  string
		Value  any
		Reason string
	}
)

// Error returns one line that names the field, the value and the reason.
func (fe FieldError) Error() string {
	return fmt.Sprintf("setting %q: value %v: %s", fe.Field, fe.Value, fe.Reason)
}

// ReadEntry reads and checks the settings of an entry.
func ReadEntry(path string) (Entry, error) {
	var set Entry
	if err := read(path, &set); err != nil {
		return Entry{}, err
	}
	return set, CheckEntry(&set)
}

// ReadSidecar reads and checks the settings of a sidecar.
func ReadSidecar(path string) (Sidecar, error) {
	var set Sidecar
	if err := read(path, &set); err != nil {
		return Sidecar{}, err
	}
	return set, CheckSidecar(&set)
}

// CheckEntry fills in defaults and returns a FieldError for the first wrong value.
func CheckEntry(set *Entry) error {
	fill(&set.DrainBound, DefaultDrainBound)
	fill(&set.LeaseTime, DefaultLeaseTime)
	if set.AdvertisedAddress != "" {
		if err := checkAddress("advertisedAddress", set.AdvertisedAddress); err != nil {
			return err
		}
	}
	return first(
		checkName("name", set.Name),
		checkName("availabilityZone", set.AvailabilityZone),
		checkAddress("callerAddress", set.CallerAddress),
		checkAddress("peerAddress", set.PeerAddress),
		checkURL("store", set.Store),
		checkAddresses("peers", set.Peers),
		checkAtLeast("leaseTime", set.LeaseTime, time.Second),
		checkAtLeast("drainBound", set.DrainBound, time.Second),
		checkTLS("peerTLS", set.PeerTLS, true),
		checkTLS("callerTLS", set.CallerTLS, false),
		checkTeamKeys(set),
	)
}

// CheckSidecar fills in defaults and returns a FieldError for the first wrong value.
func CheckSidecar(set *Sidecar) error {
	fill(&set.DrainBound, DefaultDrainBound)
	if set.MaxAnswerBytes == 0 {
		set.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if len(set.Entries) == 0 {
		return FieldError{Field: "entries", Value: "[]", Reason: "name at least one entry's peer address"}
	}
	return first(
		checkName("name", set.Name),
		checkName("availabilityZone", set.AvailabilityZone),
		checkAddresses("entries", set.Entries),
		checkURL("upstream", set.Upstream),
		checkRange("slots", set.Slots, 1, 1024),
		checkRange("connections", set.Connections, set.Slots, 4096),
		checkAtLeast("drainBound", set.DrainBound, time.Second),
		checkRange("maxAnswerBytes", int(set.MaxAnswerBytes), 1, 8<<20),
		checkOptionalAddress("statusAddress", set.StatusAddress),
		checkTLS("peerTLS", set.PeerTLS, true),
	)
}

func read(path string, set any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "read settings")
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return errors.NewNotValid(err, "settings "+path)
	}
	if err := json.Unmarshal(std, set, json.RejectUnknownMembers(true)); err != nil {
		return errors.NewNotValid(err, "settings "+path)
	}
	return nil
}

func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func fill(dur *rgmodel.Duration, val time.Duration) {
	if dur.Duration == 0 {
		dur.Duration = val
	}
}

func checkName(fld, val string) error {
	if val == "" || strings.ContainsAny(val, "/ \t\n") {
		return FieldError{Field: fld, Value: fmt.Sprintf("%q", val), Reason: "need a name without spaces and slashes"}
	}
	return nil
}

func checkAddress(fld, val string) error {
	if _, err := netip.ParseAddrPort(val); err != nil {
		return FieldError{Field: fld, Value: fmt.Sprintf("%q", val), Reason: "need an IP address and port, such as 127.0.0.1:7000"}
	}
	return nil
}

func checkOptionalAddress(fld, val string) error {
	if val == "" {
		return nil
	}
	return checkAddress(fld, val)
}

// checkTLS checks that all files are named and readable. Mutual TLS needs authorities; callers show no certificate.
func checkTLS(fld string, fls *rgtls.Files, mutual bool) error {
	if fls == nil {
		return nil
	}
	if !mutual && fls.Authorities != "" {
		rsn := "callers show no certificate; use teamKeys"
		return FieldError{Field: fld + ".authorities", Value: fmt.Sprintf("%q", fls.Authorities), Reason: rsn}
	}
	err := first(checkFile(fld+".certificate", fls.Certificate), checkFile(fld+".key", fls.Key))
	if err != nil || !mutual {
		return err
	}
	return checkFile(fld+".authorities", fls.Authorities)
}

// checkTeamKeys refuses keys without TLS, because they would cross the network in plain text.
func checkTeamKeys(set *Entry) error {
	if set.TeamKeys == "" {
		return nil
	}
	if set.CallerTLS == nil {
		rsn := "needs callerTLS, so that keys are not sent in plain text"
		return FieldError{Field: "teamKeys", Value: fmt.Sprintf("%q", set.TeamKeys), Reason: rsn}
	}
	return checkFile("teamKeys", set.TeamKeys)
}

func checkFile(fld, val string) error {
	if val == "" {
		return FieldError{Field: fld, Value: fmt.Sprintf("%q", val), Reason: "name a file"}
	}
	hdl, err := os.Open(val)
	if err != nil {
		return FieldError{Field: fld, Value: fmt.Sprintf("%q", val), Reason: err.Error()}
	}
	// Nothing was written that closing could lose.
	_ = hdl.Close()
	return nil
}

func checkAddresses(fld string, vals []string) error {
	for _, val := range vals {
		if err := checkAddress(fld, val); err != nil {
			return err
		}
	}
	return nil
}

func checkURL(fld, val string) error {
	loc, err := url.Parse(val)
	if err != nil || (loc.Scheme != "http" && loc.Scheme != "https") || loc.Host == "" {
		return FieldError{Field: fld, Value: fmt.Sprintf("%q", val), Reason: "need a URL such as http://127.0.0.1:7000"}
	}
	return nil
}

func checkRange(fld string, val, low, high int) error {
	if val < low || val > high {
		return FieldError{Field: fld, Value: val, Reason: fmt.Sprintf("need %d to %d", low, high)}
	}
	return nil
}

func checkAtLeast(fld string, val rgmodel.Duration, low time.Duration) error {
	if val.Duration < low {
		return FieldError{Field: fld, Value: val, Reason: fmt.Sprintf("need at least %s", low)}
	}
	return nil
}

func checkNotNegative(fld string, val float64) error {
	if val < 0 {
		return FieldError{Field: fld, Value: val, Reason: "need a number that is not negative"}
	}
	return nil
}
