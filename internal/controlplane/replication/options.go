package replication

import (
	"time"

	"go.uber.org/zap"

	"gladepick/internal/rpc"
	"gladepick/internal/vfs"
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
	// ResponsePayload is asked at the backup for what the response to a heartbeat carries; it gets the response's number, which
	// grows with each response. It may be nil.
	ResponsePayload func(number uint64) []byte
	// OnResponseEcho is called at the backup when it learns that a response has reached a primary that led after that. It may be
	// nil.
	OnResponseEcho func(number uint64)
	// OnHeartbeatResponse gets the response's payload at the primary. It may be nil.
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

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// suspectAfter is the silence after which a backup looks whether the primary lives.
func (t Timing) suspectAfter() time.Duration { return 2 * t.HeartbeatInterval }

func payloadOf(source func() []byte) []byte {
	if source == nil {
		return nil
	}
	return source()
}
