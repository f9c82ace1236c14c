package membership

import (
	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/replication"
)

// ControlMembers converts members of the control group to entries of the cluster table. It leaves their zones empty.
func ControlMembers(members []replication.Member) []cluster.ControlMember {
	listed := make([]cluster.ControlMember, 0, len(members))
	for _, member := range members {
		listed = append(listed, cluster.ControlMember{Name: member.Name, Address: member.Address, DiskID: member.DiskID})
	}
	return listed
}
