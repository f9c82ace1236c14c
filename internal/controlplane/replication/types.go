// Package replication keeps one small state machine on several processes by primary-backup replication.
//
// The primary appends a change to its log, sends it to every backup of the in-sync set and acknowledges it when all
// of them have synced it. Which process is the primary and which backups are in sync is said by a view. Views are
// decided by the members of the group in their second part as witnesses: a witness stores only the highest epoch it
// has promised and the newest view it has accepted, and a view is in force when a majority has accepted it.
//
// A view is made in three rounds: promises for a new epoch, by which the newest accepted view is learnt; alignment, in
// which every process of the new in-sync set gets the same log on its disk; and acceptance. So everything in the log
// of a new primary is committed at the moment its view is in force.
package replication

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/rpc"
	"gladepick/internal/vfs"
)

// ErrNotPrimary means that this process does not lead the group at present; what was asked for was surely not done.
var ErrNotPrimary = errors.New("replication: not the primary")

// ErrOutcomeUnknown means that the change was sent out but not confirmed: it may come into force or not.
var ErrOutcomeUnknown = errors.New("replication: outcome unknown")

// ErrNoQuorum means that no majority of the members could be won for a view.
var ErrNoQuorum = errors.New("replication: no majority")

// ErrBootstrapRefused means that this process may not bootstrap a group: it is not allowed to, or not among the members.
var ErrBootstrapRefused = errors.New("replication: may not found a group")

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

// Member is a process that takes part in the group. Its identity is its disk: a process that lost its disk is another
// member.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	DiskID  string `json:"diskId"`
}

// Role is the part that a process plays at a moment.
type Role struct {
	View     View   // the newest view this process has accepted
	Epoch    uint64 // the view's epoch
	Primary  bool   // it leads the group: a majority and the whole in-sync set have answered within the lease
	UpToDate bool   // its state is current enough to be read
}

// Timing holds the durations of the protocol. Zero values are replaced by the defaults.
type Timing struct {
	HeartbeatInterval time.Duration // how often the primary calls each member
	LeaseDuration     time.Duration // for how long a witness stands by a primary it has heard from
	BackupTimeout     time.Duration // after which silence a backup leaves the in-sync set
	RefusedTimeout    time.Duration // the same after its address refused a connection
	RoundTimeout      time.Duration // limit of a round of promises, of alignment or of acceptance
	StatusTimeout     time.Duration // limit of the call by which a backup looks whether a silent primary lives
	SnapshotTimeout   time.Duration // limit of a transfer of the whole state
}

const (
	defaultHeartbeatInterval = 150 * time.Millisecond
	defaultLeaseDuration     = 900 * time.Millisecond
	defaultDropAfter         = 600 * time.Millisecond
	defaultRefusedDropAfter  = 100 * time.Millisecond
	defaultRoundTimeout      = 500 * time.Millisecond
	defaultProbeTimeout      = 200 * time.Millisecond
	defaultCopyTimeout       = 3 * time.Second
)

// Options say what a group works with.
type Options struct {
	Self              Member
	Pool              *rpc.Pool
	Server            *rpc.Server
	FS                vfs.FS
	StateMachine      StateMachine
	ReplicationFactor int // on how many disks a change is before it is acknowledged: tolerated losses + 1
	AllowBootstrap    bool
	Logger            *zap.Logger
	Seed              uint64 // of the random pauses before elections
	Timing            Timing

	// HeartbeatPayload is asked at the primary for what each heartbeat carries to a backup. It may be nil.
	HeartbeatPayload func() []byte
	// OnHeartbeat gets a heartbeat's payload at the backup, and a moment after which it was sent. It may be nil.
	OnHeartbeat func(payload []byte, sentAfter time.Time)
	// ResponsePayload is asked at the backup for what the answer to a heartbeat carries; it gets the answer's number, which
	// grows with each answer. It may be nil.
	ResponsePayload func(number uint64) []byte
	// OnResponseEcho is called at the backup when it learns that an answer has reached a primary that led after that. It may be
	// nil.
	OnResponseEcho func(number uint64)
	// OnHeartbeatResponse gets the answer's payload at the primary. It may be nil.
	OnHeartbeatResponse func(from Member, payload []byte)
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.ReplicationFactor < 1 {
		o.ReplicationFactor = 1
	}
	setDefault(&o.Timing.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&o.Timing.LeaseDuration, defaultLeaseDuration)
	setDefault(&o.Timing.BackupTimeout, defaultDropAfter)
	setDefault(&o.Timing.RefusedTimeout, defaultRefusedDropAfter)
	setDefault(&o.Timing.RoundTimeout, defaultRoundTimeout)
	setDefault(&o.Timing.StatusTimeout, defaultProbeTimeout)
	setDefault(&o.Timing.SnapshotTimeout, defaultCopyTimeout)
	return o
}

func payloadOf(source func() []byte) []byte {
	if source == nil {
		return nil
	}
	return source()
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// suspectAfter is the silence after which a backup looks whether the primary lives.
func (t Timing) suspectAfter() time.Duration { return 2 * t.HeartbeatInterval }
