package cluster

import (
	"net"
	"strconv"

	"github.com/gravitational/trace"
)

// Names of the calls by which processes find each other.
const (
	MethodRegister = "cluster.register" // NodeInfo -> CoreResponse, at a seed: announces a process before the founding
	MethodCore     = "cluster.core"     // empty -> CoreResponse, at any process: the members of the control group it knows
	MethodAnnounce = "cluster.announce" // CoreResponse -> empty, at a seed: a member of the control group names the members
	MethodPing     = "node.ping"        // empty -> PingResponse, at any process
)

// CoreResponse lists the members of the control group as the answering process knows them; none before the founding.
type CoreResponse struct {
	Core []CoreMember `json:"core,omitempty"`
	// Bootstrap tells that the answering process takes part in the first start: as a seed it may lead the founding.
	Bootstrap bool `json:"bootstrap,omitempty"`
}

// PingResponse tells which process answers at an address.
type PingResponse struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// InternalAddress returns the address of the internal RPC server of the machine that has the given control address.
// The internal port is the same on all machines.
func InternalAddress(controlAddress string, internalPort int) (string, error) {
	host, _, err := net.SplitHostPort(controlAddress)
	if err != nil {
		return "", trace.BadParameter("seed %q is not an address with a port", controlAddress)
	}
	return net.JoinHostPort(host, strconv.Itoa(internalPort)), nil
}
