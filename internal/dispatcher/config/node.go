// Package config is the one place where settings come in. It reads the
// environment, the platform's file that NODE_CONFIG names and the operator's
// files, checks every value, fills in the defaults and derives Limits, the one
// type that holds all sizes, counts and times of the program. Its errors name the
// faulty key, and stop the start. It reads files and opens no socket.
//
// The types are values that nobody changes once they are read: they may be used
// on any goroutine.
//
// Start reading at Load.
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

// Node is all that one dispatcher is told.
type Node struct {
	Name      string
	Listen    string // address and port for clients
	Discovery string // address and port; empty: the list of workers is the operator's
	Seed      uint64 // of the module's random draws
	Known     WorkerList

	Module     decision.Settings
	Classes    []string // names, in the module's order
	Tenants    []string
	Zones      []string
	Kinds      []string // of workers
	LoadFields []string // as workers name them, in the module's order

	Limits      Limits
	AMQP        *AMQP        // nil: no broker
	Capture     *Capture     // nil: nothing is recorded
	Membership  *Membership  // nil: it knows of no other dispatcher
	DurableJobs *DurableJobs // nil: jobs end with their dispatcher
}

// nodeFile is the platform's file.
type nodeFile struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"` // hexadecimal, 64 bits
	Limits    platformLimits `json:"limits"`
	Known     WorkerList     `json:"known"`
	Peers     []string       `json:"peers"`       // where the other dispatchers are reached, this one's own address among them
	PeerAt    string         `json:"peer_listen"` // where this one listens for them
	Settings  map[string]any `json:"settings"`    // nested, with keys that this program does not know
}

// platformLimits is what the platform grants a process; nil is a default.
type platformLimits struct {
	Cores    *float64 `json:"cores"`
	MemoryMB *int     `json:"memory_mb"`
	Sockets  *int     `json:"sockets"`
}

// Load reads what one dispatcher is told, from the environment and the file that NODE_CONFIG names. The environment wins
// over the file.
func Load(getenv func(string) string) (*Node, error) {
	f, err := readNodeFile(getenv("NODE_CONFIG"))
	if err != nil {
		return nil, err
	}
	for key, to := range map[string]*string{"NODE_NAME": &f.Name, "NODE_LISTEN": &f.Listen, "NODE_DISCOVERY": &f.Discovery} {
		if v := getenv(key); v != "" {
			*to = v
		}
	}
	n := &Node{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Known: f.Known}
	if err := n.checkAddresses(); err != nil {
		return nil, err
	}
	if n.Seed, err = parseSeed(f.Seed); err != nil {
		return nil, err
	}
	if err := n.readSettings(f.Settings, getenv("NODE_CONFIG")); err != nil {
		return nil, err
	}
	if err := n.deriveLimits(f); err != nil {
		return nil, err
	}
	if err := n.loadOperatorsFiles(f, getenv); err != nil {
		return nil, err
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

// readNodeFile reads the platform's file; without a path it is empty.
func readNodeFile(path string) (*nodeFile, error) {
	f := new(nodeFile)
	if path == "" {
		return f, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.UseNumber() // nanoseconds keep their digits
	err = decoder.Decode(f)
	if err == nil && decoder.Decode(new(any)) != io.EOF {
		err = errors.New("more stands behind the end of the object")
	}
	var wrong *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrong):
		return nil, fmt.Errorf("NODE_CONFIG: key %s: a %s is not valid", wrong.Field, wrong.Value)
	case err != nil:
		return nil, fmt.Errorf("NODE_CONFIG: %s: %w", path, err)
	}
	return f, nil
}

func (n *Node) checkAddresses() error {
	if _, err := netip.ParseAddrPort(n.Listen); err != nil {
		return fmt.Errorf("listen (NODE_LISTEN): %q is not an address and port", n.Listen)
	}
	if n.Discovery == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(n.Discovery); err != nil {
		return fmt.Errorf("discovery (NODE_DISCOVERY): %q is not an address and port", n.Discovery)
	}
	return nil
}

// parseSeed reads a seed; without one it is another at each start.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return uint64(time.Now().UnixNano()), nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", text)
	}
	return seed, nil
}

// readSettings reads the module's settings, and the names that stand in them.
func (n *Node) readSettings(settings map[string]any, path string) (err error) {
	var lines strings.Builder
	flatten(&lines, "", settings)
	if n.Module, err = simadapter.ParseSettings(lines.String()); err != nil {
		return fmt.Errorf("NODE_CONFIG: %s: %w", path, err)
	}
	if n.Classes, err = names(settings, "classes"); err != nil {
		return err
	}
	if n.Tenants, err = names(settings, "tenants"); err != nil {
		return err
	}
	n.Zones, n.Kinds = texts(settings["zones"]), texts(settings["kinds"])
	if report, ok := settings["report"].(map[string]any); ok {
		n.LoadFields = texts(report["fields"])
	}
	return nil
}

// loadOperatorsFiles reads the files that the environment names.
func (n *Node) loadOperatorsFiles(f *nodeFile, getenv func(string) string) (err error) {
	if path := getenv("NODE_AMQP"); path != "" {
		if n.AMQP, err = loadAMQP(path, n); err != nil {
			return err
		}
	}
	if path := getenv("NODE_MEMBERS"); path != "" {
		if n.Membership, err = loadMembership(path, n, f); err != nil {
			return err
		}
	}
	if path := getenv("NODE_PROMISES"); path != "" {
		if n.DurableJobs, err = loadDurableJobs(path, n, f); err != nil {
			return err
		}
	}
	return nil
}

// ChangedKeys names the keys that differ from those of a node read later and that hold until the next start.
func (n *Node) ChangedKeys(later *Node) (keys []string) {
	for _, k := range []struct {
		key      string
		old, new any
	}{
		{"name", n.Name, later.Name},
		{"listen", n.Listen, later.Listen},
		{"limits", n.Limits, later.Limits},
		{"settings", n.Module, later.Module},
		{"settings.classes", n.Classes, later.Classes},
		{"settings.tenants", n.Tenants, later.Tenants},
		{"amqp", n.AMQP, later.AMQP},
		{"members", n.Membership, later.Membership},
		{"promises", n.DurableJobs, later.DurableJobs},
	} {
		if !reflect.DeepEqual(k.old, k.new) {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// SharesNoClass returns whether a node read later is another customer's: none of its classes is one of this one's.
func (n *Node) SharesNoClass(later *Node) bool {
	shared := slices.ContainsFunc(later.Classes, func(c string) bool { return slices.Contains(n.Classes, c) })
	return len(n.Classes) > 0 && !shared
}

// ZoneName returns the name of this dispatcher's zone, empty where the settings name none.
func (n *Node) ZoneName() string {
	if z := n.Module.Zone; z < len(n.Zones) {
		return n.Zones[z]
	}
	return ""
}

// workersWord has the workers' own name for a load figure that the settings name otherwise.
var workersWord = map[string]string{"fail_rate": "eps", "rate": "qps", "q": "queue", "rif": "inflight", "busy": "util", "lat_ms": "latency_ms"}

// LoadFieldIndex finds the index of a load figure by the settings' name or by the workers' own, -1 where there is none.
func (n *Node) LoadFieldIndex(name string) int {
	return slices.IndexFunc(n.LoadFields, func(f string) bool { return f == name || workersWord[f] == name })
}

// Index finds the index of a name in a list of names, -1 where it is not there.
func Index(list []string, name string) int { return slices.Index(list, name) }
