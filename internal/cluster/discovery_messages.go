package cluster

// Method strings of the calls by which processes find each other, with their parameters and results.
const (
	MethodRegister = "cluster.register" // NodeInfo -> CoreResponse, at a seed: announces a process before the bootstrap
	MethodCore     = "cluster.core"     // empty -> CoreResponse, at any process: the members of the control group it knows
	MethodAnnounce = "cluster.announce" // CoreResponse -> empty, at a seed: a member of the control group names the members
	MethodPing     = "node.ping"        // empty -> PingResponse, at any process
)

// CoreResponse lists the members of the control group as the responding process knows them; none before the
// bootstrap.
type CoreResponse struct {
	Core []CoreMember `json:"core,omitempty"`
	// Bootstrap is set where the responding process takes part in the first start: as a seed it may bootstrap the group.
	Bootstrap bool `json:"bootstrap,omitempty"`
}

// PingResponse tells which process responds at an address.
type PingResponse struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}
