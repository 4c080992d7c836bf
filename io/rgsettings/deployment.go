package rgsettings

import (
	"time"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmodel"
)

const (
	// DefaultGrace is how long a planned stop may take.
	DefaultGrace = 6 * time.Second
	// DefaultTaskStop is how long an executor takes to stop a run.
	DefaultTaskStop = 50 * time.Millisecond
	// DefaultPeerPort is where entries listen for sidecars and other entries.
	DefaultPeerPort = 7720
)

// Deployment holds the settings of an entry or a sidecar on the users' platform, where executors run the tasks.
type Deployment struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	// Address is the IP address of the machine.
	Address string `json:"address"`
	// AdvertisedAddress is where other processes reach this one, with a port; empty means Address and PeerPort.
	AdvertisedAddress string `json:"advertisedAddress"`
	// PeerPort is the same on all machines.
	PeerPort int `json:"peerPort"`
	// Seeds are addresses on machines of entries, with any port. They may be stale.
	Seeds []string `json:"seeds"`
	Store string   `json:"store"`
	// CallerAddress and ReadyAddress are an entry's; AnnounceAddress and Executor are a sidecar's.
	CallerAddress   string `json:"callerAddress"`
	ReadyAddress    string `json:"readyAddress"`
	AnnounceAddress string `json:"announceAddress"`
	Executor        string `json:"executor"`
	// MetricsAddress serves the metrics; empty means that nothing does.
	MetricsAddress string           `json:"metricsAddress"`
	Grace          rgmodel.Duration `json:"grace"`
	LongestLease   rgmodel.Duration `json:"longestLease"`
	Resend         rgmodel.Duration `json:"resend"`
	TaskStop       rgmodel.Duration `json:"taskStop"`
	RemoteFactor   float64          `json:"remoteFactor"`
	// Cores is the part of a processor that the process may use; zero means that it does not matter.
	Cores float64 `json:"cores"`
	// MemoryMegabytes is the limit of the process; zero means none.
	MemoryMegabytes int64 `json:"memoryMegabytes"`
}

// ReadPlatformEntry reads and validates the settings of an entry on the users' platform.
func ReadPlatformEntry(path string) (Deployment, error) {
	set, err := readDeployment(path)
	if err != nil {
		return Deployment{}, err
	}
	return set, first(
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
	return set, first(
		checkAddress("announceAddress", set.AnnounceAddress),
		checkAddress("executor", set.Executor),
	)
}

func readDeployment(path string) (Deployment, error) {
	var set Deployment
	if err := read(path, &set); err != nil {
		return Deployment{}, err
	}
	fill(&set.Grace, DefaultGrace)
	fill(&set.LongestLease, rgexecutor.DefaultLongestLease)
	fill(&set.Resend, rgexecutor.DefaultResendDelay)
	fill(&set.TaskStop, DefaultTaskStop)
	if set.PeerPort == 0 {
		set.PeerPort = DefaultPeerPort
	}
	return set, first(
		checkName("name", set.Name),
		checkName("availabilityZone", set.AvailabilityZone),
		checkAddresses("seeds", set.Seeds),
		checkAddress("store", set.Store),
		checkNotNegative("cores", set.Cores),
		checkOptionalAddress("advertisedAddress", set.AdvertisedAddress),
		checkOptionalAddress("metricsAddress", set.MetricsAddress),
		checkAtLeast("longestLease", set.LongestLease, 100*time.Millisecond),
		checkAtLeast("grace", set.Grace, time.Second),
	)
}
