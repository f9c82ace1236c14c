package cluster

// Method strings of the calls by which processes find each other, with their parameters and results.
const (
	// MethodRegister registers a process at a seed before the bootstrap: NodeInfo -> ControlGroupInfo.
	MethodRegister = "cluster.register"
	// MethodControlGroup asks any process for the members of the control group that it knows: empty -> ControlGroupInfo.
	MethodControlGroup = "cluster.core"
	// MethodAnnounce is called by a member of the control group to tell a seed the members: ControlGroupInfo -> empty.
	MethodAnnounce = "cluster.announce"
	// MethodPing asks any process for its identity: empty -> PingResponse.
	MethodPing = "node.ping"
)

// ControlGroupInfo lists the members of the control group as the sender knows them. It lists none before the bootstrap.
type ControlGroupInfo struct {
	Members []ControlMember `json:"core,omitempty"`
	// Bootstrap is set if the sender takes part in the first start: as a seed it may bootstrap the control group.
	Bootstrap bool `json:"bootstrap,omitempty"`
}

// PingResponse identifies the process that responds at an address.
type PingResponse struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}
