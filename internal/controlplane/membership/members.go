package membership

import (
	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/replication"
)

// CoreMembers converts members of the control group to entries of the cluster table. It leaves their zones empty.
func CoreMembers(members []replication.Member) []cluster.CoreMember {
	listed := make([]cluster.CoreMember, 0, len(members))
	for _, member := range members {
		listed = append(listed, cluster.CoreMember{Name: member.Name, Address: member.Address, DiskID: member.DiskID})
	}
	return listed
}
