// The rounds in which a dispatcher learns who takes part, and takes over from those that have failed.

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

// runRound learns who takes part, and takes over from dispatchers that do not.
func (m *Manager) runRound(ctx context.Context) {
	m.links.announce(m.replicas.AssignmentID(), m.isLeaving.Load())
	v, life, joined, quorum := m.members.View(ctx)
	m.view, m.incarnation, quorum = v, life, joined && quorum
	var there []raftgroup.Member
	for i := range v.Members {
		r := &v.Members[i]
		if r.Name == m.node.Name {
			there = append(there, raftgroup.Member{NodeID: m.links.self(), Zone: r.Zone, Assignment: m.replicas.AssignmentID(), Leaving: m.isLeaving.Load()})
		} else if peer, ok := m.links.memberOf(r.Name); ok {
			peer.Zone = r.Zone
			there = append(there, peer)
		}
	}
	m.carryOut(m.replicas.SetMembers(m.now(), there, quorum))
	m.isReady.Store(m.replicas.Ready() && v.Contains(m.node.Name, life))
	if !quorum {
		clear(m.missingSince)
		return
	}
	tidy := m.now() >= m.expiredAt+2*time.Second
	if tidy {
		m.expiredAt = m.now()
	}
	room := m.limits.LeaseSubmitBatch
	for n := range m.replicas.Groups() {
		machine, leads := m.replicas.StateMachine(n)
		if machine == nil {
			continue
		}
		t := machine.(*leaseMachine).Table
		m.resumeOwned(n, t, &room)
		if !leads || m.takingOver[n] {
			continue
		}
		if from := m.failedOwner(t); from != "" {
			m.proposeGroupCommand(n, &lease.Command{Kind: lease.TakeOver, PreviousOwner: from, Owner: m.owner(), Time: m.wall(), Limit: m.limits.LeaseTransferBatch})
		} else if tidy {
			m.proposeGroupCommand(n, &lease.Command{Kind: lease.TakeOver, Owner: m.owner(), Time: m.wall(), Limit: m.limits.LeaseTransferBatch})
			m.proposeGroupCommand(n, &lease.Command{Kind: lease.Expire, Time: m.wall(), Limit: 1000})
		}
	}
}

// failedOwner returns an owner of open records that has not been in the view for some time, or nothing.
func (m *Manager) failedOwner(t *lease.Table) string {
	for _, o := range t.Owners() {
		at := max(strings.LastIndexByte(o, '.'), 0)
		name := o[:at]
		life, _ := strconv.ParseUint(o[at+1:], 10, 64)
		if i := slices.IndexFunc(m.view.Members, func(r membership.Record) bool { return r.Name == name }); i >= 0 && m.view.Members[i].Incarnation <= life {
			delete(m.missingSince, o)
			continue
		}
		if since, ok := m.missingSince[o]; !ok {
			m.missingSince[o] = m.now()
		} else if m.now() >= since+m.limits.LeaseOrphanDelay {
			return o
		}
	}
	return ""
}

// resumeOwned goes on with records that this dispatcher has taken over, some at a time.
func (m *Manager) resumeOwned(n int, t *lease.Table, room *int) {
	for _, key := range t.Owned(m.owner()) {
		if *room <= 0 {
			return
		}
		if len(m.entriesByKey[key]) > 0 {
			continue
		}
		r, _ := t.Get(key)
		class := config.Index(m.node.Classes, key[:max(strings.IndexByte(key, '/'), 0)])
		if class < 0 {
			continue // a class that this dispatcher's settings don't have
		}
		*room--
		m.openJobs.Add(1)
		m.Counters.TakenOver.Add(1)
		m.logEvent(map[string]any{"act": "inherit", "key": key, "epoch": r.Epoch, "state": r.State.String(), "owner": m.owner()})
		e := &entry{deadline: m.now() + time.Duration(r.Terms.Deadline-m.wall())*time.Millisecond}
		h, acts := lease.Resume(&r, m.sendWindow(&m.node.Module.Classes[class]), m.wall())
		m.add(e, h)
		m.carryOutLease(e, acts)
	}
}
