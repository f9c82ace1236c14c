package replication

// StateMachine is what the group replicates. It must be deterministic. The group never calls it concurrently. It
// must not call the group.
type StateMachine interface {
	// Apply applies a committed change. An error is returned to the proposer; the change counts as applied all the same.
	Apply(change []byte) error
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(snapshot []byte) error
}
