package controlplane

import (
	"context"
	"fmt"
	"slices"

	"gladepick/internal/cluster"
	"gladepick/internal/rpc"
)

// handlePartitionAsk changes a replica group as its primary wishes.
func (p *Plane) handlePartitionAsk(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var ask cluster.PartitionRequest
	if err := call.Decode(&ask); err != nil {
		return nil, nil, err
	}
	if err := p.requirePrimary(); err != nil {
		return nil, nil, err
	}
	err := p.manager.edit(ctx, func(draft *draft) error { return draft.grant(&ask) })
	if err != nil {
		return nil, nil, p.callError(err)
	}
	return nil, nil, nil
}

// grant changes the draft as a partition's primary asks.
func (d *draft) grant(ask *cluster.PartitionRequest) error {
	if ask.Partition < 0 || ask.Partition >= len(d.partitions) {
		return &rpc.Error{Code: rpc.CodeNotFound, Message: fmt.Sprintf("no partition %d", ask.Partition)}
	}
	partition := d.partitions[ask.Partition]
	primary, found := partition.Primary()
	if !found || partition.Epoch != ask.Epoch || primary.Store != ask.Store {
		return &rpc.Error{Code: rpc.CodeConflict, Message: "another view is the current one"}
	}
	partition.Replicas = slices.Clone(partition.Replicas)
	wishes := []func(*cluster.Partition, *cluster.PartitionRequest) error{d.grantSynced, d.grantDrop, d.grantHandover}
	for _, grantWish := range wishes {
		if err := grantWish(&partition, ask); err != nil {
			return err
		}
	}
	d.setPartition(ask.Partition, partition)
	return nil
}

// grantSynced marks a backup as whole. The view stays the same, and so does its epoch.
func (d *draft) grantSynced(partition *cluster.Partition, ask *cluster.PartitionRequest) error {
	if ask.Synced == "" {
		return nil
	}
	position := partition.Find(ask.Synced)
	if position < 0 {
		return &rpc.Error{Code: rpc.CodeConflict, Message: ask.Synced + " is no replica"}
	}
	partition.Replicas[position].Synced = true
	return nil
}

// grantDrop replaces a backup that does not answer its primary.
func (d *draft) grantDrop(partition *cluster.Partition, ask *cluster.PartitionRequest) error {
	if ask.Drop == "" {
		return nil
	}
	position := partition.Find(ask.Drop)
	if position <= 0 {
		return &rpc.Error{Code: rpc.CodeConflict, Message: ask.Drop + " is no backup"}
	}
	if d.expectsBack(partition.Replicas[position]) {
		return unavailable(ask.Drop + " is expected back")
	}
	if !d.dropBackup(partition, position) {
		return unavailable("no store can take the place of " + ask.Drop)
	}
	partition.Epoch++
	return nil
}

// grantHandover makes another replica the primary. The asker stays as the last backup, unless it is to be emptied.
func (d *draft) grantHandover(partition *cluster.Partition, ask *cluster.PartitionRequest) error {
	if !ask.Handover {
		return nil
	}
	position := d.successor(partition, ask.Ready)
	if position < 0 || d.store(partition.Replicas[position].Store).State != cluster.StoreActive {
		return unavailable("no other synced replica is alive")
	}
	asker, successor := partition.Replicas[0], partition.Replicas[position]
	backups := slices.Delete(slices.Clone(partition.Replicas), position, position+1)[1:]
	partition.Replicas = append([]cluster.Replica{successor}, backups...)
	if !d.retiring(asker) || d.syncedCopies(partition.Replicas) < d.copies {
		partition.Replicas = append(partition.Replicas, asker)
	}
	partition.PreferredPrimary = ""
	partition.Epoch++
	return nil
}
