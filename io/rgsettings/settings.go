// Package rgsettings reads and validates the settings files of the processes, which are JSON with comments.
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
	// DefaultDrainTimeout is the default of Entry.DrainTimeout and Sidecar.DrainTimeout. It equals the longest deadline of a job.
	DefaultDrainTimeout = 30 * time.Second
	// DefaultLeaseTime is the default of Entry.LeaseTime.
	DefaultLeaseTime = 3 * time.Second
	// DefaultMaxResponseBytes is the default size limit of an upstream's response to one task.
	DefaultMaxResponseBytes = 64 << 10
)

type (
	// Entry holds the settings of an entry process.
	Entry struct {
		Name             string `json:"name"`
		AvailabilityZone string `json:"availabilityZone"`
		CallerAddress    string `json:"callerAddress"`
		PeerAddress      string `json:"peerAddress"`
		// AdvertisedAddress is the address that sidecars and other entries dial. The default is PeerAddress.
		AdvertisedAddress string   `json:"advertisedAddress"`
		Store             string   `json:"store"`
		Peers             []string `json:"peers"`
		// DrainTimeout limits how long a graceful shutdown waits for requests in flight.
		DrainTimeout rgmodel.Duration `json:"drainBound"`
		// LeaseTime is how long the entry is considered alive after it last renewed its lease.
		LeaseTime rgmodel.Duration `json:"leaseTime"`
		// PeerTLS secures connections with sidecars and other entries. Nil means plain TCP.
		PeerTLS *rgtls.Files `json:"peerTLS"`
		// CallerTLS secures connections from callers and operators. Nil means plain HTTP.
		CallerTLS *rgtls.Files `json:"callerTLS"`
		// TeamKeys is the path of a file with key digests. If it is empty, callers need no key.
		TeamKeys string `json:"teamKeys"`
		// MemoryMegabytes is the memory limit of the process. Zero means no limit.
		MemoryMegabytes int64 `json:"memoryMegabytes"`
		// IntakeSettings bound what the entry takes in from its callers.
		IntakeSettings
	}

	// Sidecar holds the settings of a sidecar process.
	Sidecar struct {
		Name             string   `json:"name"`
		AvailabilityZone string   `json:"availabilityZone"`
		Rack             string   `json:"rack"`
		Entries          []string `json:"entries"`
		Upstream         string   `json:"upstream"`
		// Slots is the number of tasks that the sidecar may run on the upstream at the same time.
		Slots int `json:"slots"`
		// Connections is the maximum number of connections to the upstream. It must be at least Slots.
		Connections int               `json:"connections"`
		Resources   rgmodel.Resources `json:"resources"`
		// DrainTimeout limits how long a graceful shutdown waits for tasks.
		DrainTimeout rgmodel.Duration `json:"drainBound"`
		// MaxResponseBytes is the size limit of the upstream's response to one task.
		MaxResponseBytes int64 `json:"maxAnswerBytes"`
		// StatusAddress is the listen address for operators' requests. If it is empty, the sidecar serves no HTTP.
		StatusAddress string `json:"statusAddress"`
		// PeerTLS secures connections to entries. Nil means plain TCP.
		PeerTLS *rgtls.Files `json:"peerTLS"`
	}

	// FieldError reports an invalid setting, its value and the reason.
	FieldError struct {
		Field  string
		Value  any
		Reason string
	}
)

func (fe FieldError) Error() string {
	return fmt.Sprintf("setting %q: value %v: %s", fe.Field, fe.Value, fe.Reason)
}

// ReadEntry reads and validates the settings of an entry.
func ReadEntry(path string) (Entry, error) {
	var set Entry
	if err := readFile(path, &set); err != nil {
		return Entry{}, err
	}
	return set, CheckEntry(&set)
}

// ReadSidecar reads and validates the settings of a sidecar.
func ReadSidecar(path string) (Sidecar, error) {
	var set Sidecar
	if err := readFile(path, &set); err != nil {
		return Sidecar{}, err
	}
	return set, CheckSidecar(&set)
}

// CheckEntry sets defaults and returns a FieldError for the first invalid value.
func CheckEntry(set *Entry) error {
	setDefault(&set.DrainTimeout, DefaultDrainTimeout)
	setDefault(&set.LeaseTime, DefaultLeaseTime)
	return firstError(
		checkOptionalAddress("advertisedAddress", set.AdvertisedAddress),
		checkName("name", set.Name),
		checkName("availabilityZone", set.AvailabilityZone),
		checkAddress("callerAddress", set.CallerAddress),
		checkAddress("peerAddress", set.PeerAddress),
		checkURL("store", set.Store),
		checkAddresses("peers", set.Peers),
		checkMinimum("leaseTime", set.LeaseTime, time.Second),
		checkMinimum("drainBound", set.DrainTimeout, time.Second),
		checkTLS("peerTLS", set.PeerTLS, true),
		checkTLS("callerTLS", set.CallerTLS, false),
		checkTeamKeys(set),
		checkNonNegative("memoryMegabytes", float64(set.MemoryMegabytes)),
		checkIntake(set.IntakeSettings, minEntryBodyBytes, set.MemoryMegabytes),
	)
}

// CheckSidecar sets defaults and returns a FieldError for the first invalid value.
func CheckSidecar(set *Sidecar) error {
	setDefault(&set.DrainTimeout, DefaultDrainTimeout)
	if set.MaxResponseBytes == 0 {
		set.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if len(set.Entries) == 0 {
		return FieldError{Field: "entries", Value: "[]", Reason: "need the peer address of at least one entry"}
	}
	return firstError(
		checkName("name", set.Name),
		checkName("availabilityZone", set.AvailabilityZone),
		checkAddresses("entries", set.Entries),
		checkURL("upstream", set.Upstream),
		checkRange("slots", set.Slots, 1, 1024),
		checkRange("connections", set.Connections, set.Slots, 4096),
		checkMinimum("drainBound", set.DrainTimeout, time.Second),
		checkRange("maxAnswerBytes", int(set.MaxResponseBytes), 1, 8<<20),
		checkOptionalAddress("statusAddress", set.StatusAddress),
		checkTLS("peerTLS", set.PeerTLS, true),
	)
}

func readFile(path string, set any) error {
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

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func setDefault(dur *rgmodel.Duration, val time.Duration) {
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

// checkTLS checks that all files are set and readable. Authorities are needed for mutual TLS, and not allowed otherwise,
// because callers present no certificate.
func checkTLS(fld string, fls *rgtls.Files, mutual bool) error {
	if fls == nil {
		return nil
	}
	if !mutual && fls.Authorities != "" {
		rsn := "callers present no certificate; use teamKeys"
		return FieldError{Field: fld + ".authorities", Value: fmt.Sprintf("%q", fls.Authorities), Reason: rsn}
	}
	err := firstError(checkFile(fld+".certificate", fls.Certificate), checkFile(fld+".key", fls.Key))
	if err != nil || !mutual {
		return err
	}
	return checkFile(fld+".authorities", fls.Authorities)
}

// checkTeamKeys rejects team keys without TLS, because callers would send their keys in plain text.
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
		return FieldError{Field: fld, Value: fmt.Sprintf("%q", val), Reason: "need the path of a file"}
	}
	fil, err := os.Open(val)
	if err != nil {
		return FieldError{Field: fld, Value: fmt.Sprintf("%q", val), Reason: err.Error()}
	}
	// The file was only opened to check access, so an error on close does not matter.
	_ = fil.Close()
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

func checkMinimum(fld string, val rgmodel.Duration, low time.Duration) error {
	if val.Duration < low {
		return FieldError{Field: fld, Value: val, Reason: fmt.Sprintf("need at least %s", low)}
	}
	return nil
}

func checkNonNegative(fld string, val float64) error {
	if val < 0 {
		return FieldError{Field: fld, Value: val, Reason: "need zero or more"}
	}
	return nil
}
