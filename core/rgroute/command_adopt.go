package rgroute

// Adopt returns the configuration to use from now on, and whether it is the offered one. The version never goes back,
// whatever source an older one comes from.
func Adopt(cur *Config, offered *Config) (*Config, bool) {
	if offered == nil || cur != nil && offered.Version <= cur.Version {
		return cur, false
	}
	return offered, true
}
