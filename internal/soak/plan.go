package soak

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/gravitational/trace"
)

// Plan is what happens in a play. Times are counted from the moment at which all fronts are ready.
type Plan struct {
	Seed     uint64    `json:"seed"` // of the messages' contents; DrawPlan also draws the plan from it
	Fronts   int       `json:"fronts"`
	Stores   int       `json:"stores"`
	Bursts   []Burst   `json:"bursts"`
	Troubles []Trouble `json:"troubles"`
}

// Burst is a number of messages that clients send as fast as they are accepted.
type Burst struct {
	AtMS      int       `json:"at-ms"`
	Route     RouteName `json:"route"`
	Messages  int       `json:"messages"`
	Clients   int       `json:"clients"`    // messages that are sent at the same time
	OrderKeys int       `json:"order-keys"` // number of order keys; 0 for messages without one
	BodyBytes int       `json:"body-bytes"`
	DelayMS   int       `json:"delay-ms"`
}

// TroubleKind is what happens to a machine, or to the configuration.
type TroubleKind string

// The kinds of troubles. Those that end a process are followed by a start after Trouble.ForMS.
const (
	Kill       TroubleKind = "kill"         // SIGKILL; the disk stays
	LoseDisk   TroubleKind = "lose-disk"    // SIGKILL, and the disk is emptied
	KillStores TroubleKind = "kill-stores"  // SIGKILL of all stores; the disks stay
	Terminate  TroubleKind = "terminate"    // SIGTERM; the process is given the time to end
	Freeze     TroubleKind = "freeze"       // SIGSTOP, and SIGCONT after ForMS
	Reload     TroubleKind = "reload"       // SIGHUP
	Retire     TroubleKind = "retire"       // the operator has a store emptied; it goes on running
	SetLimit   TroubleKind = "set-limit"    // the operator gives the plain service a rate limit for ForMS
	Misdirect  TroubleKind = "misdirect"    // the static endpoint answers 421 for ForMS
	RouteAdded TroubleKind = "route-change" // the operator adds a route, and takes it away after ForMS
)

// Trouble is one event of a plan.
type Trouble struct {
	AtMS    int         `json:"at-ms"`
	Kind    TroubleKind `json:"kind"`
	Machine string      `json:"machine,omitempty"` // name of a machine; empty where Kind concerns none or all
	ForMS   int         `json:"for-ms"`
}

// troubleProperties is what a plan and the judge need to know of a kind of troubles.
type troubleProperties struct {
	needsMachine bool // it names a machine
	planned      bool // the rules count it as planned work, which excuses less
}

// propertiesOf has all kinds of troubles.
var propertiesOf = map[TroubleKind]troubleProperties{
	Kill:       {needsMachine: true},
	LoseDisk:   {needsMachine: true},
	KillStores: {},
	Terminate:  {needsMachine: true, planned: true},
	Freeze:     {needsMachine: true},
	Reload:     {needsMachine: true, planned: true},
	Retire:     {needsMachine: true, planned: true},
	SetLimit:   {planned: true},
	Misdirect:  {},
	RouteAdded: {planned: true},
}

// Limits of a plan.
const (
	minFronts       = 3
	maxMachines     = 40
	minStores       = 3
	maxBurst        = 100_000
	maxBodyBytes    = 256 << 10
	maxPlanDuration = 10 * time.Minute
)

// ReadPlan reads a plan from a file and checks it.
func ReadPlan(path string) (*Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	plan := &Plan{}
	if err := decoder.Decode(plan); err != nil {
		return nil, trace.BadParameter("%s: %v", path, err)
	}
	if err := plan.check(); err != nil {
		return nil, trace.BadParameter("%s: %v", path, err)
	}
	return plan, nil
}

// Write writes a plan to a file.
func (p *Plan) Write(path string) error {
	data, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.WriteFile(path, append(data, '\n'), 0o644))
}

// check returns an error that names the first value which a plan can't have.
func (p *Plan) check() error {
	if p.Fronts < minFronts || p.Stores < minStores || p.Fronts+p.Stores > maxMachines {
		return trace.BadParameter("fronts and stores: %d and %d, at least %d and %d and at most %d together are possible",
			p.Fronts, p.Stores, minFronts, minStores, maxMachines)
	}
	names := make(map[string]bool)
	for _, name := range append(machineNames(roleFront, p.Fronts), machineNames(roleStore, p.Stores)...) {
		names[name] = true
	}
	for i, burst := range p.Bursts {
		if err := burst.check(); err != nil {
			return trace.BadParameter("bursts[%d]: %v", i, err)
		}
	}
	for i, trouble := range p.Troubles {
		properties, isKnown := propertiesOf[trouble.Kind]
		if !isKnown {
			return trace.BadParameter("troubles[%d].kind: there is no %q", i, trouble.Kind)
		}
		if properties.needsMachine && !names[trouble.Machine] {
			return trace.BadParameter("troubles[%d].machine: there is no %q", i, trouble.Machine)
		}
		if !isWithinPlan(trouble.AtMS) || !isWithinPlan(trouble.ForMS) {
			return trace.BadParameter("troubles[%d]: times are from 0 to %v", i, maxPlanDuration)
		}
	}
	return nil
}

func (b *Burst) check() error {
	switch {
	case !b.Route.known():
		return trace.BadParameter("route: there is no %q", b.Route)
	case b.Messages < 1 || b.Messages > maxBurst || b.Clients < 1 || b.Clients > b.Messages:
		return trace.BadParameter("messages and clients: %d and %d", b.Messages, b.Clients)
	case b.BodyBytes < 0 || b.BodyBytes > maxBodyBytes:
		return trace.BadParameter("body-bytes: %d, at most %d are possible", b.BodyBytes, maxBodyBytes)
	case b.OrderKeys < 0 || b.OrderKeys > 0 && b.Route != Ordered:
		return trace.BadParameter("order-keys: only the route %q has some", Ordered)
	case !isWithinPlan(b.AtMS) || !isWithinPlan(b.DelayMS):
		return trace.BadParameter("times are from 0 to %v", maxPlanDuration)
	}
	return nil
}

func isWithinPlan(milliseconds int) bool {
	return milliseconds >= 0 && milliseconds <= int(maxPlanDuration.Milliseconds())
}

// milliseconds converts a number of a plan to a duration.
func milliseconds(number int) time.Duration { return time.Duration(number) * time.Millisecond }
