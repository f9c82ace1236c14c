package replication

// StateMachine is what the group replicates. It must be deterministic, and must not call the group. The group never
// calls it concurrently.
type StateMachine interface {
	// Apply applies a committed change. An error is returned to the proposer; the change counts as applied
	// nevertheless.
	Apply(change []byte) error
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}
