package rgroute

import "strings"

// Match returns the route of the host with the longest prefix that the path begins with.
func Match(cfg *Config, host, path string) (Route, bool) {
	best, found := Route{}, false
	if cfg == nil {
		return best, false
	}
	for _, rou := range cfg.Routes {
		if rou.Host == host && strings.HasPrefix(path, rou.Prefix) && (!found || len(rou.Prefix) > len(best.Prefix)) {
			best, found = rou, true
		}
	}
	return best, found
}
