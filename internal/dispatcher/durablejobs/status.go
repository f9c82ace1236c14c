package durablejobs

import (
	"cmp"
	"context"
	"strconv"

	"gladepick/internal/dispatcher/lease"
)

// Status returns the state as operators are shown it; with a key it adds that record, with * the open ones, 100 at most.
func (m *Manager) Status(ctx context.Context, key string) (any, bool) {
	var s lease.Status
	done := make(chan struct{})
	m.post(func() {
		defer close(done)
		c := &m.Counters
		s = lease.Status{Name: m.node.Name, Owner: m.owner(), Ready: m.isReady.Load(), Open: len(m.entries),
			Counters: map[string]int64{"taken": c.Acquired.Load(), "joined": c.OwnedElsewhere.Load(), "known": c.AlreadyFinished.Load(), "refused": c.Rejected.Load(),
				"inherited": c.TakenOver.Load(), "fenced": c.Fenced.Load(), "barred": c.Forbidden.Load(), "unsure": c.UnknownOutcome.Load(), "dropped": c.Dropped.Load()}}
		if id := m.replicas.AssignmentID(); id != 0 {
			s.AssignmentID = strconv.FormatUint(id, 16)
		}
		for _, g := range m.replicas.Status() {
			s.Groups = append(s.Groups, lease.GroupStatus(g))
			if g.Leads {
				s.Lost += min(g.Lost, 1)
			}
		}
		for n := range m.replicas.Groups() {
			machine, _ := m.replicas.StateMachine(n)
			if machine == nil {
				continue
			}
			t := machine.(*leaseMachine).Table
			s.RecordCount += t.Len()
			show := func(r *lease.Record) {
				s.Records = append(s.Records, lease.RecordStatus{Key: r.Key, Group: n, State: r.State.String(), Owner: r.Owner, Epoch: r.Epoch, Attempt: r.Attempt,
					First: cmp.Or(r.EarlierSendAt, r.FirstSendAt), Deadline: r.Terms.Deadline, Served: r.Outcome == lease.Served, Result: string(r.Result)})
			}
			if r, ok := t.Get(key); ok {
				show(&r)
			} else if key == "*" {
				for _, o := range t.Owners() {
					for _, key := range t.Owned(o) {
						if r, _ := t.Get(key); len(s.Records) < 100 {
							show(&r)
						}
					}
				}
			}
		}
	})
	select {
	case <-done:
		return s, true
	case <-m.ended:
	case <-ctx.Done():
	}
	return nil, false
}
