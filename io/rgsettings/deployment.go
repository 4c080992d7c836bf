package rgsettings

import (
	"time"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmodel"
)

const (
	// DefaultGrace is the longest duration of a planned stop.
	DefaultGrace = 6 * time.Second
	// DefaultTaskStop is the time that an executor needs to stop a run.
	DefaultTaskStop = 50 * time.Millisecond
	// DefaultPeerPort is the port on which entries listen for sidecars and other entries.
	DefaultPeerPort = 7720
)

// Deployment holds the settings of an entry or a sidecar on the users' platform, where executors run the tasks.
type Deployment struct {
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
	// CallerAddress and ReadyAddress are used by entries only, AnnounceAddress and Executor by sidecars only.
	CallerAddress   string `json:"callerAddress"`
	ReadyAddress    string `json:"readyAddress"`
	AnnounceAddress string `json:"announceAddress"`
	Executor        string `json:"executor"`
	// MetricsAddress is the listen address for the metrics. If it is empty, they are not served.
	MetricsAddress string           `json:"metricsAddress"`
	Grace          rgmodel.Duration `json:"grace"`
	LongestLease   rgmodel.Duration `json:"longestLease"`
	Resend         rgmodel.Duration `json:"resend"`
	TaskStop       rgmodel.Duration `json:"taskStop"`
	RemoteFactor   float64          `json:"remoteFactor"`
	// Cores is the CPU limit of the process, as a number of cores. Zero means no limit.
	Cores float64 `json:"cores"`
	// MemoryMegabytes is the memory limit of the process. Zero means no limit.
	MemoryMegabytes int64 `json:"memoryMegabytes"`
}

// ReadPlatformEntry reads and validates the settings of an entry on the users' platform.
func ReadPlatformEntry(path string) (Deployment, error) {
	set, err := readDeployment(path)
	if err != nil {
		return Deployment{}, err
	}
	return set, firstError(
		checkAddress("callerAddress", set.CallerAddress),
		checkAddress("readyAddress", set.ReadyAddress),
	)
}

// ReadPlatformSidecar reads and validates the settings of a sidecar on the users' platform.
func ReadPlatformSidecar(path string) (Deployment, error) {
	set, err := readDeployment(path)
	if err != nil {
		return Deployment{}, err
	}
	return set, firstError(
		checkAddress("announceAddress", set.AnnounceAddress),
		checkAddress("executor", set.Executor),
	)
}

func readDeployment(path string) (Deployment, error) {
	var set Deployment
	if err := readFile(path, &set); err != nil {
		return Deployment{}, err
	}
	setDefault(&set.Grace, DefaultGrace)
	setDefault(&set.LongestLease, rgexecutor.DefaultLongestLease)
	setDefault(&set.Resend, rgexecutor.DefaultResendDelay)
	setDefault(&set.TaskStop, DefaultTaskStop)
	if set.PeerPort == 0 {
		set.PeerPort = DefaultPeerPort
	}
	return set, firstError(
		checkName("name", set.Name),
		checkName("availabilityZone", set.AvailabilityZone),
		checkAddresses("seeds", set.Seeds),
		checkAddress("store", set.Store),
		checkNonNegative("cores", set.Cores),
		checkOptionalAddress("advertisedAddress", set.AdvertisedAddress),
		checkOptionalAddress("metricsAddress", set.MetricsAddress),
		checkMinimum("longestLease", set.LongestLease, 100*time.Millisecond),
		checkMinimum("grace", set.Grace, time.Second),
	)
}
