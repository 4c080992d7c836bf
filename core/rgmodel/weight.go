package rgmodel

// FlowWeight returns the fair-queueing weight of the team's flow of this kind, which is at least 1.
func (tc TeamConfig) FlowWeight(kind string) int {
	kc, _ := tc.Kind(kind)
	return max(1, tc.Weight) * max(1, kc.Weight)
}
