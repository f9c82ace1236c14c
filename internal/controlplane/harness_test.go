package controlplane_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/placement"
	"gladepick/internal/network/simulated"
	"gladepick/internal/vfs/memfs"
)

const (
	internalPort    = 7240
	controlPort     = 8046
	platformIP      = "10.200.0.1"
	platformAddress = platformIP + ":8040"
)

// simulation is a whole system in one process, on a simulated network and clock.
type simulation struct {
	t         *testing.T
	network   *simulated.Network
	logger    *zap.Logger
	machines  []*machine
	seeds     []string
	tolerated int
	platform  *platform
}

// layout describes the machines of a simulation. The first three fronts are the seeds.
type layout struct {
	fronts   int
	stores   int
	diskless int // number of first fronts without a disk; the next coreLimit ones are members of the core
	absent   int // number of first fronts that are not started
}

const coreLimit = 5

// run runs a test with the given numbers of fronts and stores in its own simulated time.
func run(t *testing.T, fronts, stores int, test func(*testing.T, *simulation)) {
	runLayout(t, layout{fronts: fronts, stores: stores}, test)
}

func runLayout(t *testing.T, layout layout, test func(*testing.T, *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		sim := &simulation{t: t, network: simulated.New(1), logger: zaptest.NewLogger(t, zaptest.Level(zap.InfoLevel)), tolerated: 1}
		sim.platform = startPlatform(sim)
		for i := range layout.fronts {
			core := i >= layout.diskless && i < layout.diskless+coreLimit
			sim.add(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%d", i%3), core, false)
		}
		for i := range layout.stores {
			sim.add(fmt.Sprintf("store-%d", i), fmt.Sprintf("zone-%d", i%3), false, true)
		}
		for i := range min(3, layout.fronts) {
			sim.seeds = append(sim.seeds, fmt.Sprintf("%s:%d", sim.machines[i].ip, controlPort))
		}
		for i, m := range sim.machines {
			m.bootstrap = true
			if i >= layout.absent {
				m.start()
			}
		}
		defer func() {
			for _, m := range sim.machines {
				m.kill()
			}
			sim.platform.stop()
		}()
		test(t, sim)
	})
}

func (sim *simulation) add(name, zone string, core, store bool) *machine {
	m := &machine{simulation: sim, name: name, zone: zone, core: core, store: store}
	m.ip = fmt.Sprintf("10.0.0.%d", len(sim.machines)+1)
	if core || store {
		m.disk = memfs.New(uint64(len(sim.machines)) + 1)
	}
	sim.machines = append(sim.machines, m)
	return m
}

func (sim *simulation) machine(name string) *machine {
	for _, m := range sim.machines {
		if m.name == name {
			return m
		}
	}
	sim.t.Fatalf("no machine is named %q", name)
	return nil
}

// eventually waits until a condition holds, and returns how long that took. It fails the test after the limit.
func (sim *simulation) eventually(limit time.Duration, what string, condition func() bool) time.Duration {
	sim.t.Helper()
	begin := time.Now()
	for !condition() {
		if time.Since(begin) > limit {
			sim.t.Fatalf("condition does not hold within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begin)
}

// running returns the machines whose processes run.
func (sim *simulation) running() []*machine {
	var running []*machine
	for _, m := range sim.machines {
		if m.running.Load() {
			running = append(running, m)
		}
	}
	return running
}

// operatorCall makes an operator's call at a machine. It returns the HTTP status and the body of the response.
func (m *machine) operatorCall(method, path, base, body string) (int, string, error) {
	call := cluster.OperatorRequest{Method: method, Path: path, BaseVersion: base}
	answer, answerBody, err := m.agent().ForwardOperatorRequest(context.Background(), call, []byte(body))
	return answer.Status, string(answerBody), err
}

// operatorCallUntilAnswered makes an operator's call at the running machines in turn until one responds with a status
// below 500.
func (sim *simulation) operatorCallUntilAnswered(limit time.Duration, method, path, base, body string) (int, string) {
	sim.t.Helper()
	begin := time.Now()
	for i := 0; time.Since(begin) < limit; i++ {
		running := sim.running()
		status, answer, err := running[i%len(running)].operatorCall(method, path, base, body)
		if err == nil && status < 500 {
			return status, answer
		}
		time.Sleep(100 * time.Millisecond)
	}
	sim.t.Fatalf("no response to %s with a status below 500 within %v", path, limit)
	return 0, ""
}

// awaitConfigurationVersion waits until every running process has the given version of the configuration.
func (sim *simulation) awaitConfigurationVersion(limit time.Duration, version uint64) {
	sim.t.Helper()
	sim.eventually(limit, fmt.Sprintf("version %d in force everywhere", version), func() bool {
		for _, m := range sim.running() {
			if m.agent().Config() == nil || m.agent().Config().Version() != version {
				return false
			}
		}
		return true
	})
}

func (sim *simulation) awaitPlacement() {
	sim.t.Helper()
	sim.eventually(8*time.Second, "partitions placed", func() bool {
		for _, m := range sim.running() {
			if m.agent().Table() == nil || len(m.agent().Table().Partitions) != placement.MinPartitions {
				return false
			}
		}
		return true
	})
}

// primary returns the machine of the control group's primary according to the newest table of any process.
func (sim *simulation) primary() *machine {
	var newest *cluster.Table
	for _, m := range sim.running() {
		if table := m.agent().Table(); table != nil && (newest == nil || table.Revision > newest.Revision) {
			newest = table
		}
	}
	return sim.machine(newest.Primary)
}

// document returns a valid configuration with the given version.
func document(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":"a.example","path-prefix":"/p/",`+
		`"route-type":"async","timeout-ms":%d,"service":"s-1","max-attempts":3,"retention-s":90.0}],`+
		`"services":[{"name":"s-1","health-check":"/health","max-connections":10}],"limits":{}}`, version, 100+version)
}
