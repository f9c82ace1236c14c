package cluster

import "github.com/gravitational/trace"

// SetSeeds replaces the seeds by others, given as control addresses. Where one of them is not an address, the seeds stay
// as they are, and the error names all that are wrong.
func (a *Agent) SetSeeds(seeds []string) error {
	addresses, err := internalAddresses(seeds, a.options.InternalPort)
	if err != nil {
		return trace.Wrap(err)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.seeds = addresses
	return nil
}

// seedAddresses returns the internal addresses of the seeds. The slice must not be changed.
func (a *Agent) seedAddresses() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.seeds
}

// internalAddresses returns the internal addresses of the seeds, or an error that names all that are wrong.
func internalAddresses(seeds []string, internalPort int) ([]string, error) {
	var findings []error
	addresses := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		address, err := InternalAddress(seed, internalPort)
		if err != nil {
			findings = append(findings, err)
			continue
		}
		addresses = append(addresses, address)
	}
	if len(findings) > 0 {
		return nil, trace.NewAggregate(findings...)
	}
	return addresses, nil
}
