package controlplane

import (
	"context"
	"errors"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/placement"
	"gladepick/internal/controlplane/replication"
	"gladepick/internal/controlplane/tablemanager"
	"gladepick/internal/rpc"
)

// handlePartitionRequest serves cluster.MethodPartitionRequest: the primary of a partition asks for a change of its
// replica group. Before a backup is dropped, it is pinged. A synced backup that responds stays until another replica is
// synced in its place.
func (p *Plane) handlePartitionRequest(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request cluster.PartitionRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	if err := p.member.RequirePrimary(); err != nil {
		return nil, nil, err
	}
	change := (*placement.Builder).ApplyRequest
	if request.Drop != "" && p.pinger.responds(ctx, request.Drop) {
		change = (*placement.Builder).SuspectBackup
	}
	err := p.manager.Edit(ctx, func(builder *placement.Builder) error { return change(builder, &request) })
	if err != nil {
		return nil, nil, p.callError(err)
	}
	return nil, nil, nil
}

// callError converts a failure into an RPC error that the caller can act on.
func (p *Plane) callError(err error) error {
	var refused *placement.RequestError
	switch {
	case errors.Is(err, replication.ErrNotPrimary):
		return p.member.NotLeader()
	case errors.Is(err, tablemanager.ErrOutdated):
		return unavailable(err.Error())
	case errors.As(err, &refused):
		return &rpc.Error{Code: codeOf(refused.Kind), Message: refused.Message}
	}
	return err
}

// codeOf returns the RPC code for the kind of a placement.RequestError.
func codeOf(kind error) rpc.Code {
	switch {
	case errors.Is(kind, placement.ErrUnknownPartition):
		return rpc.CodeNotFound
	case errors.Is(kind, placement.ErrConflict):
		return rpc.CodeConflict
	}
	return rpc.CodeUnavailable
}

func unavailable(text string) error { return &rpc.Error{Code: rpc.CodeUnavailable, Message: text} }
