// The periodic round in which a dispatcher updates its members and takes over leases of failed dispatchers.

package durablejobs

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/lease"
	"gladepick/internal/dispatcher/membership"
	"gladepick/internal/dispatcher/raftgroup"
)

// runRound updates the members from the membership view and resumes the leases that this dispatcher owns. For each
// group that it leads, it proposes to take over the leases of a failed owner, and every 2 s to take over overdue
// records and to remove expired ones.
func (m *Manager) runRound(ctx context.Context) {
	m.links.announce(m.replicas.AssignmentID(), m.isLeaving.Load())
	currentView, ownIncarnation, joined, quorum := m.members.View(ctx)
	m.view, m.incarnation, quorum = currentView, ownIncarnation, joined && quorum
	var present []raftgroup.Member
	for i := range currentView.Members {
		record := &currentView.Members[i]
		if record.Name == m.node.Name {
			present = append(present, raftgroup.Member{NodeID: m.links.self(), Zone: record.Zone, Assignment: m.replicas.AssignmentID(), Leaving: m.isLeaving.Load()})
		} else if peer, ok := m.links.memberOf(record.Name); ok {
			peer.Zone = record.Zone
			present = append(present, peer)
		}
	}
	m.carryOut(m.replicas.SetMembers(m.now(), present, quorum))
	m.isReady.Store(m.replicas.Ready() && currentView.Contains(m.node.Name, ownIncarnation))
	if !quorum {
		clear(m.missingSince)
		return
	}
	isExpiryDue := m.now() >= m.expiredAt+2*time.Second
	if isExpiryDue {
		m.expiredAt = m.now()
	}
	batchLeft := m.limits.LeaseSubmitBatch
	for group := range m.replicas.Groups() {
		machine, leads := m.replicas.StateMachine(group)
		if machine == nil {
			continue
		}
		table := machine.(*leaseMachine).Table
		m.resumeOwned(group, table, &batchLeft)
		if !leads || m.takingOver[group] {
			continue
		}
		if from := m.failedOwner(table); from != "" {
			m.proposeGroupCommand(group, &lease.Command{Kind: lease.TakeOver, PreviousOwner: from, Owner: m.owner(), Time: m.unixMs(), Limit: m.limits.LeaseTransferBatch})
		} else if isExpiryDue {
			m.proposeGroupCommand(group, &lease.Command{Kind: lease.TakeOver, Owner: m.owner(), Time: m.unixMs(), Limit: m.limits.LeaseTransferBatch})
			m.proposeGroupCommand(group, &lease.Command{Kind: lease.Expire, Time: m.unixMs(), Limit: 1000})
		}
	}
}

// failedOwner returns an owner of open records that has been missing from the view for Limits.LeaseOrphanDelay, or "".
// An owner with an earlier incarnation than the member of its name is missing too.
func (m *Manager) failedOwner(table *lease.Table) string {
	for _, owner := range table.Owners() {
		separator := max(strings.LastIndexByte(owner, '.'), 0)
		name := owner[:separator]
		incarnation, _ := strconv.ParseUint(owner[separator+1:], 10, 64)
		if i := slices.IndexFunc(m.view.Members, func(r membership.Record) bool { return r.Name == name }); i >= 0 && m.view.Members[i].Incarnation <= incarnation {
			delete(m.missingSince, owner)
			continue
		}
		if since, ok := m.missingSince[owner]; !ok {
			m.missingSince[owner] = m.now()
		} else if m.now() >= since+m.limits.LeaseOrphanDelay {
			return owner
		}
	}
	return ""
}

// resumeOwned resumes the leases that this dispatcher owns in a group and has no entry for: it has taken them over from
// a failed dispatcher. batchLeft is the number of leases that it may still resume in this round.
func (m *Manager) resumeOwned(group int, table *lease.Table, batchLeft *int) {
	for _, key := range table.Owned(m.owner()) {
		if *batchLeft <= 0 {
			return
		}
		if len(m.entriesByKey[key]) > 0 {
			continue
		}
		record, _ := table.Get(key)
		class := config.Index(m.node.Classes, key[:max(strings.IndexByte(key, '/'), 0)])
		if class < 0 {
			continue // this dispatcher's settings do not have the class
		}
		*batchLeft--
		m.openJobs.Add(1)
		m.Counters.TakenOver.Add(1)
		m.logEvent(map[string]any{"act": "inherit", "key": key, "epoch": record.Epoch, "state": record.State.String(), "owner": m.owner()})
		newEntry := &entry{deadline: m.now() + time.Duration(record.Terms.Deadline-m.unixMs())*time.Millisecond}
		resumed, actions := lease.Resume(&record, m.sendWindow(&m.node.Module.Classes[class]), m.unixMs())
		m.add(newEntry, resumed)
		m.carryOutLease(newEntry, actions)
	}
}
