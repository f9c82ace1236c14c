package durablejobs

import (
	"cmp"
	"context"
	"strconv"

	"gladepick/internal/dispatcher/lease"
)

// Status returns a lease.Status for operators. With a key it includes the record of that key, and with the key * up to
// 100 records of open jobs. It reports false if ctx or Run ends first.
func (m *Manager) Status(ctx context.Context, key string) (any, bool) {
	var status lease.Status
	done := make(chan struct{})
	m.post(func() {
		defer close(done)
		c := &m.Counters
		status = lease.Status{Name: m.node.Name, Owner: m.owner(), Ready: m.isReady.Load(), Open: len(m.entries),
			Counters: map[string]int64{"taken": c.Acquired.Load(), "joined": c.OwnedElsewhere.Load(), "known": c.AlreadyFinished.Load(), "refused": c.Rejected.Load(),
				"inherited": c.TakenOver.Load(), "fenced": c.Fenced.Load(), "barred": c.Forbidden.Load(), "unsure": c.UnknownOutcome.Load(), "dropped": c.Dropped.Load()}}
		if id := m.replicas.AssignmentID(); id != 0 {
			status.AssignmentID = strconv.FormatUint(id, 16)
		}
		for _, g := range m.replicas.Status() {
			status.Groups = append(status.Groups, lease.GroupStatus(g))
			if g.Leads {
				status.Lost += min(g.Lost, 1)
			}
		}
		for group := range m.replicas.Groups() {
			machine, _ := m.replicas.StateMachine(group)
			if machine == nil {
				continue
			}
			table := machine.(*leaseMachine).Table
			status.RecordCount += table.Len()
			addRecord := func(r *lease.Record) {
				status.Records = append(status.Records, lease.RecordStatus{Key: r.Key, Group: group, State: r.State.String(), Owner: r.Owner, Epoch: r.Epoch, Attempt: r.Attempt,
					First: cmp.Or(r.EarlierSendAt, r.FirstSendAt), Deadline: r.Terms.Deadline, Served: r.Outcome == lease.Served, Result: string(r.Result)})
			}
			if r, ok := table.Get(key); ok {
				addRecord(&r)
			} else if key == "*" {
				for _, tableOwner := range table.Owners() {
					for _, key := range table.Owned(tableOwner) {
						if r, _ := table.Get(key); len(status.Records) < 100 {
							addRecord(&r)
						}
					}
				}
			}
		}
	})
	select {
	case <-done:
		return status, true
	case <-m.ended:
	case <-ctx.Done():
	}
	return nil, false
}
