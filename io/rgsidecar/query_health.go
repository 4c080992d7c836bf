package rgsidecar

// Health returns the newest published state, which is at most about a second old.
func (pro *Process) Health() *Health {
	return pro.health.Load()
}

// Usable reports whether the sidecar can get work: it is not draining, and at least one entry is connected.
func (hlt *Health) Usable() bool {
	return hlt.Entries > 0 && !hlt.Draining
}
