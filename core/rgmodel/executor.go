package rgmodel

import (
	"slices"

	"github.com/juju/errors"
)

const (
	// maxCores, maxMemoryBytes and maxAccelerators bound the resources of an executor. Larger ones are mistakes and could overflow in
	// sums.
	maxCores        = 1e6
	maxMemoryBytes  = 1 << 50
	maxAccelerators = 1e6
	// maxWhole is the largest integer that all JSON implementations represent exactly. Start times and sequence numbers are lower.
	maxWhole = 1 << 53
	// maxLabels bounds what a sidecar sends to each entry when its executor changes.
	maxLabels = 4096
)

// CheckExecutor returns errors.NotValid unless the description is one of an executor that can be used. The ID has to fit into the
// path and the headers of a request.
func CheckExecutor(exe Executor) error {
	inc, cpy := exe.Incarnation, exe.Capacity
	switch {
	case !isName(inc.ID):
		return errors.NotValidf("executor with id %s", shown(inc.ID))
	case inc.StartedMillis < 0 || inc.StartedMillis > maxWhole:
		return errors.NotValidf("executor with start time %d", inc.StartedMillis)
	case exe.Service == "" || len(exe.Service) > maxNameBytes:
		return errors.NotValidf("executor with service %s", shown(exe.Service))
	case len(exe.AvailabilityZone) > maxNameBytes:
		return errors.NotValidf("executor with availability zone %s", shown(exe.AvailabilityZone))
	case !(cpy.Cores >= 0 && cpy.Cores <= maxCores):
		return errors.NotValidf("executor with %v cores", cpy.Cores)
	case cpy.MemoryBytes < 0 || cpy.MemoryBytes > maxMemoryBytes:
		return errors.NotValidf("executor with %d bytes of memory", cpy.MemoryBytes)
	case cpy.Accelerators < 0 || cpy.Accelerators > maxAccelerators:
		return errors.NotValidf("executor with %d accelerators", cpy.Accelerators)
	case exe.Clock < 0 || exe.Clock > maxWhole:
		return errors.NotValidf("executor with clock %d", exe.Clock)
	case exe.Sequence > maxWhole:
		return errors.NotValidf("executor with sequence number %d", exe.Sequence)
	case len(exe.Labels) > maxLabels:
		return errors.NotValidf("executor with %d labels", len(exe.Labels))
	}
	for _, lab := range exe.Labels {
		if len(lab) > maxNameBytes {
			return errors.NotValidf("executor with label %s", shown(lab))
		}
	}
	return nil
}

// HasLabel reports whether the executor has a label that a task requires. The empty label requires nothing.
func (exe Executor) HasLabel(label string) bool {
	return label == "" || slices.Contains(exe.Labels, label)
}
