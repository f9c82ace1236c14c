package replication

import (
	"time"

	"go.uber.org/zap"

	"gladepick/internal/rpc"
	"gladepick/internal/vfs"
)

// Options configure a group. Self, Pool, Server, FS and StateMachine are required.
type Options struct {
	Self              Member
	Pool              *rpc.Pool
	Server            *rpc.Server
	FS                vfs.FS
	StateMachine      StateMachine
	ReplicationFactor int  // number of disks that hold a change before it is acknowledged: the tolerated losses + 1
	AllowBootstrap    bool // whether this process may take part in the bootstrap of a new group
	Logger            *zap.Logger
	Seed              uint64 // of the random delays before elections
	Timing            Timing

	// HeartbeatPayload is called at the primary and returns what a heartbeat carries to a backup. It may be nil.
	HeartbeatPayload func() []byte
	// OnHeartbeat is called at the backup with a heartbeat's payload, and a time after which it was sent. It may be nil.
	OnHeartbeat func(payload []byte, sentAfter time.Time)
	// ResponsePayload is called at the backup and returns what the response to a heartbeat carries. It gets the number
	// of the response; each response has a higher number than the previous one. It may be nil.
	ResponsePayload func(number uint64) []byte
	// OnResponseEcho is called at the backup when it learns that the response with a number has reached the primary,
	// and that the primary has led after the response was sent. It may be nil.
	OnResponseEcho func(number uint64)
	// OnHeartbeatResponse is called at the primary with the payload of a response. It may be nil.
	OnHeartbeatResponse func(from Member, payload []byte)
}

// withDefaults returns the options with defaults in place of zero values.
func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.ReplicationFactor < 1 {
		o.ReplicationFactor = 1
	}
	setDefault(&o.Timing.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&o.Timing.LeaseDuration, defaultLeaseDuration)
	setDefault(&o.Timing.BackupTimeout, defaultBackupTimeout)
	setDefault(&o.Timing.RefusedTimeout, defaultRefusedTimeout)
	setDefault(&o.Timing.RoundTimeout, defaultRoundTimeout)
	setDefault(&o.Timing.StatusTimeout, defaultStatusTimeout)
	setDefault(&o.Timing.SnapshotTimeout, defaultSnapshotTimeout)
	return o
}

// Timing holds the durations of the protocol. A zero value means the default.
type Timing struct {
	HeartbeatInterval time.Duration // between two heartbeats to a member
	LeaseDuration     time.Duration // how long a witness supports a primary after its last heartbeat
	BackupTimeout     time.Duration // a backup that has not responded for this long leaves the in-sync set
	RefusedTimeout    time.Duration // the same, counted since its address began to refuse connections
	RoundTimeout      time.Duration // limit of a prepare, align or accept round
	StatusTimeout     time.Duration // limit of the call by which a backup checks a primary that it suspects
	SnapshotTimeout   time.Duration // limit of the transfer of a snapshot
}

const (
	defaultHeartbeatInterval = 150 * time.Millisecond
	defaultLeaseDuration     = 900 * time.Millisecond
	defaultBackupTimeout     = 600 * time.Millisecond
	defaultRefusedTimeout    = 100 * time.Millisecond
	defaultRoundTimeout      = 500 * time.Millisecond
	defaultStatusTimeout     = 200 * time.Millisecond
	defaultSnapshotTimeout   = 3 * time.Second
)

// setDefault replaces a duration that is not positive with the fallback.
func setDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// suspectAfter is the time without a heartbeat after which a backup suspects that the primary has failed.
func (t Timing) suspectAfter() time.Duration { return 2 * t.HeartbeatInterval }

// payloadOf returns the payload of a source, or nil if the source is nil.
func payloadOf(source func() []byte) []byte {
	if source == nil {
		return nil
	}
	return source()
}
