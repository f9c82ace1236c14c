package controlplane

// SetCloudAddress changes where the platform's list of workers is read from the next time. It may be empty.
func (p *Plane) SetCloudAddress(address string) { p.cloud.Store(&address) }

// cloudAddress returns where the platform's list of workers is, or nothing.
func (p *Plane) cloudAddress() string {
	if changed := p.cloud.Load(); changed != nil {
		return *changed
	}
	return p.options.CloudAddress
}
