package rgintake

const (
	// DefaultBytes is the budget of a process without a memory limit.
	DefaultBytes = 64 << 20
	// MinBytes is the least budget. One client may hold half of it, which must fit the largest heartbeat (4 MiB) and what is decoded
	// from it.
	MinBytes = 16 << 20
	// budgetPart is the part of the memory of a process that is for bodies: 18 MB of 144 MB, which is 36 of the platform's largest bodies
	// of one client at a time.
	budgetPart = 8

	// connectionPart is the part of the memory of a process that is for connections, and connectionBytes what one may hold: buffers of 4 KB
	// for reading and writing, the stack of a goroutine, and headers of up to 16 KB. An idle one holds about 10 KB.
	connectionPart  = 4
	connectionBytes = 32 << 10
	// descriptorPercent is the share of the descriptors for connections of callers. The rest is for peers, the store and executors.
	descriptorPercent = 75
	// defaultConnections applies to a process for which neither memory nor descriptors are limited.
	defaultConnections = 8192
	// peerPercent is the share of the connections that one address may have. All callers may come through one balancer.
	peerPercent = 75
)

// Limits bounds what a process takes in. Zero values mean the defaults.
type Limits struct {
	// Bytes is the budget for bodies and for what is decoded from them.
	Bytes int64
	// Connections is the number of connections of callers.
	Connections int
	// Cores is the CPU limit of the process.
	Cores float64
}

// Budget returns the default budget for bodies of a process with a memory limit, or without one if that is zero.
func Budget(memory int64) int64 {
	if memory <= 0 {
		return DefaultBytes
	}
	return max(MinBytes, memory/budgetPart)
}

// MaxConnections returns the default number of connections of a process with limits on its memory and its descriptors, of which zero
// means none.
func MaxConnections(memory, descriptors int64) int {
	num := int64(defaultConnections)
	if memory > 0 {
		num = min(num, memory/connectionPart/connectionBytes)
	}
	if descriptors > 0 {
		num = min(num, descriptors*descriptorPercent/100)
	}
	return int(max(num, 1))
}

func (lim Limits) bytes() int64 {
	if lim.Bytes <= 0 {
		return DefaultBytes
	}
	return lim.Bytes
}

func (lim Limits) connections() int {
	if lim.Connections <= 0 {
		return defaultConnections
	}
	return lim.Connections
}

// MaxBody returns the size of the largest body that can be served: one client may hold it and as much again for what is decoded from it.
func (lim Limits) MaxBody() int64 { return lim.bytes() * clientPercent / 100 / 2 }
