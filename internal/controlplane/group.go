// Package controlplane is the control plane's logic on top of a replicated group: the operator's API, the leases of
// all processes, the placement of partitions, the members of the group, and the list of workers.
//
// One member of the group, the primary, decides; its decisions are changes of a replicated state machine. Every member
// that is in touch with the primary renews leases and distributes the state.
package controlplane

import (
	"context"

	"gladepick/internal/controlplane/replication"
)

// group is what the control plane needs of the replicated group.
type group interface {
	Run(ctx context.Context)
	Close()
	Role() replication.Role
	Found(ctx context.Context, members []replication.Member) error
	Propose(ctx context.Context, change []byte) error
	Confirm(ctx context.Context) error
	ConfirmDurable(ctx context.Context) error
	AddMember(ctx context.Context, member replication.Member) error
	RemoveMember(ctx context.Context, diskID string) error
	ReplaceMember(ctx context.Context, oldDiskID string, member replication.Member) error
	OnChange(changed func(replication.Role))
}
