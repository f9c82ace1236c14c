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
	"math"
	"net/netip"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"ivyfold"
	"ivyfold/internal/wire"
)

// Limits holds every size, count and time that the parts work with. It is
// filled once at the start and handed down by value; no part has its own.
type Limits struct {
	Cores    float64 // processor share
	MemoryMB int     // memory at which the platform ends the process
	Sockets  int     // descriptors in all; split into the three that follow

	PortalConns int // client connections open at a time
	PortalFresh int // among them those that have not said a whole head yet
	PortalSpare int // so many more while those go that were asked to, and so many turned away whose rest is read
	FloorConns  int // worker connections open at a time, idle ones included
	RosterConns int // calls to discovery open at a time

	Body      int64 // bytes of a job's body or of a worker's answer
	Bodies    int64 // bytes of all clients' bodies held at a time
	Head      int   // bytes of a message's head
	Line      int   // bytes of one line of an answer or of the roster
	Roster    int   // bytes of one line or whole list of the roster
	Workers   int   // workers listed at a time
	OpenJobs  int   // jobs taken and not answered at a time
	Mailbox   int   // events that wait for the core
	LateReads int   // bytes read at most of what follows a last line

	AnswerRoom      time.Duration // kept free before a client's deadline for the answer's way back
	RetryAfter      time.Duration // told to a refused client where the module names no figure
	MostPatience    time.Duration // the longest deadline that a client may ask for
	Connect         time.Duration // a worker's connection comes up within it
	WorkerIdle      time.Duration // idle worker connections are closed after it
	ClientIdle      time.Duration // idle client connections are closed after it
	ReadHead        time.Duration // a client finishes its head and body within it, the first from connecting on
	Linger          time.Duration // after an answer that came early, what a client still sends is read away so long
	LingerBytes     int64         // and so many bytes of it at most
	TailWait        time.Duration // how long the end of a finished answer may take
	LateAnswer      time.Duration // so late a worker may give an answer once more
	RosterCall      time.Duration // a call to discovery is answered within it
	RosterSilent    time.Duration // a watch that says nothing for so long has broken
	RosterRetry     time.Duration // first pause, on average, after a call that failed or ended; doubles up to
	RosterRetryMax  time.Duration // this
	DrainGrace      time.Duration // no byte of a new send goes to a leaving worker later than this
	Farewell        time.Duration // after SIGTERM the listener stays open so long
	LastAccept      time.Duration // then what has already come there is let in for so long
	LastAnswer      time.Duration // after SIGTERM what came later than that is answered by then: the platform may kill from then on
	Remember        time.Duration // outcomes of keyed jobs are kept so long
	Remembered      int           // and so many of them at most
	RememberedBytes int           // holding so many bytes together at most
	Reconnect       time.Duration // first pause before a broker is called again; doubles up to
	ReconnectMax    time.Duration // this
	Confirm         time.Duration // a broker confirms an answer within it
	CaptureRows     int           // rows of each kind that wait for the recorder at most
	CaptureGroup    int           // rows that the recorder writes at a time
	CaptureRetry    time.Duration // pause after a disk that took nothing
	PeerReads       int           // datagrams read in a second at most
	PeerStrangers   int           // among them those taken in from addresses that are no member's
	PeerMailbox     int           // datagrams that wait for the membership
	PeerBytes       int           // sent to other dispatchers in a second at most
	PeerFarewell    time.Duration // the others are told for so long that this one leaves
	CopyFrame       int           // bytes of one frame between dispatchers that keep copies
	CopyQueue       int           // bytes of frames that wait for one of them at most; what is beyond is as good as lost
	CopyDial        time.Duration // a connection to one of them comes up within it, and a frame goes out
	CopyRetry       time.Duration // pause after a connection that failed
	LeaseRoom       time.Duration // kept free before a client's deadline for the copies' word
	LeaseLook       time.Duration // between two looks at a job that another dispatcher has
	LeaseLinger     time.Duration // the copies are told of an outcome for so long after the deadline
	LeasesMoved     int           // leases of a dead dispatcher that one command moves
	LeasesTaken     int           // of those, jobs handed to the module in a round of LeaseRound
	LeaseRound      time.Duration // between two looks at who is gone
	LeaseFarewell   time.Duration // who leaves waits so long at most for others to get his copies
	LeaseOrphan     time.Duration // a dispatcher is out of the view for so long before its leases move
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
type Members struct {
	Path    string         // of the operator's file
	Listen  netip.AddrPort // for datagrams
	At      netip.AddrPort // where the others reach it
	Peers   []Peer
	Learn   bool // peers have no names: who is at an address shows in what comes from there
	Period  time.Duration
	Bear    time.Duration
	Weight  float64
	Version string
	Events  string // a file that gets a JSON line for each change
}

// Promises sets up jobs that are taken for keeps: copied to other dispatchers before anything is done for them.
type Promises struct {
	Path    string // of the operator's file
	Listen  netip.AddrPort
	Peers   []Peer // the others, all named
	Groups  int
	Copies  int
	Keep    time.Duration // outcomes are kept so long after the client's deadline
	Skew    time.Duration // between two dispatchers' clocks at most
	Most    int           // promises kept, open ones among them, over all groups
	Events  string
	CrashAt string // for trials: the process ends itself at this point
	CrashOn int    // when it is reached for the nth time
	Stops   bool   // or stops itself, until somebody wakes it
}

// CrashPoints are the places of Promises.CrashAt, in the order in which a job passes them.
var CrashPoints = []string{"before-take", "taken", "before-intent", "intended", "sent", "worked", "ended", "told"}

// Peer is another dispatcher that may be asked for the way in.
type Peer struct {
	Name string // empty: not known
	At   netip.AddrPort
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
type Roster struct {
	Generation int64    `json:"generation"`
	Reset      bool     `json:"reset"`
	Workers    []Worker `json:"instances"`
}

// Node is all that one dispatcher is told.
type Node struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Known                   Roster
	Module                  ivyfold.Settings
	Classes, Tenants        []string
	Zones, Kinds            []string
	LoadFields              []string // as workers word them, in the module's order
	Limits                  Limits
	AMQP                    *AMQP     // nil: the front is off
	Capture                 *Capture  // nil: nothing is recorded
	Members                 *Members  // nil: it knows of no other dispatcher
	Promises                *Promises // nil: jobs are not taken for keeps
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
	Known    Roster         `json:"known"`
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
	if n.Module, err = wire.ParseSettings(lines.String()); err != nil {
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
	n.Limits.Connect = span(f.Settings, n.Limits.Connect, "limits", "connect_timeout")
	if path := getenv("NODE_AMQP"); path != "" {
		if n.AMQP, err = loadAMQP(path, n); err != nil {
			return nil, err
		}
	}
	if path := getenv("NODE_MEMBERS"); path != "" {
		if n.Members, err = loadMembers(path, n, &f); err != nil {
			return nil, err
		}
	}
	if path := getenv("NODE_PROMISES"); path != "" {
		if n.Promises, err = loadPromises(path, n, &f); err != nil {
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
func (n *Node) Fixed(later *Node) (keys []string) {
	for _, k := range []struct {
		key      string
		old, new any
	}{
		{"name", n.Name, later.Name}, {"listen", n.Listen, later.Listen}, {"limits", n.Limits, later.Limits},
		{"settings", n.Module, later.Module}, {"settings.classes", n.Classes, later.Classes},
		{"settings.tenants", n.Tenants, later.Tenants}, {"amqp", n.AMQP, later.AMQP}, {"members", n.Members, later.Members},
		{"promises", n.Promises, later.Promises},
	} {
		if !reflect.DeepEqual(k.old, k.new) {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// Stranger tells whether a node read later is another customer's: none of its classes is one of this one's.
func (n *Node) Stranger(later *Node) bool {
	return len(n.Classes) > 0 && !slices.ContainsFunc(later.Classes, func(c string) bool { return slices.Contains(n.Classes, c) })
}

// derive fills Limits from what the platform grants and the settings say.
func derive(cores float64, memory, sockets int, s *ivyfold.Settings) (Limits, error) {
	switch {
	case !(cores > 0 && cores <= 1024):
		return Limits{}, fmt.Errorf("limits.cores: %v is out of range", cores)
	case memory < 32 || memory > 1<<20:
		return Limits{}, fmt.Errorf("limits.memory_mb: %d is out of range (32 and more)", memory)
	case sockets < 64:
		return Limits{}, fmt.Errorf("limits.sockets: %d is too few (64 and more)", sockets)
	}
	// A tenth stays for the listener, standard streams, the poller and what is just being closed.
	usable := sockets - sockets/10
	l := Limits{
		Cores: cores, MemoryMB: memory, Sockets: sockets,
		RosterConns: 4, PortalConns: (usable - 4) * 5 / 9, FloorConns: (usable - 4) * 4 / 9,
		PortalFresh: (usable - 4) / 6, PortalSpare: max(sockets/40, 2), LingerBytes: 4 << 20, Linger: time.Second,
		Body: 64 << 10, Bodies: int64(memory) << 20 / 4, Head: 16 << 10, Line: 128 << 10, Roster: 4 << 20, Workers: 20000, LateReads: 4 << 10,
		AnswerRoom: 40 * time.Millisecond, RetryAfter: 50 * time.Millisecond, MostPatience: 5 * time.Minute,
		Connect: 250 * time.Millisecond, WorkerIdle: 4 * time.Second, ClientIdle: 60 * time.Second,
		ReadHead: 2 * time.Second, TailWait: 250 * time.Millisecond, LateAnswer: 100 * time.Millisecond,
		RosterCall: 3500 * time.Millisecond, RosterSilent: 3 * time.Second,
		RosterRetry: 300 * time.Millisecond, RosterRetryMax: 3 * time.Second,
		DrainGrace: 400 * time.Millisecond, Farewell: 600 * time.Millisecond,
		LastAccept: 20 * time.Millisecond,
		Remember:   10 * time.Second, Remembered: 4096, RememberedBytes: memory << 20 / 8,
		Reconnect: 100 * time.Millisecond, ReconnectMax: 5 * time.Second, Confirm: 2 * time.Second,
		CaptureRows: 4096, CaptureGroup: 4096, CaptureRetry: time.Second,
		PeerReads: 20000, PeerStrangers: 200, PeerMailbox: 1024, PeerBytes: 256 << 10, PeerFarewell: 400 * time.Millisecond,
		CopyFrame: min(16<<20, memory<<20/8), CopyQueue: memory << 20 / 16, CopyDial: time.Second, CopyRetry: 100 * time.Millisecond,
		LeaseRoom: 150 * time.Millisecond, LeaseLook: 40 * time.Millisecond, LeaseLinger: 10 * time.Second, LeasesMoved: 64, LeasesTaken: 16,
		LeaseRound: 100 * time.Millisecond, LeaseOrphan: 300 * time.Millisecond, LeaseFarewell: 15 * time.Second,
	}
	// Bodies are counted by themselves; answers of half a body's size to all open jobs fit into a third of the memory.
	l.OpenJobs = max(min(l.PortalConns, memory<<20/3/int(l.Body/2)), 16)
	l.Mailbox = 8 * l.OpenJobs
	if s.MaxRetryAfter > 0 {
		l.RetryAfter = min(l.RetryAfter, s.MaxRetryAfter)
	}
	if s.ConnIdle > 0 { // a fifth earlier than the machine at the other end
		l.WorkerIdle = s.ConnIdle - s.ConnIdle/5
	}
	if s.DrainGrace > 0 {
		l.DrainGrace = s.DrainGrace - s.DrainGrace/5
	}
	if s.AskWithin > 0 { // a watch must be known to be broken well before its silence counts as told
		// but never sooner than its lines come, one in 2 s
		l.RosterSilent = max(min(l.RosterSilent, s.AskWithin/2), 2500*time.Millisecond)
		l.RosterRetryMax = min(l.RosterRetryMax, s.AskWithin/3)
	}
	if s.Discovery == ivyfold.Push && s.DrainGrace > 0 {
		// The agent on this machine answers at once or not at all, and what it holds counts as told: a call that it left
		// without an answer while discovery was down may not outlast the grace of a drain told at its return.
		l.RosterCall, l.RosterSilent = max(l.DrainGrace/4, 50*time.Millisecond), min(l.RosterSilent, 2500*time.Millisecond)
		l.RosterRetry = min(l.RosterRetry, max(l.DrainGrace/8, 20*time.Millisecond))
		l.RosterRetryMax = l.RosterRetry
	}
	longest := time.Duration(0)
	for _, c := range s.Classes {
		l.Remember, longest = max(l.Remember, c.Window), max(longest, c.Deadline)
	}
	if longest == 0 || longest > 3*time.Second { // the platform takes it so
		longest = 3 * time.Second
	}
	l.LastAnswer = longest + l.Farewell // it kills 0.1 s later at the earliest
	return l, nil
}

// Apply makes the runtime keep to the limits. A memory limit set under the
// platform's own makes the collector work harder before the process is killed.
func (l *Limits) Apply() {
	runtime.GOMAXPROCS(max(int(math.Ceil(l.Cores)), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 3 / 4)
}

// flatten writes nested settings as the path=value lines that the simulator's wire has.
func flatten(out *strings.Builder, path string, v any) {
	under := func(k string) string {
		if path == "" {
			return k
		}
		return path + "." + k
	}
	plain := func(v any) string {
		return strings.NewReplacer(" ", "_", ",", "_", "\n", "_").Replace(fmt.Sprint(v))
	}
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for k, e := range v {
			flatten(out, under(k), e)
		}
	case []any:
		if slices.ContainsFunc(v, func(e any) bool { _, ok := e.(map[string]any); return ok }) {
			fmt.Fprintf(out, "%s=%d\n", under("count"), len(v))
			for i, e := range v {
				flatten(out, under(strconv.Itoa(i)), e)
			}
			return
		}
		parts := make([]string, len(v))
		for i, e := range v {
			parts[i] = plain(e)
		}
		fmt.Fprintf(out, "%s=%s\n", path, strings.Join(parts, ","))
	default:
		fmt.Fprintf(out, "%s=%s\n", path, plain(v))
	}
}

func words(v any) (out []string) {
	list, _ := v.([]any)
	for _, e := range list {
		out = append(out, fmt.Sprint(e))
	}
	return out
}

// names reads the names of a list of objects; each needs one of its own.
func names(settings map[string]any, key string) (out []string, err error) {
	list, _ := settings[key].([]any)
	for i, e := range list {
		m, _ := e.(map[string]any)
		name, _ := m["name"].(string)
		if name == "" || slices.Contains(out, name) {
			return nil, fmt.Errorf("setting %s.%d.name: %q is missing or double", key, i, name)
		}
		out = append(out, name)
	}
	return out, nil
}

// span reads a time in nanoseconds from nested settings.
func span(v any, otherwise time.Duration, path ...string) time.Duration {
	for _, key := range path {
		m, _ := v.(map[string]any)
		v = m[key]
	}
	if n, ok := v.(json.Number); ok {
		if f, err := n.Float64(); err == nil && f > 0 && f < float64(time.Hour) {
			return time.Duration(f)
		}
	}
	return otherwise
}

// Index finds the places of the values that a name stands for, -1 where there is none.
func Index(list []string, name string) int { return slices.Index(list, name) }

// Figure finds the place of a load figure by the settings' word or by the workers' own, -1 where there is none.
func (n *Node) Figure(word string) int {
	return slices.IndexFunc(n.LoadFields, func(f string) bool { return f == word || wordOf[f] == word })
}

// decodeTOML reads an operator's file strictly: a key that nobody reads is an error that names it.
func decodeTOML(path string, into any) error {
	meta, err := toml.DecodeFile(path, into)
	if err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			return fmt.Errorf("%s: key %s: %s", path, parse.LastKey, parse.Error())
		}
		return fmt.Errorf("%s: %w", path, err)
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return fmt.Errorf("%s: key %s is unknown", path, extra[0])
	}
	return nil
}

func loadAMQP(path string, n *Node) (*AMQP, error) {
	var f struct {
		AMQP AMQP `toml:"amqp"`
	}
	if err := decodeTOML(path, &f); err != nil {
		return nil, err
	}
	a := &f.AMQP
	if !strings.HasPrefix(a.URL, "amqp://") && !strings.HasPrefix(a.URL, "amqps://") { // not shown: it may hold a password
		return nil, fmt.Errorf("%s: key amqp.url: it does not begin with amqp:// or amqps://", path)
	}
	if a.Jobs == "" {
		return nil, fmt.Errorf("%s: key amqp.jobs: the name of a queue is missing", path)
	}
	if a.Prefetch == 0 {
		a.Prefetch = n.Limits.OpenJobs / 2
	}
	if a.Prefetch < 1 || a.Prefetch > n.Limits.OpenJobs {
		return nil, fmt.Errorf("%s: key amqp.prefetch: %d is not in 1 to %d", path, a.Prefetch, n.Limits.OpenJobs)
	}
	seen := map[string]bool{}
	for i, w := range a.Workers {
		switch at := fmt.Sprintf("%s: key amqp.worker.%d", path, i); {
		case w.ID == "" || seen[w.ID]:
			return nil, fmt.Errorf("%s.id: %q is missing or double", at, w.ID)
		case w.Queue == "":
			return nil, fmt.Errorf("%s.queue: the name of a queue is missing", at)
		case Index(n.Zones, w.Zone) < 0:
			return nil, fmt.Errorf("%s.zone: %q is none of %v", at, w.Zone, n.Zones)
		case Index(n.Kinds, w.Kind) < 0:
			return nil, fmt.Errorf("%s.kind: %q is none of %v", at, w.Kind, n.Kinds)
		}
		seen[w.ID] = true
	}
	return a, nil
}

// named is an address of another dispatcher in an operator's file.
type named struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// loadMembers reads the operator's file for the membership. It needs the settings' permission too: neither alone turns it on.
func loadMembers(path string, n *Node, f *nodeFile) (*Members, error) {
	if !n.Module.Peers {
		return nil, fmt.Errorf("NODE_MEMBERS: %s: the settings forbid talk among dispatchers (limits.peers is not true); start without the variable", path)
	}
	var t struct {
		Members struct {
			Listen   string  `toml:"listen"`
			At       string  `toml:"at"`
			PeriodMs int     `toml:"period_ms"`
			BearMs   int     `toml:"bear_ms"`
			Weight   float64 `toml:"weight"`
			Version  string  `toml:"version"`
			Events   string  `toml:"events"`
			Peers    []named `toml:"peer"`
		} `toml:"members"`
	}
	if err := decodeTOML(path, &t); err != nil {
		return nil, err
	}
	c := &t.Members
	bad := func(key, format string, v ...any) (*Members, error) {
		return nil, fmt.Errorf("%s: key members.%s: %s", path, key, fmt.Sprintf(format, v...))
	}
	m := &Members{Path: path, Period: time.Duration(c.PeriodMs) * time.Millisecond, Bear: time.Duration(c.BearMs) * time.Millisecond,
		Weight: c.Weight, Version: c.Version, Events: c.Events}
	if c.Listen == "" {
		c.Listen = f.PeerAt // the platform's
	}
	if c.At == "" {
		c.At = c.Listen
	}
	var err error
	if m.Listen, err = netip.ParseAddrPort(c.Listen); err != nil {
		return bad("listen", "%q is not an address and port", c.Listen)
	}
	if m.At, err = netip.ParseAddrPort(c.At); err != nil || m.At.Addr().IsUnspecified() || m.At.Port() == 0 {
		return bad("at", "%q is not an address and port at which others reach it", c.At)
	}
	switch {
	case c.PeriodMs != 0 && (c.PeriodMs < 50 || c.PeriodMs > 60000):
		return bad("period_ms", "%d is not in 50 to 60000", c.PeriodMs)
	case c.BearMs != 0 && (c.BearMs < 200 || c.BearMs > 600000):
		return bad("bear_ms", "%d is not in 200 to 600000", c.BearMs)
	case !(c.Weight >= 0 && c.Weight <= math.MaxFloat32):
		return bad("weight", "%v is not 0 or more", c.Weight)
	case len(c.Version) > 12:
		return bad("version", "%q is longer than 12 bytes", c.Version)
	case n.Name == "" || len(n.Name) > 24:
		return nil, fmt.Errorf("name (NODE_NAME): %q: 1 to 24 bytes are right for a member (%s)", n.Name, path)
	}
	for i, p := range c.Peers {
		at, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			return bad(fmt.Sprintf("peer.%d.address", i), "%q is not an address and port", p.Address)
		}
		if p.Name == "" || len(p.Name) > 24 || slices.ContainsFunc(m.Peers, func(q Peer) bool { return q.Name == p.Name }) {
			return bad(fmt.Sprintf("peer.%d.name", i), "%q is missing, double or longer than 24 bytes", p.Name)
		}
		m.Peers = append(m.Peers, Peer{p.Name, at})
	}
	if m.Learn = len(m.Peers) == 0; m.Learn {
		for i, text := range f.Peers {
			at, err := netip.ParseAddrPort(text)
			if err != nil {
				return nil, fmt.Errorf("NODE_CONFIG: peers.%d: %q is not an address and port", i, text)
			}
			if i != n.Module.Self {
				m.Peers = append(m.Peers, Peer{At: at})
			}
		}
	}
	return m, nil
}

// loadPromises reads the operator's file for promises. They stand on the membership, and need a path between dispatchers
// that carries more than notes: where the platform itself carries datagrams for them, it is said to be the only one.
func loadPromises(path string, n *Node, f *nodeFile) (*Promises, error) {
	switch {
	case !n.Module.Peers:
		return nil, fmt.Errorf("NODE_PROMISES: %s: the settings forbid talk among dispatchers (limits.peers is not true); start without the variable", path)
	case f.PeerAt != "":
		return nil, fmt.Errorf("NODE_PROMISES: %s: this platform carries notes between dispatchers (peer_listen), and no other path leads from one to another; start without the variable", path)
	case n.Members == nil:
		return nil, fmt.Errorf("NODE_PROMISES: %s: promises stand on the membership; set NODE_MEMBERS too", path)
	}
	var t struct {
		Promises struct {
			Listen  string  `toml:"listen"`
			Groups  int     `toml:"groups"`
			Copies  int     `toml:"copies"`
			KeepS   float64 `toml:"keep_s"`
			SkewMs  int     `toml:"skew_ms"`
			Most    int     `toml:"most"`
			Events  string  `toml:"events"`
			CrashAt string  `toml:"crash_at"`
			CrashOn int     `toml:"crash_on"`
			CrashBy string  `toml:"crash_by"`
			Peers   []named `toml:"peer"`
		} `toml:"promises"`
	}
	t.Promises.Groups, t.Promises.Copies, t.Promises.KeepS, t.Promises.SkewMs, t.Promises.Most, t.Promises.CrashOn = 16, 3, 600, 250, 100000, 1
	if err := decodeTOML(path, &t); err != nil {
		return nil, err
	}
	c := &t.Promises
	bad := func(key, format string, v ...any) (*Promises, error) {
		return nil, fmt.Errorf("%s: key promises.%s: %s", path, key, fmt.Sprintf(format, v...))
	}
	p := &Promises{Path: path, Groups: c.Groups, Copies: c.Copies, Keep: time.Duration(c.KeepS * float64(time.Second)), Skew: time.Duration(c.SkewMs) * time.Millisecond,
		Most: c.Most, Events: c.Events, CrashAt: c.CrashAt, CrashOn: c.CrashOn, Stops: c.CrashBy == "stop"}
	var err error
	if p.Listen, err = netip.ParseAddrPort(c.Listen); err != nil {
		return bad("listen", "%q is not an address and port", c.Listen)
	}
	switch {
	case c.Groups < 1 || c.Groups > 256:
		return bad("groups", "%d is not in 1 to 256", c.Groups)
	case c.Copies < 1 || c.Copies > 7 || c.Copies%2 == 0:
		return bad("copies", "%d is none of 1, 3, 5, 7", c.Copies)
	case !(c.KeepS >= 1 && c.KeepS <= 7*86400):
		return bad("keep_s", "%v is not in 1 to 604800", c.KeepS)
	case c.SkewMs < 0 || c.SkewMs > 60000:
		return bad("skew_ms", "%d is not in 0 to 60000", c.SkewMs)
	case c.Most < 1 || c.Most > 1<<24:
		return bad("most", "%d is not in 1 to %d", c.Most, 1<<24)
	case c.CrashAt != "" && !slices.Contains(CrashPoints, c.CrashAt):
		return bad("crash_at", "%q is none of %s", c.CrashAt, strings.Join(CrashPoints, ", "))
	case c.CrashBy != "" && c.CrashBy != "kill" && c.CrashBy != "stop":
		return bad("crash_by", "%q is not kill or stop", c.CrashBy)
	case c.CrashOn < 1:
		return bad("crash_on", "%d is not 1 or more", c.CrashOn)
	}
	for i, x := range n.Module.Classes {
		if need := p.Skew + x.Window/10; x.Effect == ivyfold.Keyed && x.Window > 0 && need > x.Window/2 {
			return bad("skew_ms", "%d: class %s may be repeated for %v only, which clocks so far apart leave no room in", c.SkewMs, n.Classes[i], x.Window)
		}
	}
	for i, x := range c.Peers {
		at, err := netip.ParseAddrPort(x.Address)
		if err != nil {
			return bad(fmt.Sprintf("peer.%d.address", i), "%q is not an address and port", x.Address)
		}
		if x.Name == "" || slices.ContainsFunc(c.Peers[:i], func(q named) bool { return q.Name == x.Name }) {
			return bad(fmt.Sprintf("peer.%d.name", i), "%q is missing or double", x.Name)
		}
		if x.Name == n.Name { // its own: the files may be alike
			continue
		}
		p.Peers = append(p.Peers, Peer{x.Name, at})
	}
	if len(p.Peers)+1 < c.Copies {
		return bad("peer", "%d others are named, and %d copies need %d", len(p.Peers), c.Copies, c.Copies-1)
	}
	return p, nil
}

// Agent is what an operator's file says of an agent and its instances.
type Agent struct {
	Control   string // where status, counters and drain are asked for
	Program   string // what runs an instance; empty: this program
	SNMP      string // where the SNMP agent listens; empty: none
	Community string
	Instances []Instance
	Limits    AgentLimits
}

// Instance is one dispatcher that an agent keeps running.
type Instance struct {
	Name      string `toml:"name"`
	Listen    string `toml:"listen"`
	Discovery string `toml:"discovery"`
	Config    string `toml:"config"`
	AMQP      string `toml:"amqp"`
	Capture   string `toml:"capture"`
	Members   string `toml:"members"`
	Promises  string `toml:"promises"`
}

// AgentLimits are the agent's sizes and times.
type AgentLimits struct {
	Poll       time.Duration // between two looks at an instance
	Ask        time.Duration // a look or a question is answered within it
	Restart    time.Duration // first pause before a restart; doubles up to
	RestartMax time.Duration // this
	Steady     time.Duration // an instance that ran so long starts over with the first pause
	Stop       time.Duration // after SIGTERM an instance may take so long to answer what it has
	Instances  int
	Reply      int   // bytes of what an instance or an agent answers
	Datagram   int   // bytes of an SNMP message
	Rows       int   // variables in one SNMP answer
	Body       int64 // bytes of a question to the agent
}

// LoadAgent reads an agent's file.
func LoadAgent(path string) (*Agent, error) {
	var f struct {
		Agent struct {
			Control string `toml:"control"`
			Program string `toml:"program"`
			PollMs  int    `toml:"poll_ms"`
		} `toml:"agent"`
		SNMP struct {
			Listen    string `toml:"listen"`
			Community string `toml:"community"`
		} `toml:"snmp"`
		Instances []Instance `toml:"instance"`
	}
	if err := decodeTOML(path, &f); err != nil {
		return nil, err
	}
	a := &Agent{Control: f.Agent.Control, Program: f.Agent.Program, SNMP: f.SNMP.Listen, Community: f.SNMP.Community,
		Instances: f.Instances, Limits: AgentLimits{Poll: time.Second, Ask: 2 * time.Second, Restart: 100 * time.Millisecond,
			RestartMax: 10 * time.Second, Steady: 10 * time.Second, Stop: 10 * time.Second, Instances: 256,
			Reply: 1 << 20, Datagram: 8 << 10, Rows: 128, Body: 4 << 10}}
	bad := func(key, format string, v ...any) (*Agent, error) {
		return nil, fmt.Errorf("%s: key %s: %s", path, key, fmt.Sprintf(format, v...))
	}
	if a.Control == "" {
		a.Control = DefaultControl
	}
	for key, address := range map[string]string{"agent.control": a.Control, "snmp.listen": a.SNMP} {
		if at, err := netip.ParseAddrPort(address); address != "" && (err != nil || !at.Addr().IsLoopback()) {
			return bad(key, "%q is not a loopback address and port", address)
		}
	}
	if a.Community == "" {
		a.Community = "public"
	}
	if ms := f.Agent.PollMs; ms != 0 {
		if ms < 50 || ms > 60000 {
			return bad("agent.poll_ms", "%d is not in 50 to 60000", ms)
		}
		a.Limits.Poll = time.Duration(ms) * time.Millisecond
	}
	if n := len(a.Instances); n == 0 || n > a.Limits.Instances {
		return bad("instance", "%d of them; 1 to %d can be", n, a.Limits.Instances)
	}
	seen := map[string]bool{}
	for i, in := range a.Instances {
		at := fmt.Sprintf("instance.%d.", i)
		if in.Name == "" || seen[in.Name] || len(in.Name) > 64 {
			return bad(at+"name", "%q is missing, double or too long", in.Name)
		}
		if _, err := netip.ParseAddrPort(in.Listen); err != nil || seen[in.Listen] {
			return bad(at+"listen", "%q is no address and port, or double", in.Listen)
		}
		if in.Discovery != "" {
			if _, err := netip.ParseAddrPort(in.Discovery); err != nil {
				return bad(at+"discovery", "%q is not an address and port", in.Discovery)
			}
		}
		if in.Config == "" {
			return bad(at+"config", "the path of the instance's settings is missing")
		}
		seen[in.Name], seen[in.Listen] = true, true
	}
	return a, nil
}

// DefaultControl is where an agent is asked where no other address is given.
const DefaultControl = "127.0.0.1:7470"
