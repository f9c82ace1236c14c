package controlplane_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

const (
	replace = "/api/config/replace"
	update  = "/api/config/update"
	read    = "/api/config/read"
)

func TestBootstrapAndFirstConfiguration(t *testing.T) {
	run(t, 6, 3, func(t *testing.T, sim *simulation) {
		took := sim.eventually(8*time.Second, "all processes hold leases", func() bool {
			for _, m := range sim.machines {
				if !m.agent().LeaseValid() {
					return false
				}
			}
			return true
		})
		t.Logf("all processes hold leases after %v", took)
		status, body := sim.operatorCallUntilAnswered(5*time.Second, http.MethodPost, replace, "0", document(3))
		assert.Equal(t, status, http.StatusOK, body)
		sim.awaitConfigurationVersion(time.Second, 3)
		sim.awaitPlacement()
		for _, m := range sim.machines {
			assert.Equal(t, len(m.agent().Table().ControlGroup), 5)
			assert.Equal(t, m.agent().Table().ReplicationFactor, 2)
			assert.Equal(t, m.agent().Table().DeliveringStores, 3)
			assert.Assert(t, m.agent().Table().ControlGroup[0].Zone != "")
		}
		status, body = sim.operatorCallUntilAnswered(time.Second, http.MethodGet, read, "", "")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, document(3))
	})
}

func TestConfigurationRequestsAreAcceptedOrRejected(t *testing.T) {
	run(t, 4, 3, func(t *testing.T, sim *simulation) {
		sim.awaitPlacement()
		expect := func(want int, path, base, body string) {
			t.Helper()
			status, answer := sim.operatorCallUntilAnswered(3*time.Second, http.MethodPost, path, base, body)
			assert.Equal(t, status, want, answer)
		}
		first := document(2)
		expect(http.StatusBadRequest, replace, "", first)
		expect(http.StatusBadRequest, replace, "0", `{"version":1`)
		expect(http.StatusBadRequest, replace, "0", `{"version":1,"routes":[{"name":"r"}],"services":[]}`)
		expect(http.StatusOK, replace, "0", first)
		expect(http.StatusOK, replace, "0", first)
		expect(http.StatusOK, replace, "2", first) // equal to the current configuration
		expect(http.StatusPreconditionFailed, replace, "0", document(4))
		expect(http.StatusBadRequest, replace, "2", document(1))
		change := `{"version": 5, "remove":{"routes":["r-1"]}}`
		expect(http.StatusOK, update, "2", change)
		expect(http.StatusOK, update, "2", `{"remove":{"routes":["r-1"]},"version":5.0}`)
		expect(http.StatusPreconditionFailed, update, "2", `{"version":6,"remove":{"routes":["r-1"]}}`)
		expect(http.StatusOK, replace, "5", document(9))
		expect(http.StatusOK, update, "2", change) // a repeated request is acknowledged also after later changes
		sim.awaitConfigurationVersion(time.Second, 9)
		status, body := sim.operatorCallUntilAnswered(time.Second, http.MethodGet, read, "", "")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, document(9))
		expect(http.StatusNotFound, "/api/retire/nobody/start", "", `{"duration-s":10}`)
		expect(http.StatusConflict, "/api/retire/store-0/start", "", `{"duration-s":10}`)
	})
}

func TestOnlyOneOfTwoConcurrentConfigurationsIsAccepted(t *testing.T) {
	run(t, 4, 2, func(t *testing.T, sim *simulation) {
		sim.awaitPlacement()
		for version := range 10 {
			base := fmt.Sprint(version * 10)
			statuses := make([]int, 2)
			var wait sync.WaitGroup
			for i := range statuses {
				wait.Go(func() {
					statuses[i], _ = sim.operatorCallUntilAnswered(3*time.Second, http.MethodPost, replace, base,
						fmt.Sprintf(`{"version":%d,"routes":[],"services":[],"limits":{"max-body-bytes":%d}}`, (version+1)*10, 1000+i))
				})
			}
			wait.Wait()
			assert.Equal(t, statuses[0]+statuses[1], http.StatusOK+http.StatusPreconditionFailed)
		}
	})
}

func TestFailoverKeepsTheConfiguration(t *testing.T) {
	run(t, 5, 3, func(t *testing.T, sim *simulation) {
		sim.awaitPlacement()
		version := 1
		status, _ := sim.operatorCallUntilAnswered(3*time.Second, http.MethodPost, replace, "0", document(version))
		assert.Equal(t, status, http.StatusOK)
		for round := range 4 {
			primary := sim.primary()
			if round%2 == 0 {
				primary.kill()
			} else {
				primary.powerLoss()
				sim.network.PowerOff(primary.ip)
			}
			begin := time.Now()
			status, body := sim.operatorCallUntilAnswered(5*time.Second, http.MethodPost, replace, fmt.Sprint(version), document(version+1))
			assert.Equal(t, status, http.StatusOK, body)
			t.Logf("accepted %v after the primary failed", time.Since(begin))
			version++
			sim.awaitConfigurationVersion(2*time.Second, uint64(version))
			sim.network.PowerOn(primary.ip)
			primary.start()
			sim.awaitConfigurationVersion(3*time.Second, uint64(version))
			time.Sleep(2 * time.Second)
		}
	})
}

func TestStateSurvivesPowerLossOfAllMachines(t *testing.T) {
	run(t, 5, 3, func(t *testing.T, sim *simulation) {
		sim.awaitPlacement()
		status, _ := sim.operatorCallUntilAnswered(3*time.Second, http.MethodPost, replace, "0", document(7))
		assert.Equal(t, status, http.StatusOK)
		revision := sim.primary().agent().Table().Revision
		for _, m := range sim.machines {
			m.powerLoss()
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range sim.machines {
			m.start()
		}
		sim.awaitConfigurationVersion(6*time.Second, 7)
		status, body := sim.operatorCallUntilAnswered(3*time.Second, http.MethodPost, replace, "7", document(8))
		assert.Equal(t, status, http.StatusOK, body)
		sim.awaitConfigurationVersion(time.Second, 8)
		for _, m := range sim.machines {
			assert.Assert(t, m.agent().Table().Revision >= revision)
			assert.Equal(t, len(m.agent().Table().Partitions), 64)
		}
	})
}

func TestWipedMemberIsReplaced(t *testing.T) {
	run(t, 4, 2, func(t *testing.T, sim *simulation) {
		sim.awaitPlacement()
		status, _ := sim.operatorCallUntilAnswered(3*time.Second, http.MethodPost, replace, "0", document(1))
		assert.Equal(t, status, http.StatusOK)
		wiped := sim.primary()
		oldDisk := wiped.diskID
		wiped.kill()
		wiped.disk.Wipe()
		time.Sleep(300 * time.Millisecond)
		wiped.start()
		assert.Assert(t, wiped.diskID != oldDisk)
		took := sim.eventually(8*time.Second, "the new disk is a member", func() bool {
			table := sim.machine("store-0").agent().Table()
			if len(table.ControlGroup) != 4 {
				return false
			}
			for _, member := range table.ControlGroup {
				if member.Name == wiped.name {
					return member.DiskID == wiped.diskID
				}
			}
			return false
		})
		t.Logf("new disk is a member after %v", took)
		sim.awaitConfigurationVersion(3*time.Second, 1)
		for _, m := range sim.machines[:4] {
			if m != wiped {
				m.kill()
				time.Sleep(3 * time.Second)
				m.start()
				time.Sleep(3 * time.Second)
			}
		}
		status, body := sim.operatorCallUntilAnswered(3*time.Second, http.MethodGet, read, "", "")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, document(1))
	})
}

func TestStoreDownIsReplaced(t *testing.T) {
	run(t, 4, 4, func(t *testing.T, sim *simulation) {
		sim.awaitPlacement()
		down := sim.machine("store-1")
		down.powerLoss()
		sim.network.PowerOff(down.ip)
		table := func() *cluster.Table { return sim.machine("store-0").agent().Table() }
		took := sim.eventually(4*time.Second, "no partition is led by the store", func() bool { return leads(table(), "store-1") == 0 })
		t.Logf("replaced after %v", took)
	})
}

func TestDeadStoreIsReplacedAtOnceAfterFailureReport(t *testing.T) {
	run(t, 4, 4, func(t *testing.T, sim *simulation) {
		sim.awaitPlacement()
		time.Sleep(2 * time.Second)
		down := sim.machine("store-1")
		down.kill()
		reporter := sim.machine("store-0")
		report := cluster.FailureReport{Node: down.name, Address: fmt.Sprintf("%s:%d", down.ip, internalPort), Refused: true}
		assert.NilError(t, reporter.agent().ReportFailure(t.Context(), report))
		took := sim.eventually(400*time.Millisecond, "no partition is led by the store", func() bool {
			return leads(reporter.agent().Table(), "store-1") == 0
		})
		t.Logf("replaced after %v", took)
	})
}

func TestUnresponsiveStoreIsMarkedBeforeItsLeaseEnds(t *testing.T) {
	run(t, 4, 4, func(t *testing.T, sim *simulation) {
		sim.awaitPlacement()
		time.Sleep(2 * time.Second)
		cut := sim.machine("store-1")
		reporter := sim.machine("store-0")
		for _, m := range sim.machines {
			sim.network.Isolate(cut.ip, m.ip)
		}
		report := cluster.FailureReport{Node: cut.name, Address: fmt.Sprintf("%s:%d", cut.ip, internalPort)}
		assert.NilError(t, reporter.agent().ReportFailure(t.Context(), report))
		took := sim.eventually(300*time.Millisecond, "the store is marked", func() bool {
			return reporter.agent().Table().Store(cut.name).Unresponsive
		})
		t.Logf("marked after %v", took)
		assert.Assert(t, leads(reporter.agent().Table(), cut.name) > 0, "its lease is still valid")
		for _, m := range sim.machines {
			sim.network.Heal(cut.ip, m.ip)
		}
		sim.eventually(2*time.Second, "the mark is removed", func() bool {
			return !reporter.agent().Table().Store(cut.name).Unresponsive
		})
	})
}

func TestFailureReportOfLiveStoreIsIgnored(t *testing.T) {
	run(t, 4, 4, func(t *testing.T, sim *simulation) {
		sim.awaitPlacement()
		time.Sleep(2 * time.Second)
		reporter := sim.machine("store-0")
		revision := reporter.agent().Table().Revision
		report := cluster.FailureReport{Node: "store-1", Address: fmt.Sprintf("%s:%d", sim.machine("store-1").ip, internalPort), Refused: true}
		assert.NilError(t, reporter.agent().ReportFailure(t.Context(), report))
		time.Sleep(time.Second)
		assert.Equal(t, reporter.agent().Table().Revision, revision)
	})
}

func TestRetireMovesAllDataOffAStore(t *testing.T) {
	run(t, 4, 4, func(t *testing.T, sim *simulation) {
		sim.awaitPlacement()
		status, body := sim.operatorCallUntilAnswered(3*time.Second, http.MethodPost, "/api/retire/store-2/start", "", `{"duration-s":10}`)
		assert.Equal(t, status, http.StatusOK, body)
		status, _ = sim.operatorCallUntilAnswered(3*time.Second, http.MethodPost, "/api/retire/store-2/start", "", `{"duration-s":10}`)
		assert.Equal(t, status, http.StatusOK)
		took := sim.eventually(10*time.Second, "the store is empty", func() bool {
			_, answer := sim.operatorCallUntilAnswered(time.Second, http.MethodGet, "/api/retire/store-2/read", "", "")
			return answer == `{"state":"completed"}`
		})
		t.Logf("emptied after %v", took)
		for _, partition := range sim.machine("store-0").agent().Table().Partitions {
			assert.Equal(t, partition.IndexOf("store-2"), -1)
		}
	})
}

func TestDrainingStoreLeadsNothing(t *testing.T) {
	run(t, 4, 3, func(t *testing.T, sim *simulation) {
		sim.awaitPlacement()
		time.Sleep(2 * time.Second)
		sim.machine("store-0").draining.Store(true)
		took := sim.eventually(3*time.Second, "the store leads nothing", func() bool {
			return leads(sim.machine("store-1").agent().Table(), "store-0") == 0
		})
		t.Logf("handed over after %v", took)
	})
}

func TestWorkerListReachesOnlyStores(t *testing.T) {
	run(t, 5, 2, func(t *testing.T, sim *simulation) {
		entry := func(id, state string) map[string]any {
			return map[string]any{
				"id": id, "service": "s", "address": "10.1.1.1:80", "zone": "zone-0", "version": "v1",
				"capacity": 3, "state": state, "warmup-left-ms": 10,
			}
		}
		sim.platform.set(entry("i-1", "ready"), entry("i-2", "ready"), entry("i-3", "ready"))
		sim.awaitPlacement()
		everywhere := func(condition func([]cluster.Worker) bool) func() bool {
			return func() bool {
				for _, m := range sim.running() {
					if !m.store {
						assert.Assert(t, m.agent().Workers() == nil, "a process that is no store has the list")
						continue
					}
					if m.agent().Workers() == nil || !condition(m.agent().Workers().Workers) {
						return false
					}
				}
				return true
			}
		}
		sim.eventually(2*time.Second, "three workers", everywhere(func(workers []cluster.Worker) bool { return len(workers) == 3 }))
		sim.platform.set(entry("i-1", "ready"), entry("i-2", "draining"), entry("i-3", "ready"))
		draining := everywhere(func(workers []cluster.Worker) bool { return len(workers) == 3 && workers[1].Draining })
		took := sim.eventually(2*time.Second, "draining seen", draining)
		t.Logf("draining seen after %v", took)
		sim.primary().kill()
		sim.platform.set(entry("i-1", "ready"))
		sim.eventually(5*time.Second, "one worker", everywhere(func(workers []cluster.Worker) bool { return len(workers) == 1 }))
	})
}

func leads(table *cluster.Table, store string) int {
	count := 0
	for _, partition := range table.Partitions {
		if primary, found := partition.Primary(); found && primary.Store == store {
			count++
		}
	}
	return count
}

// TestLargeUpdateIsInForceWithinOneSecond sends an update with 1500 routes, which is distributed compressed. Every
// process must have it within a second.
func TestLargeUpdateIsInForceWithinOneSecond(t *testing.T) {
	run(t, 5, 2, func(t *testing.T, sim *simulation) {
		sim.awaitPlacement()
		status, body := sim.operatorCallUntilAnswered(5*time.Second, http.MethodPost, replace, "0", document(3))
		assert.Equal(t, status, http.StatusOK, body)
		var routes []string
		for i := range 1500 {
			routes = append(routes, fmt.Sprintf(
				`{"name":"r-%d","host":"large.example","path-prefix":"/p%d/","service":"s-1","timeout-ms":500}`, i, i))
		}
		large := fmt.Sprintf(`{"version":5,"upsert":{"routes":[%s]}}`, strings.Join(routes, ","))
		status, body = sim.operatorCallUntilAnswered(5*time.Second, http.MethodPost, update, "3", large)
		assert.Equal(t, status, http.StatusOK, body)
		sim.awaitConfigurationVersion(time.Second, 5)
	})
}

// TestStoresKilledTogetherKeepTheirReplicas kills more stores than the tolerated losses and restarts them within the
// grace for restarts. Their replicas must not be replaced meanwhile.
func TestStoresKilledTogetherKeepTheirReplicas(t *testing.T) {
	run(t, 4, 4, func(t *testing.T, sim *simulation) {
		sim.awaitPlacement()
		time.Sleep(2 * time.Second)
		reporter := sim.machine("front-3").agent()
		before := reporter.Table()
		var killed []*machine
		for i := range 3 {
			killed = append(killed, sim.machine(fmt.Sprint("store-", i)))
		}
		for _, m := range killed {
			m.kill()
		}
		for _, m := range killed {
			address := fmt.Sprintf("%s:%d", m.ip, internalPort)
			assert.NilError(t, reporter.ReportFailure(t.Context(), cluster.FailureReport{Node: m.name, Address: address, Refused: true}))
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range killed {
			m.start()
		}
		time.Sleep(2 * time.Second)
		after := reporter.Table()
		assert.Assert(t, after.Revision > before.Revision, "the stores were not found dead")
		assert.DeepEqual(t, after.Partitions, before.Partitions)
	})
}
