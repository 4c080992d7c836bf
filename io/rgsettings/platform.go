package rgsettings

import (
	"fmt"
	"net/netip"
	"time"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgintake"
	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
)

const (
	// DefaultPlatformDrainTimeout is the default limit of a graceful shutdown on the platform.
	DefaultPlatformDrainTimeout = 6 * time.Second
	// DefaultTaskStopTime is the default of the time that an executor takes to stop a run.
	DefaultTaskStopTime = 50 * time.Millisecond
	// DefaultPeerPort is the default port on which entries listen for sidecars and other entries.
	DefaultPeerPort = 7720
	// maxPort is the highest TCP port.
	maxPort = 65535
)

// PlatformProcess holds the settings of an entry or a sidecar on the platform, where executors run the tasks.
type PlatformProcess struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	// Address is the IP address of the machine.
	Address string `json:"address"`
	// AdvertisedAddress is the address with port at which other processes reach this one. The default is Address with
	// PeerPort.
	AdvertisedAddress string `json:"advertisedAddress"`
	// PeerPort must be the same on all machines.
	PeerPort int `json:"peerPort"`
	// Seeds are addresses of machines that run entries. Their ports are ignored, and they may be stale.
	Seeds []string `json:"seeds"`
	Store string   `json:"store"`
	// EntriesSameZone and EntriesOtherZones are the numbers of entries in the own zone and in others that the process connects to.
	EntriesSameZone   int `json:"entriesSameZone"`
	EntriesOtherZones int `json:"entriesOtherZones"`
	// CallerAddress and ReadyAddress are used by entries only, AnnounceAddress and Executor by sidecars only.
	CallerAddress   string `json:"callerAddress"`
	ReadyAddress    string `json:"readyAddress"`
	AnnounceAddress string `json:"announceAddress"`
	Executor        string `json:"executor"`
	// MetricsAddress is the listen address for the metrics. If it is empty, they are not served.
	MetricsAddress string `json:"metricsAddress"`
	// DrainTimeout is the time limit of a graceful shutdown.
	DrainTimeout rgmodel.Duration `json:"grace"`
	// MaxLease is the longest lease that an executor grants.
	MaxLease rgmodel.Duration `json:"longestLease"`
	// ResendDelay is the shortest time after which a caller sends its job again if the answer was lost.
	ResendDelay rgmodel.Duration `json:"resend"`
	// TaskStopTime is the time that an executor takes to stop a run.
	TaskStopTime rgmodel.Duration `json:"taskStop"`
	// RemoteFactor is the factor by which tasks take longer on executors without the preferred label. Zero means 1.
	RemoteFactor float64 `json:"remoteFactor"`
	// Cores is the CPU limit of the process, as a number of cores. Zero means no limit.
	Cores float64 `json:"cores"`
	// MemoryMegabytes is the memory limit of the process. Zero means no limit.
	MemoryMegabytes int64 `json:"memoryMegabytes"`
	// IntakeSettings bound what the process takes in from its callers.
	IntakeSettings
}

// ReadPlatformEntry reads and validates the settings of an entry on the platform.
func ReadPlatformEntry(path string) (PlatformProcess, error) {
	set, err := readPlatformProcess(path, rgmembership.DefaultPeersSameZone, rgmembership.DefaultPeersOtherZones)
	if err != nil {
		return PlatformProcess{}, err
	}
	return set, firstError(
		checkAddress("callerAddress", set.CallerAddress),
		checkAddress("readyAddress", set.ReadyAddress),
	)
}

// ReadPlatformSidecar reads and validates the settings of a sidecar on the platform.
func ReadPlatformSidecar(path string) (PlatformProcess, error) {
	set, err := readPlatformProcess(path, rgmembership.DefaultSameZone, rgmembership.DefaultOtherZones)
	if err != nil {
		return PlatformProcess{}, err
	}
	return set, firstError(
		checkAddress("announceAddress", set.AnnounceAddress),
		checkAddress("executor", set.Executor),
	)
}

// readPlatformProcess reads the settings that entries and sidecars have in common. sameZone and otherZones are the defaults of
// the numbers of entries.
func readPlatformProcess(path string, sameZone, otherZones int) (PlatformProcess, error) {
	set := PlatformProcess{EntriesSameZone: sameZone, EntriesOtherZones: otherZones}
	if err := readFile(path, &set); err != nil {
		return PlatformProcess{}, err
	}
	setDefault(&set.DrainTimeout, DefaultPlatformDrainTimeout)
	setDefault(&set.MaxLease, rgexecutor.DefaultMaxLease)
	setDefault(&set.ResendDelay, rgexecutor.DefaultResendDelay)
	setDefault(&set.TaskStopTime, DefaultTaskStopTime)
	if set.PeerPort == 0 {
		set.PeerPort = DefaultPeerPort
	}
	return set, firstError(
		checkName("name", set.Name),
		checkName("availabilityZone", set.AvailabilityZone),
		checkHost("address", set.Address),
		checkRange("peerPort", set.PeerPort, 1, maxPort),
		checkSeeds(set.Seeds),
		checkAddress("store", set.Store),
		checkNonNegative("cores", set.Cores),
		checkNonNegative("memoryMegabytes", float64(set.MemoryMegabytes)),
		checkIntake(set.IntakeSettings, rgintake.MinBytes, set.MemoryMegabytes),
		checkNonNegative("entriesSameZone", float64(set.EntriesSameZone)),
		checkNonNegative("entriesOtherZones", float64(set.EntriesOtherZones)),
		checkAdvertised(set.AdvertisedAddress),
		checkOptionalAddress("metricsAddress", set.MetricsAddress),
		checkMinimum("longestLease", set.MaxLease, 100*time.Millisecond),
		checkMinimum("grace", set.DrainTimeout, time.Second),
	)
}

// Intake returns the limits on what the process takes in, given the number of descriptors that it may open.
func (pp PlatformProcess) Intake(descriptors int64) rgintake.Limits {
	return pp.limits(rgintake.MinBytes, pp.MemoryMegabytes, descriptors, pp.Cores)
}

// PeerIntake returns the limits on the connections that peers open. They do not depend on the setting for callers.
func (pp PlatformProcess) PeerIntake(descriptors int64) rgintake.Limits {
	return IntakeSettings{}.limits(rgintake.MinBytes, pp.MemoryMegabytes, descriptors, pp.Cores)
}

// checkHost checks the IP address of a machine.
func checkHost(fld, val string) error {
	if ip, err := netip.ParseAddr(val); err != nil || ip.IsUnspecified() {
		return FieldError{Field: fld, Value: fmt.Sprintf("%q", val), Reason: "need the IP address of a machine, such as 10.0.0.1"}
	}
	return nil
}

// checkSeeds ignores the ports, as PeerAddresses does.
func checkSeeds(vals []string) error {
	if err := checkAddresses("seeds", vals); err != nil {
		return err
	}
	for _, val := range vals {
		if err := checkHost("seeds", netip.MustParseAddrPort(val).Addr().String()); err != nil {
			return err
		}
	}
	return nil
}

// checkAdvertised checks an address that other processes dial, as strictly as they do.
func checkAdvertised(val string) error {
	if err := checkOptionalAddress("advertisedAddress", val); err != nil || val == "" {
		return err
	}
	if err := rgmodel.CheckAddress(val); err != nil {
		return FieldError{Field: "advertisedAddress", Value: fmt.Sprintf("%q", val), Reason: err.Error()}
	}
	return nil
}
