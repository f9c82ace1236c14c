package controlstate

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
)

// snapshotHeader is the first line of a snapshot. The configuration follows it byte for byte.
type snapshotHeader struct {
	Digests        []string       `json:"orders,omitempty"` // digests of the remembered requests, oldest first
	Bases          []uint64       `json:"bases,omitempty"`  // base versions of these requests; absent from older snapshots
	ForgottenBelow uint64         `json:"forgot,omitempty"` // requests that are based on lower versions may be missing
	Table          *cluster.Table `json:"table"`
	Jobs           []RetireJob    `json:"jobs,omitempty"`
	Configuration  bool           `json:"configuration,omitempty"` // the configuration follows the line
}

// Snapshot returns the whole state, except for the recent configuration updates and table changes.
func (m *Machine) Snapshot() ([]byte, error) {
	current := m.current.Load()
	header := snapshotHeader{
		Digests:        current.digests,
		Bases:          current.bases,
		ForgottenBelow: current.ForgottenBelow,
		Table:          current.Table,
		Jobs:           current.Jobs,
		Configuration:  current.Document != nil,
	}
	line, err := json.Marshal(&header)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	snapshot := append(line, '\n')
	if current.Document != nil {
		snapshot = append(snapshot, current.Document.JSON()...)
	}
	return snapshot, nil
}

// Restore replaces the whole state with that of a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	line, body, found := bytes.Cut(snapshot, []byte{'\n'})
	if !found {
		return trace.BadParameter("snapshot has no newline after its first line")
	}
	var header snapshotHeader
	if err := json.Unmarshal(line, &header); err != nil {
		return trace.Wrap(err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	next, err := m.restoredState(&header, body)
	if err != nil {
		return trace.Wrap(err)
	}
	m.digests = make(map[string]struct{}, len(next.digests))
	for _, digest := range next.digests {
		m.digests[digest] = struct{}{}
	}
	m.current.Store(next)
	m.changed.Notify()
	return nil
}

// restoredState returns the state that a snapshot holds. The caller holds the lock.
func (m *Machine) restoredState(header *snapshotHeader, body []byte) (*State, error) {
	next := &State{
		Table:          header.Table,
		Jobs:           header.Jobs,
		ForgottenBelow: header.ForgottenBelow,
		digests:        header.Digests,
		bases:          header.Bases,
	}
	if next.Table == nil {
		next.Table = &cluster.Table{}
	}
	if header.Configuration {
		document, err := configuration.ParseAfter(m.current.Load().Document, body)
		if err != nil {
			return nil, trace.Wrap(err, "reading the configuration of a snapshot")
		}
		next.Document = document
	}
	if len(next.bases) != len(next.digests) {
		next.bases = slices.Repeat([]uint64{next.ConfigVersion()}, len(next.digests)) // no base is higher
	}
	return next, nil
}
