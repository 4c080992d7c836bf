package rgroute

import "strings"

// Match returns the route of the host with the longest prefix that the path begins with.
func Match(cfg *Config, host, path string) (Route, bool) {
	if cfg == nil {
		return Route{}, false
	}
	best := -1
	for _, i := range cfg.ByHost[host] {
		rou := &cfg.Routes[i]
		if strings.HasPrefix(path, rou.Prefix) && (best < 0 || len(rou.Prefix) > len(cfg.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return cfg.Routes[best], true
}
