package replication

import (
	"context"

	"github.com/gravitational/trace"
)

// Bootstrap makes the first view of a new group, with this process as the primary. It may be repeated, and does nothing
// if this process already knows a view. It returns ErrBootstrapRefused if this process may not bootstrap the group, and
// ErrNoQuorum if too few members took part.
func (g *Group) Bootstrap(ctx context.Context, members []Member) error {
	if g.newestKnownView() != nil {
		return nil
	}
	first := View{Members: members}
	for _, member := range members {
		first.InSync = append(first.InSync, member.DiskID)
	}
	if !g.mayBootstrap(first) {
		return trace.Wrap(ErrBootstrapRefused)
	}
	established, err := g.changeView(ctx, viewChange{base: first, bootstrap: true, derive: g.deriveSuccessorView})
	if err != nil {
		return trace.Wrap(err)
	}
	return g.startLeadership(established)
}

// mayBootstrap reports whether this process may take part in the bootstrap of a group: Options.AllowBootstrap is set,
// the process is a member, and its disk belongs to no group yet.
func (g *Group) mayBootstrap(first View) bool {
	_, member := findMember(first.Members, g.self.DiskID)
	blank := g.witness.record().Accepted == nil && g.replica.end() == position{}
	return member && blank && g.options.AllowBootstrap
}
