package rgsettings

import (
	"fmt"

	"ragwortgap/core/rgintake"
)

const (
	bytesPerMegabyte = 1 << 20
	// maxConnections is the largest number of connections that can be set.
	maxConnections = 1 << 20
	// minEntryBodyBytes is the least budget of an entry of the product's own interface. One client may hold half of it, which must fit the
	// largest body (8 MB) and what is decoded from it.
	minEntryBodyBytes = 32 << 20
	// memoryLimitPercent is the Go runtime's soft memory limit as a percentage of the memory limit of the process. The rest is for memory
	// that the runtime does not count: the program itself, about 15 MB, and the bytes that the kernel holds for connections, up to 33 MB
	// for the 1,152 connections of a process with 144 MB and those that wait to be accepted.
	memoryLimitPercent = 65
)

// IntakeSettings bound what a process takes in from its callers. Zero values mean limits that follow from the memory and the descriptors of
// the process.
type IntakeSettings struct {
	// BodyMegabytes is the memory for request bodies that are being read and for what is decoded from them.
	BodyMegabytes int64 `json:"bodyMegabytes"`
	// Connections is the number of open connections of callers.
	Connections int `json:"connections"`
}

// Intake returns the limits on what the entry takes in, given the number of descriptors that it may open.
func (ent Entry) Intake(descriptors int64) rgintake.Limits {
	return ent.limits(minEntryBodyBytes, ent.MemoryMegabytes, descriptors, 0)
}

// MemoryLimit returns the soft limit of the memory that the Go runtime uses, in bytes; zero means none.
func (ent Entry) MemoryLimit() int64 { return memoryLimit(ent.MemoryMegabytes) }

// MemoryLimit returns the soft limit of the memory that the Go runtime uses, in bytes; zero means none.
func (pp PlatformProcess) MemoryLimit() int64 { return memoryLimit(pp.MemoryMegabytes) }

func memoryLimit(megabytes int64) int64 {
	return megabytes * bytesPerMegabyte * memoryLimitPercent / 100
}

// limits returns the limits of a process whose budget is at least the given one. Zero memory, descriptors or cores mean no limit.
func (is IntakeSettings) limits(least, memoryMegabytes, descriptors int64, cores float64) rgintake.Limits {
	lim := rgintake.Limits{Bytes: is.BodyMegabytes * bytesPerMegabyte, Connections: is.Connections, Cores: cores}
	if lim.Bytes == 0 {
		lim.Bytes = max(least, rgintake.Budget(memoryMegabytes*bytesPerMegabyte))
	}
	if lim.Connections == 0 {
		lim.Connections = rgintake.MaxConnections(memoryMegabytes*bytesPerMegabyte, descriptors)
	}
	return lim
}

// checkIntake checks that the budget fits the largest body and leaves half of the memory to the rest of the process.
func checkIntake(set IntakeSettings, leastBytes, memoryMegabytes int64) error {
	least, most := leastBytes/bytesPerMegabyte, memoryMegabytes/2
	if memoryMegabytes == 0 {
		most = 1 << 20
	}
	if val := set.BodyMegabytes; val != 0 && (val < least || val > most) {
		rsn := fmt.Sprintf("need %d to half of memoryMegabytes, or 0 for the default", least)
		return FieldError{Field: "bodyMegabytes", Value: val, Reason: rsn}
	}
	return checkRange("connections", set.Connections, 0, maxConnections)
}
