package delivery_test

import (
	"fmt"
	"strings"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
)

// goldenScenarios are the scenarios of TestGoldenTraces. The hashes were recorded before the engine was restructured.
var goldenScenarios = []struct {
	name string
	hash string
	play func(r *trace)
}{
	{"deliveries", "9e55ffca358524b1", func(r *trace) {
		r.startThreeWorkers(succeed)
		r.submitMany("m", "r", 150, 12*time.Millisecond)
		r.sampleFor(5 * time.Second)
	}},
	{"overload", "e3f138b8ae9418c4", func(r *trace) {
		r.startThreeWorkers(succeedAfter(150 * time.Millisecond))
		r.submitMany("m", "r", 300, 4*time.Millisecond, r.randomKey)
		r.sampleFor(15 * time.Second)
	}},
	{"failures 500", "bc477b8ee95f63fa", func(r *trace) {
		r.startThreeWorkers(respondStatus(500), succeed, respondStatus(500))
		r.submitMany("m", "r", 60, 40*time.Millisecond)
		r.sampleFor(5 * time.Second)
	}},
	{"rejections 422", "baf35a5421fc6b68", func(r *trace) {
		r.startThreeWorkers(respondStatus(422), succeed)
		r.submitMany("m", "r", 60, 40*time.Millisecond, r.randomKey)
		r.sampleFor(5 * time.Second)
	}},
	{"not run", "ee53361672a8dd5b", func(r *trace) {
		r.startThreeWorkers(respondStatus(503), respondStatus(429), respondStatus(409), respondStatus(400), succeed, succeed, succeed)
		r.submitMany("m", "r", 60, 60*time.Millisecond)
		r.sampleFor(20 * time.Second)
	}},
	{"wrong worker", "698562b09211c929", func(r *trace) {
		r.startThreeWorkers(respondStatus(421), succeed, succeed, succeed, succeed, succeed)
		r.submitMany("m", "r", 60, 100*time.Millisecond)
		r.sampleFor(10 * time.Second)
	}},
	{"resets", "46f11870c0275843", func(r *trace) {
		r.startThreeWorkers(abort, succeed)
		r.submitMany("m", "r", 60, 40*time.Millisecond)
		r.sampleFor(10 * time.Second)
	}},
	{"silence", "9ea54faffead730d", func(r *trace) {
		r.startThreeWorkers(silent, respondStatus(504), succeed, succeed)
		r.submitMany("m", "r", 40, 60*time.Millisecond)
		r.sampleFor(20 * time.Second)
	}},
	{"order by key", "cecd47b5d355769e", func(r *trace) {
		r.startThreeWorkers(succeed, succeed, respondStatus(500), abort, respondStatus(503))
		r.submitMany("m", "r", 120, 20*time.Millisecond, r.randomKey, r.randomPartition)
		r.sampleFor(20 * time.Second)
	}},
	{"delays", "16e6b82841ceaec6", func(r *trace) {
		r.startThreeWorkers(succeed)
		r.submitMany("m", "r", 80, 20*time.Millisecond, r.randomKey, func(m *message.Message) {
			m.DueAt = m.DueAt.Add(time.Duration(r.random.Int64N(int64(8 * time.Second))))
		})
		r.sampleFor(10 * time.Second)
	}},
	{"expiry", "b4a5cca742bb460b", func(r *trace) {
		r.configureRoute(version, 3, 0)
		r.submitMany("m", "r", 60, 30*time.Millisecond, r.randomKey, r.randomPartition, func(m *message.Message) {
			m.ExpiresAt = m.DueAt.Add(time.Second + time.Duration(r.random.Int64N(int64(9*time.Second))))
		})
		r.sampleFor(5 * time.Second)
		r.worker("i-1", "s", "10.0.1.1", succeed, respondStatus(503))
		r.setWorkers()
		r.sampleFor(6 * time.Second)
	}},
	{"dropped routes", "076315eefaed6af2", func(r *trace) {
		both := []route{{name: "r", service: "s"}, {name: "q", service: "s"}}
		r.engine.SetConfiguration(table(r.t, version, both, []service{{name: "s"}}))
		for i := range 40 {
			r.submit(fmt.Sprint("m-", i), []string{"r", "q", "new"}[i%3], r.randomKey, r.randomPartition, func(m *message.Message) {
				if m.Route == "new" {
					m.ConfigVersion = version + 2
				}
			})
			r.sleepUpTo(20 * time.Millisecond)
		}
		r.sampleFor(time.Second)
		r.configureRoute(version+1, 3, 0)
		r.sampleFor(time.Second)
		r.worker("i-1", "s", "10.0.1.1", succeed)
		r.setWorkers()
		r.sampleFor(3 * time.Second)
		r.engine.SetConfiguration(table(r.t, version+2, []route{{name: "new", service: "s"}}, []service{{name: "s"}}))
		r.sampleFor(3 * time.Second)
	}},
	{"rate limits", "94b32beefd434752", func(r *trace) {
		r.startThreeWorkers(succeed, respondStatus(500), respondStatus(429), succeed)
		r.engine.SetRateDivisor(2)
		r.configureRoute(version+1, 3, 40)
		r.submitMany("m", "r", 150, 12*time.Millisecond)
		r.sampleFor(3 * time.Second)
		r.engine.SetRateDivisor(5)
		r.sampleFor(5 * time.Second)
		r.configureRoute(version+2, 3, 200)
		r.sampleFor(10 * time.Second)
	}},
	{"worker list changes", "f3f2b61d0d0a1fe6", (*trace).changeWorkers},
	{"partitions", "10d2f5697ec9ba19", (*trace).changePartitions},
	{"down and back", "bf515389eb1efc39", func(r *trace) {
		r.startThreeWorkers(succeed)
		for _, fake := range r.workers {
			fake.stop()
		}
		r.submitMany("m", "r", 50, 20*time.Millisecond, r.randomKey)
		r.sampleFor(8 * time.Second)
		for _, fake := range r.workers[1:] {
			fake.run()
			r.sleepUpTo(2 * time.Second)
		}
		r.sampleFor(5 * time.Second)
	}},
	{"unreachable", "d45861b2ed53d002", func(r *trace) {
		r.startThreeWorkers(succeed)
		r.network.Isolate(storeIP, "10.0.1.2")
		r.submitMany("m", "r", 50, 40*time.Millisecond, r.randomPartition)
		r.network.Heal(storeIP, "10.0.1.2")
		r.sampleFor(5 * time.Second)
	}},
	{"own zone first", "6afaa16cf4e23653", func(r *trace) {
		for i := range 4 {
			fake := r.worker(fmt.Sprint("i-", i+1), "s", fmt.Sprint("10.0.1.", i+1), succeedAfter(80*time.Millisecond))
			if i%2 > 0 {
				fake.listed.Zone = "b"
			}
		}
		r.configureRoute(version, 3, 0)
		r.setWorkers()
		r.submitMany("m", "r", 200, 14*time.Millisecond)
		r.submitMany("n", "r", 100, 50*time.Millisecond)
		r.sampleFor(5 * time.Second)
	}},
	{"released in flight", "a9c89ee813a334d1", func(r *trace) {
		r.startThreeWorkers(succeedAfter(250*time.Millisecond), respondStatus(500), abort)
		var all []*message.Message
		for step := range 30 {
			for i := range 6 {
				all = append(all, r.submit(fmt.Sprint("m-", step, "-", i), "r", r.randomKey, r.randomPartition))
				r.sleepUpTo(5 * time.Millisecond)
			}
			partition := r.random.IntN(4)
			r.engine.Release(partition)
			r.sleepUpTo(600 * time.Millisecond)
			for _, m := range all {
				if m.Partition == partition && r.owner.state(m.ID) == message.Queued {
					r.engine.Submit(m, len(r.owner.failuresOf(m.ID)))
					r.sleepUpTo(time.Millisecond)
				}
			}
			r.sample()
		}
		r.sampleFor(8 * time.Second)
	}},
	{"withdrawn while connecting", "e19b36d45167ca75", func(r *trace) {
		r.startThreeWorkers(succeed)
		for step := range 60 {
			isolated := r.workers[step%3]
			ip := strings.TrimSuffix(isolated.listed.Address, workerPort)
			time.Sleep(5 * time.Second) // idle connections are closed meanwhile
			r.network.Isolate(storeIP, ip)
			r.submitMany(fmt.Sprint("m-", step), "r", 1, 10*time.Millisecond, r.randomKey, r.randomPartition)
			switch step % 4 {
			case 0, 1:
				isolated.listed.Draining = true
				r.setWorkers()
			case 2:
				for partition := range 4 {
					r.owner.block(partition, true)
				}
			}
			r.sleepUpTo(200 * time.Millisecond)
			r.network.Heal(storeIP, ip)
			r.sleepUpTo(100 * time.Millisecond)
			isolated.listed.Draining = false
			for partition := range 4 {
				r.owner.block(partition, false)
			}
			r.setWorkers()
			r.sample()
			r.sleepUpTo(300 * time.Millisecond)
		}
		r.sampleFor(5 * time.Second)
	}},
	{"one of two rejects", "b3cc40923720fc21", func(r *trace) {
		r.worker("i-1", "s", "10.0.1.1", succeedAfter(30*time.Millisecond))
		r.worker("i-2", "s", "10.0.1.2", respondStatus(503))
		r.configureRoute(version, 3, 0)
		r.setWorkers()
		r.submitMany("m", "r", 500, 30*time.Millisecond, r.randomKey)
		r.sampleFor(5 * time.Second)
	}},
	{"signature change", "92c71a4ab96c0619", func(r *trace) {
		r.startThreeWorkers(succeedAfter(100 * time.Millisecond))
		r.submitMany("m", "r", 40, 10*time.Millisecond)
		r.engine.SetConfiguration(table(r.t, version+1, []route{{name: "r", service: "s", timeout: 700 * time.Millisecond},
			{name: "q", service: "s"}}, []service{{name: "s", maxConnections: 9}}))
		r.submitMany("n", "q", 40, 10*time.Millisecond)
		r.engine.SetConfiguration(table(r.t, version, []route{{name: "old", service: "s"}}, []service{{name: "s"}}))
		r.sampleFor(4 * time.Second)
		r.engine.SetConfiguration(table(r.t, version+2, []route{{name: "r", service: "other"}, {name: "q", service: "other"}},
			[]service{{name: "other"}}))
		r.submitMany("o", "r", 10, 10*time.Millisecond)
		r.sampleFor(time.Second)
	}},
	{"services and static endpoint", "603688cd63575fd0", func(r *trace) {
		r.worker("i-1", "s", "10.0.1.1", succeed)
		r.worker("i-2", "s", "10.0.1.2", succeed, respondStatus(500))
		fixed := r.worker("fixed", "t", "10.0.1.9", succeed, succeed, respondStatus(503))
		routes := []route{{name: "r", service: "s"}, {name: "q", service: "s"}, {name: "t", service: "t"}}
		r.engine.SetConfiguration(table(r.t, version, routes,
			[]service{{name: "s", maxConnections: 6}, {name: "t", static: fixed.listed.Address, maxConnections: 3}}))
		r.setWorkers()
		for i := range 90 {
			r.submit(fmt.Sprint("m-", i), []string{"r", "q", "t"}[i%3], r.randomKey)
			r.sleepUpTo(20 * time.Millisecond)
		}
		r.sampleFor(8 * time.Second)
	}},
}

// startThreeWorkers starts three workers of a service and configures the service.
func (r *trace) startThreeWorkers(behaviours ...behaviour) {
	for i := range 3 {
		r.worker(fmt.Sprint("i-", i+1), "s", fmt.Sprint("10.0.1.", i+1), behaviours...)
	}
	r.configureRoute(version, 3, 0)
	r.setWorkers()
}

// changeWorkers makes workers join, drain, leave, move to another address and rejoin.
func (r *trace) changeWorkers() {
	r.startThreeWorkers(succeed, succeed, respondStatus(503))
	far := r.worker("i-4", "s", "10.0.1.4", succeed)
	far.listed.Zone = "b"
	for step := range 40 {
		r.submitMany(fmt.Sprint("m-", step), "r", 4, 20*time.Millisecond, r.randomKey)
		chosen := r.workers[r.random.IntN(len(r.workers))]
		chosen.listed.Draining = !chosen.listed.Draining
		var list []cluster.Worker
		for i, fake := range r.workers {
			if (step/4+i)%5 != 0 {
				list = append(list, fake.listed)
			}
		}
		if step%7 == 3 {
			list[0].Address = "10.0.1.7" + workerPort // no process listens there
		}
		r.network.SetDelay(storeIP, "10.0.1.7", 0)
		r.engine.SetWorkers(list)
		r.sampleFor(200 * time.Millisecond)
	}
	for _, fake := range r.workers {
		fake.listed.Draining = false
	}
	r.setWorkers()
	r.sampleFor(5 * time.Second)
}

// changePartitions pauses, blocks and releases partitions while attempts are in flight.
func (r *trace) changePartitions() {
	r.startThreeWorkers(succeed, succeedAfter(200*time.Millisecond))
	var all []*message.Message
	for step := range 60 {
		for i := range 3 {
			all = append(all, r.submit(fmt.Sprint("m-", step, "-", i), "r", r.randomKey, r.randomPartition))
			r.sleepUpTo(20 * time.Millisecond)
		}
		partition := r.random.IntN(4)
		switch r.random.IntN(6) {
		case 0:
			r.engine.PausePartition(partition)
			r.sleepUpTo(300 * time.Millisecond)
			r.engine.ResumePartition(partition)
		case 1:
			r.owner.block(partition, true)
			r.sleepUpTo(300 * time.Millisecond)
			r.owner.block(partition, false)
		case 2, 3:
			r.engine.Release(partition)
			r.sleepUpTo(60 * time.Millisecond)
			for _, m := range all {
				if m.Partition == partition && r.owner.state(m.ID) == message.Queued {
					r.engine.Submit(m, len(r.owner.failuresOf(m.ID)))
					r.sleepUpTo(time.Millisecond)
				}
			}
		case 4:
			r.engine.Pause()
			r.sleepUpTo(300 * time.Millisecond)
			r.engine.Resume()
		}
		r.sample()
	}
	r.sampleFor(5 * time.Second)
}
