package rgsidecar

// Status returns the newest published state, which is at most about a second old.
func (pro *Process) Status() *Status {
	return pro.status.Load()
}

// Usable reports whether the sidecar can get work: it is not draining, and at least one entry is connected.
func (sts *Status) Usable() bool {
	return sts.Entries > 0 && !sts.Draining
}
