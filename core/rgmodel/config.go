package rgmodel

type (
	// Quota bounds the task starts of a team.
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

// FlowWeight returns the weight of a flow in the fair sharing of slots, which is at least 1.
func FlowWeight(teams map[string]TeamConfig, flo Flow) int {
	tc := teams[flo.Team]
	kc, _ := tc.Kind(flo.Kind)
	return max(1, tc.Weight) * max(1, kc.Weight)
}
