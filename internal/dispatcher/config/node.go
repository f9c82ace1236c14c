// Package config reads the settings of a dispatcher and of an agent. It reads the
// environment, the platform's file that NODE_CONFIG names and the operator's
// files, checks every value, fills in the defaults and derives Limits, which
// holds all sizes, counts and times of the program. Apart from package document
// below it, no other package of the dispatcher reads settings. An error names the
// faulty key and prevents the start. The package opens no socket.
//
// Values are not changed once they are read and may be used on any goroutine.
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

// Node holds all settings of one dispatcher.
type Node struct {
	Name         string
	Listen       string     // address and port for clients
	Discovery    string     // address and port; empty: no discovery, the operator lists the workers
	Seed         uint64     // of the decision module's random numbers
	KnownWorkers WorkerList // the workers known at the start, used until discovery sends a list

	Module     decision.Settings
	Classes    []string // names, in the decision module's order
	Tenants    []string
	Zones      []string
	Kinds      []string // of workers
	LoadFields []string // names of the load figures, in the decision module's order

	Limits      Limits
	AMQP        *AMQP        // nil: no broker
	Capture     *Capture     // nil: nothing is recorded
	Membership  *Membership  // nil: no membership with other dispatchers
	DurableJobs *DurableJobs // nil: a job does not outlive its dispatcher
}

// nodeFile is the platform's file, which NODE_CONFIG names.
type nodeFile struct {
	Name         string         `json:"name"`
	Listen       string         `json:"listen"`
	Discovery    string         `json:"discovery"`
	Seed         string         `json:"seed"` // hexadecimal, 64 bits
	Limits       platformLimits `json:"limits"`
	KnownWorkers WorkerList     `json:"known"`
	Peers        []string       `json:"peers"`       // addresses of all dispatchers, this one included
	PeerListen   string         `json:"peer_listen"` // address at which this dispatcher listens for the others
	Settings     map[string]any `json:"settings"`    // nested; may hold keys that this program does not know
}

// platformLimits holds what the platform grants the process. A nil field means that its default applies.
type platformLimits struct {
	Cores    *float64 `json:"cores"`
	MemoryMB *int     `json:"memory_mb"`
	Sockets  *int     `json:"sockets"`
}

// Load reads the settings of one dispatcher from the environment, the platform's file that NODE_CONFIG names and the
// operator's files. The environment takes precedence over the platform's file.
func Load(getenv func(string) string) (*Node, error) {
	f, err := readNodeFile(getenv("NODE_CONFIG"))
	if err != nil {
		return nil, err
	}
	for key, field := range map[string]*string{"NODE_NAME": &f.Name, "NODE_LISTEN": &f.Listen, "NODE_DISCOVERY": &f.Discovery} {
		if v := getenv(key); v != "" {
			*field = v
		}
	}
	n := &Node{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, KnownWorkers: f.KnownWorkers}
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
	if err := n.loadOperatorFiles(f, getenv); err != nil {
		return nil, err
	}
	return n, nil
}

// Reload reads the settings again while the program runs. Here the discovery address in the file takes precedence over
// NODE_DISCOVERY: the variable holds the address at the start, and the file may have been changed since. If the file
// has no discovery address, that of the variable applies.
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

// readNodeFile reads the platform's file. If path is empty, it returns an empty nodeFile.
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
	decoder.UseNumber() // a float64 would round large numbers of nanoseconds
	err = decoder.Decode(f)
	if err == nil && decoder.Decode(new(any)) != io.EOF {
		err = errors.New("unexpected data after the end of the object")
	}
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch):
		return nil, fmt.Errorf("NODE_CONFIG: key %s: a %s is not valid", mismatch.Field, mismatch.Value)
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

// parseSeed reads a hexadecimal seed. If text is empty, it returns a new seed at each start.
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

// readSettings reads the decision module's settings and the names of classes, tenants, zones, kinds and load figures.
func (n *Node) readSettings(settings map[string]any, path string) (err error) {
	var lines strings.Builder
	flatten(&lines, "", settings)
	if n.Module, err = simadapter.ParseSettings(lines.String()); err != nil {
		return fmt.Errorf("NODE_CONFIG: %s: %w", path, err)
	}
	if n.Classes, err = objectNames(settings, "classes"); err != nil {
		return err
	}
	if n.Tenants, err = objectNames(settings, "tenants"); err != nil {
		return err
	}
	n.Zones, n.Kinds = stringList(settings["zones"]), stringList(settings["kinds"])
	if report, ok := settings["report"].(map[string]any); ok {
		n.LoadFields = stringList(report["fields"])
	}
	return nil
}

// loadOperatorFiles reads the operator's files that the environment names.
func (n *Node) loadOperatorFiles(f *nodeFile, getenv func(string) string) (err error) {
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

// ChangedKeys returns the keys whose values differ in later, a node read later, and take effect only at the next start.
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

// SharesNoClass reports whether a node read later belongs to another customer: it has no class in common with n.
func (n *Node) SharesNoClass(later *Node) bool {
	shared := slices.ContainsFunc(later.Classes, func(c string) bool { return slices.Contains(n.Classes, c) })
	return len(n.Classes) > 0 && !shared
}

// ZoneName returns the name of this dispatcher's zone, or an empty string if the settings name no zones.
func (n *Node) ZoneName() string {
	if z := n.Module.Zone; z < len(n.Zones) {
		return n.Zones[z]
	}
	return ""
}

// workerLoadNames maps the settings' name of a load figure to the name that workers send, if the two differ.
var workerLoadNames = map[string]string{"fail_rate": "eps", "rate": "qps", "q": "queue", "rif": "inflight", "busy": "util", "lat_ms": "latency_ms"}

// LoadFieldIndex returns the index of a load figure, given the settings' name or the workers' name, or -1 if there is
// none.
func (n *Node) LoadFieldIndex(name string) int {
	return slices.IndexFunc(n.LoadFields, func(f string) bool { return f == name || workerLoadNames[f] == name })
}

// Index returns the index of a name in a list, or -1 if the list does not hold it.
func Index(list []string, name string) int { return slices.Index(list, name) }
