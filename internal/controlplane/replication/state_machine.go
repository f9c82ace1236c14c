package replication

// StateMachine is what the group replicates. It must be deterministic. The group never calls it concurrently; it must
// not call back into the group.
type StateMachine interface {
	// Apply carries a committed change out. An error is handed to the proposer; the change counts as applied.
	Apply(change []byte) error
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}
