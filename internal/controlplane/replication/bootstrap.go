package replication

import (
	"context"

	"github.com/gravitational/trace"
)

// Bootstrap makes the first view of a new group, with this process as the primary. It may be repeated, and does
// nothing where this process knows of a view. It returns ErrBootstrapRefused where this process may not bootstrap
// the group, and ErrNoQuorum where too few members took part.
func (g *Group) Bootstrap(ctx context.Context, members []Member) error {
	if g.newestKnownView() != nil {
		return nil
	}
	genesis := View{Members: members}
	for _, member := range members {
		genesis.InSync = append(genesis.InSync, member.DiskID)
	}
	if !g.mayBootstrap(genesis) {
		return trace.Wrap(ErrBootstrapRefused)
	}
	made, err := g.changeView(ctx, viewChange{base: genesis, bootstrap: true, derive: g.deriveSuccessorView})
	if err != nil {
		return trace.Wrap(err)
	}
	return g.startLeadership(made)
}

// mayBootstrap reports whether this process may take part in the bootstrap of a group: that is allowed to it, it is
// a member, and its disk holds nothing of another group.
func (g *Group) mayBootstrap(genesis View) bool {
	_, member := findMember(genesis.Members, g.self.DiskID)
	blank := g.witness.record().Accepted == nil && g.replica.end() == position{}
	return member && blank && g.options.AllowBootstrap
}
