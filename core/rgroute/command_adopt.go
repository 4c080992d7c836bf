package rgroute

// Adopt returns the newer of the two configurations and reports whether it is the offered one. The version in force never
// decreases, regardless of the source of the offered configuration.
func Adopt(cur *Config, offered *Config) (*Config, bool) {
	if offered == nil || cur != nil && offered.Version <= cur.Version {
		return cur, false
	}
	return offered, true
}
