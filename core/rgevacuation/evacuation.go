// Package rgevacuation keeps the set of evacuated availability zones, to whose executors no task is sent until the operator withdraws the
// evacuation. Entries and sidecars both use it.
package rgevacuation

type (
	// Zone is an evacuated availability zone.
	Zone struct {
		Name string `json:"name"`
		// KeyVersion is the version of the key in the store that requests the evacuation. It differs if an evacuation is withdrawn and
		// requested again.
		KeyVersion uint64 `json:"keyVersion"`
		// SinceMillis is when a process first read the key, in milliseconds since the Unix epoch. It is shown to operators and decides
		// nothing.
		SinceMillis int64 `json:"sinceMillis,omitempty"`
	}

	// Set is the set of evacuated zones. The zero value is that of a process that has never received any: no zone is evacuated.
	Set struct {
		// Version is the store version at which the set was read, or that of the change which led to it. Of two sets, the one with the
		// higher version holds as a whole.
		Version uint64 `json:"version"`
		// Zones is ordered by name. It is never changed in place, because processes pass it on.
		Zones []Zone `json:"zones,omitempty"`
	}
)
