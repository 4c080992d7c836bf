package rgmodel

type (
	// Quota is the token-bucket limit on the tasks that a team may start.
	Quota struct {
		// Sustained is in tasks per second; zero means no limit.
		Sustained float64 `json:"sustained"`
		// Burst is the number of tasks that may start at once above the sustained rate.
		Burst float64 `json:"burst"`
	}

	// KindConfig is the configuration of one kind of work.
	KindConfig struct {
		Kind           string   `json:"kind"`
		Weight         int      `json:"weight"`
		Urgency        Urgency  `json:"urgency"`
		Idempotent     bool     `json:"idempotent"`
		UsualRunTime   Duration `json:"usualRunTime"`
		LongestRunTime Duration `json:"longestRunTime"`
		CallerWait     Duration `json:"callerWait"`
		// Objective is the fraction of jobs that must be answered completely within CallerWait.
		Objective float64 `json:"objective"`
	}

	// TeamConfig is the accepted configuration of one team.
	// Revision grows by one with each accepted change; zero means that no configuration exists.
	TeamConfig struct {
		Team               string       `json:"team"`
		Revision           uint64       `json:"revision"`
		ChangeID           string       `json:"changeId"`
		Weight             int          `json:"weight"`
		Quota              Quota        `json:"quota"`
		ResubmissionWindow Duration     `json:"resubmissionWindow"`
		Kinds              []KindConfig `json:"kinds"`
		// Sources maps the path of each setting to the question whose answer set it. It is not sent to sidecars.
		Sources map[string]string `json:"sources,omitempty"`
	}

	// ConfigVersion summarizes the configurations in force at a process.
	ConfigVersion struct {
		Teams int `json:"teams"`
		// Revisions is the sum of all teams' revisions; it only grows.
		Revisions uint64 `json:"revisions"`
		// Digest is equal at two processes that have the same revision of each team.
		Digest string `json:"digest"`
	}
)

// Kind returns the configuration of the named kind and whether there is one.
func (tc TeamConfig) Kind(name string) (KindConfig, bool) {
	for _, kc := range tc.Kinds {
		if kc.Kind == name {
			return kc, true
		}
	}
	return KindConfig{}, false
}

// FlowWeight returns the fair-queueing weight of a flow, which is at least 1.
func FlowWeight(teams map[string]TeamConfig, flo Flow) int {
	return teams[flo.Team].FlowWeight(flo.Kind)
}
