package controlplane

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
)

// snapshotHeader is the first line of a snapshot; the configuration follows it byte for byte.
type snapshotHeader struct {
	Orders        []string       `json:"orders,omitempty"`
	Bases         []uint64       `json:"bases,omitempty"`  // of the orders; older snapshots have none
	Forgot        uint64         `json:"forgot,omitempty"` // orders on lower versions may be missing
	Table         *cluster.Table `json:"table"`
	Jobs          []retireJob    `json:"jobs,omitempty"`
	Configuration bool           `json:"configuration,omitempty"` // one follows
}

// Snapshot returns the whole state. The updates that led to the configuration are not part of it.
func (s *stateMachine) Snapshot() ([]byte, error) {
	current := s.current.Load()
	header := snapshotHeader{
		Orders:        current.orders,
		Bases:         current.bases,
		Forgot:        current.forgot,
		Table:         current.table,
		Jobs:          current.jobs,
		Configuration: current.document != nil,
	}
	line, err := json.Marshal(&header)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	snapshot := append(line, '\n')
	if current.document != nil {
		snapshot = append(snapshot, current.document.JSON()...)
	}
	return snapshot, nil
}

// Restore replaces the whole state by a snapshot.
func (s *stateMachine) Restore(snapshot []byte) error {
	line, body, found := bytes.Cut(snapshot, []byte{'\n'})
	if !found {
		return trace.BadParameter("snapshot has no end of its first line")
	}
	var header snapshotHeader
	if err := json.Unmarshal(line, &header); err != nil {
		return trace.Wrap(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := &content{orders: header.Orders, bases: header.Bases, forgot: header.Forgot, table: header.Table, jobs: header.Jobs}
	if next.table == nil {
		next.table = &cluster.Table{}
	}
	if header.Configuration {
		document, err := configuration.ParseAfter(s.current.Load().document, body)
		if err != nil {
			return trace.Wrap(err, "reading the configuration of a snapshot")
		}
		next.document = document
	}
	if len(next.bases) != len(next.orders) {
		next.bases = slices.Repeat([]uint64{next.version()}, len(next.orders)) // at most that
	}
	s.orders = make(map[string]struct{}, len(next.orders))
	for _, digest := range next.orders {
		s.orders[digest] = struct{}{}
	}
	s.current.Store(next)
	s.changed.Notify()
	return nil
}
