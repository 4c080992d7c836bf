package rgstandin

// Calls returns the number of calls by method and route, such as "GET keys".
func (sto *Store) Calls() map[string]int {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	cpy := make(map[string]int, len(sto.calls))
	for name, cnt := range sto.calls {
		cpy[name] = cnt
	}
	return cpy
}
