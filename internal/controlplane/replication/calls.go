package replication

import (
	"context"
	"time"

	"gladepick/internal/rpc"
)

// register registers the handlers of the group's calls.
func (g *Group) register(server *rpc.Server) {
	server.Handle(methodPrepare, handle(g, g.servePrepare))
	server.Handle(methodAccept, handle(g, g.serveAccept))
	server.Handle(methodAttach, handle(g, g.serveAttach))
	server.Handle(methodAppend, handle(g, g.serveAppend))
	server.Handle(methodHeartbeat, handle(g, g.serveHeartbeat))
	server.Handle(methodStatus, handle(g, g.serveStatus))
}

// handle returns the handler of a method with typed parameters. It refuses calls once the group is closed.
func handle[Request any](
	g *Group, serve func(ctx context.Context, request Request, body []byte) (any, []byte, error),
) rpc.Handler {
	return func(ctx context.Context, call *rpc.Call) (any, []byte, error) {
		if g.ctx.Err() != nil {
			return nil, nil, &rpc.Error{Code: rpc.CodeUnavailable, Message: "the group is closed"}
		}
		var request Request
		if err := call.Decode(&request); err != nil {
			return nil, nil, err
		}
		return serve(ctx, request, call.Body)
	}
}

// checkTarget returns an error if a call is meant for another disk at the same address.
func (g *Group) checkTarget(target string) error {
	if target == g.self.DiskID {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeNotFound, Message: "this process has another disk: " + g.self.DiskID}
}

// call makes a call to a member, limited in time.
func (g *Group) call(
	ctx context.Context, limit time.Duration, to Member, method string, params any, body []byte, result any,
) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return g.options.Pool.Get(to.Address).Call(ctx, method, params, body, result)
}

// serveStatus returns whether this process leads.
func (g *Group) serveStatus(context.Context, struct{}, []byte) (any, []byte, error) {
	response := statusResponse{DiskID: g.self.DiskID, Epoch: g.witness.record().acceptedEpoch()}
	if l := g.leadership.Load(); l != nil {
		response.Leading = l.leaseValid(time.Now())
	}
	return response, nil, nil
}
