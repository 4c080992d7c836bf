package rgroute

// Add adds a route to a configuration that is not in force yet.
func Add(cfg *Config, rou Route) {
	if cfg.ByHost == nil {
		cfg.ByHost = map[string][]int{}
	}
	cfg.ByHost[rou.Host] = append(cfg.ByHost[rou.Host], len(cfg.Routes))
	cfg.Routes = append(cfg.Routes, rou)
}
