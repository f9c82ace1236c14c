// Package config is the one place where settings come in. It reads the
// environment, the platform's NODE_CONFIG file and the operator's TOML files,
// checks every value, fills in the defaults and derives Limits, the one type
// that holds all sizes, counts and times of the program. Its errors name the
// faulty key. It must never open a socket, start anything or decide anything
// about a job.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/simadapter"
)

// Limits holds every size, count and time that the parts work with. It is
// filled once at the start and handed down by value; no part has its own.
type Limits struct {
	Cores    float64 // processor share
	MemoryMB int     // memory at which the platform ends the process
	Sockets  int     // descriptors in all; split into the three that follow

	ClientConns            int // client connections open at a time
	ClientConnsWithoutHead int // among them those that have not said a whole head yet
	SpareClientConns       int // so many more while those go that were asked to, and so many turned away whose rest is read
	WorkerConns            int // worker connections open at a time, idle ones included
	DiscoveryConns         int // calls to discovery open at a time

	BodyBytes       int64 // bytes of a job's body or of a worker's answer
	AllBodiesBytes  int64 // bytes of all clients' bodies held at a time
	HeadBytes       int   // bytes of a message's head
	LineBytes       int   // bytes of one line of an answer or of the roster
	WorkerListBytes int   // bytes of one line or whole list of the roster
	Workers         int   // workers listed at a time
	OpenJobs        int   // jobs taken and not answered at a time
	QueuedEvents    int   // events that wait for the core
	TrailingBytes   int   // bytes read at most of what follows a last line

	AnswerReserve                 time.Duration // kept free before a client's deadline for the answer's way back
	RetryAfter                    time.Duration // told to a refused client where the module names no figure
	MaxJobTimeout                 time.Duration // the longest deadline that a client may ask for
	ConnectTimeout                time.Duration // a worker's connection comes up within it
	WorkerIdleTimeout             time.Duration // idle worker connections are closed after it
	ClientIdleTimeout             time.Duration // idle client connections are closed after it
	ReadTimeout                   time.Duration // a client finishes its head and body within it, the first from connecting on
	LingerTimeout                 time.Duration // after an answer that came early, what a client still sends is read away so long
	LingerBytes                   int64         // and so many bytes of it at most
	TrailingTimeout               time.Duration // how long the end of a finished answer may take
	LateAnswerWindow              time.Duration // so late a worker may give an answer once more
	DiscoveryCallTimeout          time.Duration // a call to discovery is answered within it
	DiscoverySilenceTimeout       time.Duration // a watch that says nothing for so long has broken
	DiscoveryBackoff              time.Duration // first pause, on average, after a call that failed or ended; doubles up to
	DiscoveryBackoffMax           time.Duration // this
	DrainGrace                    time.Duration // no byte of a new send goes to a leaving worker later than this
	DrainDelay                    time.Duration // after SIGTERM the listener stays open so long
	LastAcceptWindow              time.Duration // then what has already come there is let in for so long
	LastAnswerWindow              time.Duration // after SIGTERM what came later than that is answered by then: the platform may kill from then on
	OutcomeRetention              time.Duration // outcomes of keyed jobs are kept so long
	RetainedOutcomes              int           // and so many of them at most
	RetainedOutcomeBytes          int           // holding so many bytes together at most
	BrokerBackoff                 time.Duration // first pause before a broker is called again; doubles up to
	BrokerBackoffMax              time.Duration // this
	ConfirmTimeout                time.Duration // a broker confirms an answer within it
	CaptureQueueRows              int           // rows of each kind that wait for the recorder at most
	CaptureGroupRows              int           // rows that the recorder writes at a time
	CaptureRetryDelay             time.Duration // pause after a disk that took nothing
	PeerDatagramsPerSecond        int           // datagrams read in a second at most
	UnknownPeerDatagramsPerSecond int           // among them those taken in from addresses that are no member's
	QueuedPeerDatagrams           int           // datagrams that wait for the membership
	PeerBytesPerSecond            int           // sent to other dispatchers in a second at most
	PeerLeaveTimeout              time.Duration // the others are told for so long that this one leaves
	ReplicaFrameBytes             int           // bytes of one frame between dispatchers that keep copies
	ReplicaQueueBytes             int           // bytes of frames that wait for one of them at most; what is beyond is as good as lost
	ReplicaDialTimeout            time.Duration // a connection to one of them comes up within it, and a frame goes out
	ReplicaRetryDelay             time.Duration // pause after a connection that failed
	LeaseReserve                  time.Duration // kept free before a client's deadline for the copies' word
	LeasePollInterval             time.Duration // between two looks at a job that another dispatcher has
	LeaseNotifyWindow             time.Duration // the copies are told of an outcome for so long after the deadline
	LeaseTransferBatch            int           // leases of a dead dispatcher that one command moves
	LeaseSubmitBatch              int           // of those, jobs handed to the module in a round of LeaseRound
	LeaseRoundInterval            time.Duration // between two looks at who is gone
	LeaseShutdownTimeout          time.Duration // who leaves waits so long at most for others to get his copies
	LeaseOrphanDelay              time.Duration // a dispatcher is out of the view for so long before its leases move
}

// AMQP sets up the second front and the workers that take jobs from queues.
type AMQP struct {
	URL      string       `toml:"url"`
	Jobs     string       `toml:"jobs"`     // the queue that portals put jobs into
	Prefetch int          `toml:"prefetch"` // deliveries out at a time
	Workers  []AMQPWorker `toml:"worker"`
}

// AMQPWorker is a worker that takes its jobs from a queue.
type AMQPWorker struct {
	ID    string `toml:"id"`
	Queue string `toml:"queue"`
	Zone  string `toml:"zone"`
	Kind  string `toml:"kind"`
	Cell  int    `toml:"cell"`
}

// Capture sets up the recorder of what a dispatcher takes, sends and answers.
type Capture struct {
	Dir      string  `json:"dir"`
	RotateMB float64 `json:"rotate_mb"` // a pair of files is closed at this size together
	RotateS  float64 `json:"rotate_s"`  // or at this age
	GroupS   float64 `json:"group_s"`   // rows wait for their group no longer than this
	KeepMB   float64 `json:"keep_mb"`   // closed files of this dispatcher beyond this go, oldest first; 0 keeps all
	Salt     string  `json:"salt"`      // subjects are hashed with it
}

// Members sets up the membership among dispatchers.
type Membership struct {
	Path             string         // of the operator's file
	Listen           netip.AddrPort // for datagrams
	Advertise        netip.AddrPort // where the others reach it
	Peers            []Peer
	LearnNames       bool // peers have no names: who is at an address shows in what comes from there
	ProbeInterval    time.Duration
	SuspicionTimeout time.Duration
	Weight           float64
	Version          string
	Events           string // a file that gets a JSON line for each change
}

// Promises sets up jobs that are taken for keeps: copied to other dispatchers before anything is done for them.
type DurableJobs struct {
	Path         string // of the operator's file
	Listen       netip.AddrPort
	Peers        []Peer // the others, all named
	Groups       int
	Replicas     int
	Retention    time.Duration // outcomes are kept so long after the client's deadline
	MaxClockSkew time.Duration // between two dispatchers' clocks at most
	MaxJobs      int           // promises kept, open ones among them, over all groups
	Events       string
	CrashAt      string // for trials: the process ends itself at this point
	CrashOn      int    // when it is reached for the nth time
	CrashByStop  bool   // or stops itself, until somebody wakes it
}

// CrashPoints are the places of Promises.CrashAt, in the order in which a job passes them.
var CrashPoints = []string{"before-take", "taken", "before-intent", "intended", "sent", "worked", "ended", "told"}

// Peer is another dispatcher that may be asked for the way in.
type Peer struct {
	Name    string // empty: not known
	Address netip.AddrPort
}

// Worker is one line of the roster as discovery words it.
type Worker struct {
	ID          string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"machineType"`
	Cell        int     `json:"cell"`
	State       string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	Queue       string  `json:"-"` // set where the worker takes its jobs over AMQP
}

// Roster is a list of workers, whole (Reset) or only what changed.
type WorkerList struct {
	Generation int64    `json:"generation"`
	Reset      bool     `json:"reset"`
	Workers    []Worker `json:"instances"`
}

// Node is all that one dispatcher is told.
type Node struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Known                   WorkerList
	Module                  decision.Settings
	Classes, Tenants        []string
	Zones, Kinds            []string
	LoadFields              []string // as workers word them, in the module's order
	Limits                  Limits
	AMQP                    *AMQP        // nil: the front is off
	Capture                 *Capture     // nil: nothing is recorded
	Membership              *Membership  // nil: it knows of no other dispatcher
	DurableJobs             *DurableJobs // nil: jobs are not taken for keeps
}

// ZoneName is the name of this dispatcher's zone, empty where the settings name none.
func (n *Node) ZoneName() string {
	if z := n.Module.Zone; z < len(n.Zones) {
		return n.Zones[z]
	}
	return ""
}

type nodeFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *int     `json:"memory_mb"`
		Sockets  *int     `json:"sockets"`
	} `json:"limits"`
	Known    WorkerList     `json:"known"`
	Peers    []string       `json:"peers"`       // where the other dispatchers are reached, this one's own place among them
	PeerAt   string         `json:"peer_listen"` // where this one listens for them
	Settings map[string]any `json:"settings"`
}

// wordOf gives the workers' own word for a load figure that the settings name otherwise.
var wordOf = map[string]string{"fail_rate": "eps", "rate": "qps", "q": "queue", "rif": "inflight", "busy": "util", "lat_ms": "latency_ms"}

// Load reads what one dispatcher is told, from the environment and the file
// that NODE_CONFIG names. The environment wins over the file.
func Load(getenv func(string) string) (*Node, error) {
	var f nodeFile
	if path := getenv("NODE_CONFIG"); path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("NODE_CONFIG: %w", err)
		}
		dec := json.NewDecoder(strings.NewReader(string(text)))
		dec.UseNumber() // nanoseconds keep their digits
		err = dec.Decode(&f)
		if err == nil && dec.Decode(new(any)) != io.EOF {
			err = errors.New("more stands behind the end of the object")
		}
		if err != nil {
			var wrong *json.UnmarshalTypeError
			if errors.As(err, &wrong) {
				return nil, fmt.Errorf("NODE_CONFIG: key %s: a %s is not valid", wrong.Field, wrong.Value)
			}
			return nil, fmt.Errorf("NODE_CONFIG: %s: %w", path, err)
		}
	}
	for key, to := range map[string]*string{"NODE_NAME": &f.Name, "NODE_LISTEN": &f.Listen, "NODE_DISCOVERY": &f.Discovery} {
		if v := getenv(key); v != "" {
			*to = v
		}
	}
	n := &Node{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Known: f.Known}
	if _, err := netip.ParseAddrPort(n.Listen); err != nil {
		return nil, fmt.Errorf("listen (NODE_LISTEN): %q is not an address and port", n.Listen)
	}
	if n.Discovery != "" {
		if _, err := netip.ParseAddrPort(n.Discovery); err != nil {
			return nil, fmt.Errorf("discovery (NODE_DISCOVERY): %q is not an address and port", n.Discovery)
		}
	}
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", f.Seed)
		}
		n.Seed = seed
	} else {
		n.Seed = uint64(time.Now().UnixNano())
	}
	var lines strings.Builder
	flatten(&lines, "", f.Settings)
	var err error
	if n.Module, err = simadapter.ParseSettings(lines.String()); err != nil {
		return nil, fmt.Errorf("NODE_CONFIG: %s: %w", getenv("NODE_CONFIG"), err)
	}
	if n.Classes, err = names(f.Settings, "classes"); err != nil {
		return nil, err
	}
	if n.Tenants, err = names(f.Settings, "tenants"); err != nil {
		return nil, err
	}
	n.Zones, n.Kinds = words(f.Settings["zones"]), words(f.Settings["kinds"])
	if report, ok := f.Settings["report"].(map[string]any); ok {
		n.LoadFields = words(report["fields"])
	}
	cores, memory, sockets := 1.0, 192, 1024
	if v := f.Limits.Cores; v != nil {
		cores = *v
	}
	if v := f.Limits.MemoryMB; v != nil {
		memory = *v
	}
	if v := f.Limits.Sockets; v != nil {
		sockets = *v
	}
	if n.Limits, err = derive(cores, memory, sockets, &n.Module); err != nil {
		return nil, err
	}
	n.Limits.ConnectTimeout = span(f.Settings, n.Limits.ConnectTimeout, "limits", "connect_timeout")
	if path := getenv("NODE_AMQP"); path != "" {
		if n.AMQP, err = loadAMQP(path, n); err != nil {
			return nil, err
		}
	}
	if path := getenv("NODE_MEMBERS"); path != "" {
		if n.Membership, err = loadMembers(path, n, &f); err != nil {
			return nil, err
		}
	}
	if path := getenv("NODE_PROMISES"); path != "" {
		if n.DurableJobs, err = loadPromises(path, n, &f); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Reload reads the same again for a program that runs. Now the file wins over NODE_DISCOVERY: that is what the program
// was started with, the file is what has been put in its place since.
func Reload(getenv func(string) string) (*Node, error) {
	n, err := Load(func(key string) string {
		if key == "NODE_DISCOVERY" {
			return ""
		}
		return getenv(key)
	})
	if err == nil && n.Discovery == "" {
		return Load(getenv)
	}
	return n, err
}

// Fixed names the keys that differ from those of a node read later and that hold until the next start.
func (n *Node) ChangedKeys(later *Node) (keys []string) {
	for _, k := range []struct {
		key      string
		old, new any
	}{
		{"name", n.Name, later.Name}, {"listen", n.Listen, later.Listen}, {"limits", n.Limits, later.Limits},
		{"settings", n.Module, later.Module}, {"settings.classes", n.Classes, later.Classes},
		{"settings.tenants", n.Tenants, later.Tenants}, {"amqp", n.AMQP, later.AMQP}, {"members", n.Membership, later.Membership},
		{"promises", n.DurableJobs, later.DurableJobs},
	} {
		if !reflect.DeepEqual(k.old, k.new) {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// Stranger tells whether a node read later is another customer's: none of its classes is one of this one's.
func (n *Node) SharesNoClass(later *Node) bool {
	return len(n.Classes) > 0 && !slices.ContainsFunc(later.Classes, func(c string) bool { return slices.Contains(n.Classes, c) })
}
