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

// world is a whole system in one process, on a simulated network and clock.
type world struct {
	t         *testing.T
	network   *simulated.Network
	logger    *zap.Logger
	machines  []*machine
	seeds     []string
	tolerated int
	platform  *platform
}

// layout says which machines a world has. The first three fronts are the seeds.
type layout struct {
	fronts   int
	stores   int
	diskless int // so many of the first fronts have no disk; the next coreLimit ones are members of the core
	absent   int // so many of the first fronts are not started
}

const coreLimit = 5

// run runs a test with fronts and stores in its own simulated time.
func run(t *testing.T, fronts, stores int, test func(*testing.T, *world)) {
	runLayout(t, layout{fronts: fronts, stores: stores}, test)
}

func runLayout(t *testing.T, layout layout, test func(*testing.T, *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, network: simulated.New(1), logger: zaptest.NewLogger(t, zaptest.Level(zap.InfoLevel)), tolerated: 1}
		w.platform = startPlatform(w)
		for i := range layout.fronts {
			core := i >= layout.diskless && i < layout.diskless+coreLimit
			w.add(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%d", i%3), core, false)
		}
		for i := range layout.stores {
			w.add(fmt.Sprintf("store-%d", i), fmt.Sprintf("zone-%d", i%3), false, true)
		}
		for i := range min(3, layout.fronts) {
			w.seeds = append(w.seeds, fmt.Sprintf("%s:%d", w.machines[i].ip, controlPort))
		}
		for i, m := range w.machines {
			m.bootstrap = true
			if i >= layout.absent {
				m.start()
			}
		}
		defer func() {
			for _, m := range w.machines {
				m.kill()
			}
			w.platform.stop()
		}()
		test(t, w)
	})
}

func (w *world) add(name, zone string, core, store bool) *machine {
	m := &machine{world: w, name: name, zone: zone, core: core, store: store}
	m.ip = fmt.Sprintf("10.0.0.%d", len(w.machines)+1)
	if core || store {
		m.disk = memfs.New(uint64(len(w.machines)) + 1)
	}
	w.machines = append(w.machines, m)
	return m
}

func (w *world) machine(name string) *machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	w.t.Fatalf("no machine %s", name)
	return nil
}

// eventually waits until a condition holds, and returns how long that took.
func (w *world) eventually(limit time.Duration, what string, condition func() bool) time.Duration {
	w.t.Helper()
	begin := time.Now()
	for !condition() {
		if time.Since(begin) > limit {
			w.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begin)
}

// running returns the machines whose processes run.
func (w *world) running() []*machine {
	var running []*machine
	for _, m := range w.machines {
		if m.running.Load() {
			running = append(running, m)
		}
	}
	return running
}

// order makes a call of the operator at a machine.
func (m *machine) order(method, path, base, body string) (int, string, error) {
	call := cluster.OperatorRequest{Method: method, Path: path, BaseVersion: base}
	answer, answerBody, err := m.agent().Operator(context.Background(), call, []byte(body))
	return answer.Status, string(answerBody), err
}

// orderUntilClear sends an order to the running machines in turn until one answers clearly.
func (w *world) orderUntilClear(limit time.Duration, method, path, base, body string) (int, string) {
	w.t.Helper()
	begin := time.Now()
	for i := 0; time.Since(begin) < limit; i++ {
		running := w.running()
		status, answer, err := running[i%len(running)].order(method, path, base, body)
		if err == nil && status < 500 {
			return status, answer
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("no clear answer to %s within %v", path, limit)
	return 0, ""
}

// requireInForce waits until every running process has a version of the configuration.
func (w *world) requireInForce(limit time.Duration, version uint64) {
	w.t.Helper()
	w.eventually(limit, fmt.Sprintf("version %d in force everywhere", version), func() bool {
		for _, m := range w.running() {
			if m.agent().Config() == nil || m.agent().Config().Version() != version {
				return false
			}
		}
		return true
	})
}

func (w *world) awaitPlacement() {
	w.t.Helper()
	w.eventually(8*time.Second, "partitions placed", func() bool {
		for _, m := range w.running() {
			if m.agent().Table() == nil || len(m.agent().Table().Partitions) != placement.MinPartitions {
				return false
			}
		}
		return true
	})
}

// primary returns the machine that leads the control group according to the newest table of any process.
func (w *world) primary() *machine {
	var newest *cluster.Table
	for _, m := range w.running() {
		if table := m.agent().Table(); table != nil && (newest == nil || table.Revision > newest.Revision) {
			newest = table
		}
	}
	return w.machine(newest.Primary)
}

// document returns a valid configuration of a version.
func document(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":"a.example","path-prefix":"/p/",`+
		`"route-type":"async","timeout-ms":%d,"service":"s-1","max-attempts":3,"retention-s":90.0}],`+
		`"services":[{"name":"s-1","health-check":"/health","max-connections":10}],"limits":{}}`, version, 100+version)
}
