package capacity

import "math"

// Figures for one dispatcher, and unit conversions.
const (
	eventsPerDispatcher  = eventsPerSecond / dispatchers // per second
	backlogPerDispatcher = backlog / dispatchers
	storedPerDispatcher  = backlogPerDispatcher * replicas // messages that one dispatcher stores as primary or backup
	partitionsNeeded     = partitionsPerDispatcher * dispatchers
	toPercent            = 100.0
	micro                = 1e-6
	nano                 = 1e-9
)

// storage adds the cost of storing a message on a dispatcher, and the processor time of its whole life cycle.
func (c *calculation) storage() {
	const part = "Keeping a message"
	c.add(Row{Part: part, Quantity: "processor, two copies, of a dispatcher", Unit: percentOfCore, Limit: storeCore,
		Need: eventsPerDispatcher * c.slope("keep.processor") * micro * toPercent, Mechanism: "`messagestore/put.go`, `replicator.go`"})
	c.add(Row{Part: part, Quantity: "processor, all its life, of a dispatcher", Unit: percentOfCore, Limit: storeCore,
		Need: eventsPerDispatcher * c.slope("system.processor") * micro * toPercent, Mechanism: "`ingress`, `messagestore`, `delivery`"})
	c.add(Row{Part: part, Quantity: "written to disk", Unit: bytesPerSecond, Limit: storeDiskRate,
		Need: eventsPerDispatcher * replicas * c.slope("keep.disk"), Mechanism: "`wal/group_commit.go`"})
	c.add(Row{Part: part, Quantity: "syncs, if none were shared", Unit: perSecond, Limit: storeSyncsPerSecond,
		Need: eventsPerDispatcher * replicas, Mechanism: "`wal/group_commit.go` (group commit)"})
	c.add(Row{Part: part, Quantity: "syncs, shared as under load", Unit: perSecond, Limit: storeSyncsPerSecond,
		Need: eventsPerDispatcher * replicas * c.slope("keep.syncs"), Mechanism: "`wal/group_commit.go` (group commit)"})
}

// backlog adds the memory and the disk space of the messages that are not finished, and the time to send a partition's
// inventory.
func (c *calculation) backlog() {
	const part = "Backlog"
	c.add(Row{Part: part, Quantity: "index in memory, of a dispatcher", Unit: bytes, Limit: storeMemory,
		Need: storedPerDispatcher * c.slope("keep.memory"), Mechanism: "`messagestore/partition.go`"})
	c.add(Row{Part: part, Quantity: "delivery queue in memory", Unit: bytes, Limit: storeMemory,
		Need: backlogPerDispatcher * c.slope("queue.memory"), Mechanism: "`delivery/backlog.go`"})
	c.add(Row{Part: part, Quantity: "on disk (today's disk)", Unit: bytes, Limit: storeDisk,
		Need: storedPerDispatcher * c.slope("keep.disk"), Mechanism: "`wal/log.go`"})
	c.add(Row{Part: part, Quantity: "inventory of a partition, in one answer", Unit: seconds, Limit: inventorySeconds,
		Need: backlogPerDispatcher / partitionsPerDispatcher * (c.slope("inventory.processor")*nano + c.slope("inventory.bytes")/memberLink), Mechanism: "`messagestore/missing.go`"})
}

// retries adds the cost of services that are down, and of the delivery engine's loop.
func (c *calculation) retries() {
	const part = "Retries"
	c.add(Row{Part: part, Quantity: "heap entries of messages of destinations that are down", Unit: bytes, Limit: storeMemory,
		Need: backlogPerDispatcher * c.slope("queue.memory"), Mechanism: "`delivery/route_queue.go`"})
	c.add(Row{Part: part, Quantity: "attempts at destinations that have been down for an hour, of a dispatcher that holds messages of all",
		Unit: perSecond, Limit: eventsPerDispatcher, Need: destinations * downShare / backoffAfterAnHour, Mechanism: "`delivery/concurrency_limit.go`"})
	c.add(Row{Part: part, Quantity: "turns of the loop, three an event, with 10,000 services", Unit: percentOfCore, Limit: storeCore,
		Need: eventsPerDispatcher * turnsPerEvent * c.slope("turn.event") * nano * toPercent, Mechanism: "`delivery/service_schedule.go`"})
	c.add(Row{Part: part, Quantity: "looks at all 71,000 services, four a second", Unit: percentOfCore, Limit: storeCore,
		Need: fullSweepsPerSecond * c.slope("look.service") * nano * destinations / workersPerService * toPercent, Mechanism: "`delivery/service_schedule.go`"})
}

// backoffAfterAnHour is the backoff in seconds of a service that has been down for an hour, which is a hundredth of the
// down time; see internal/delivery/concurrency_limit.go.
const backoffAfterAnHour = 36

// fullSweepsPerSecond is how often per second the loop runs all services; see internal/delivery/service_schedule.go.
const fullSweepsPerSecond = 4

// turnsPerEvent is the number of loop iterations for each message: one each for its submission, its start and its end.
const turnsPerEvent = 3

// workerList adds the cost of reading, distributing and applying the list of workers.
func (c *calculation) workerList() {
	const part = "List of workers"
	c.add(Row{Part: part, Quantity: "pages to read it", Unit: dimensionless, Limit: listPageLimit,
		Need: destinations / listPageEntries, Mechanism: "`controlplane/workerlist/read.go`"})
	c.add(Row{Part: part, Quantity: "time to read it", Unit: seconds, Limit: listFreshnessSeconds,
		Need: destinations / listPageEntries / listPagesPerSecond, Mechanism: "`controlplane/workerlist/read.go`"})
	c.add(Row{Part: part, Quantity: "its changes, to every dispatcher", Unit: bytesPerSecond, Limit: controlBytesLimit,
		Need: workerChangesPerDay / secondsPerDay * c.slope("workers.bytes"), Mechanism: "`cluster/worker_change.go`, `controlplane/workerlist/history.go`"})
	c.add(Row{Part: part, Quantity: "the whole list, to those that start", Unit: bytesPerSecond, Limit: memberLink,
		Need:      (restartsPerDay + failuresPerDay) / secondsPerDay * destinations * c.slope("workers.bytes"),
		Mechanism: "`controlplane/sync.go`"})
	c.add(Row{Part: part, Quantity: "in memory, of a dispatcher", Unit: bytes, Limit: controlMemoryLimit,
		Need: destinations * c.slope("workers.memory"), Mechanism: "`cluster/worker_list.go`"})
	c.add(Row{Part: part, Quantity: "taking in its changes, two versions a second, of a dispatcher", Unit: percentOfCore, Limit: controlCoreLimit,
		Need: listVersionsPerSecond * destinations * c.slope("workers.change") * nano * toPercent, Mechanism: "`cluster/worker_change.go`"})
	c.add(Row{Part: part, Quantity: "the same in the delivery engine, for all services", Unit: percentOfCore, Limit: storeCore,
		Need: listVersionsPerSecond * destinations * c.slope("workers.take") * nano * toPercent, Mechanism: "`delivery/reconfigure.go`"})
	c.add(Row{Part: part, Quantity: "reading the whole list at a start", Unit: seconds, Limit: recoverSeconds,
		Need: destinations * c.slope("workers.decode") * nano, Mechanism: "`cluster/agent_sync.go`"})
}

// listVersionsPerSecond is the maximum rate at which the list of workers is read, and thus at which it changes; see
// internal/controlplane/workerlist/reader.go.
const listVersionsPerSecond = 2

// leases adds the cost of renewing and checking the leases of all dispatchers.
func (c *calculation) leases() {
	const part = "Leases"
	c.add(Row{Part: part, Quantity: "bytes, of a dispatcher", Unit: bytesPerSecond, Limit: controlBytesLimit,
		Need: c.slope("lease.bytes"), Mechanism: "`cluster/agent_sync.go`"})
	c.add(Row{Part: part, Quantity: "processor, of a dispatcher", Unit: percentOfCore, Limit: controlCoreLimit,
		Need: c.slope("lease.dispatcher"), Mechanism: "`cluster/agent_sync.go`"})
	c.add(Row{Part: part, Quantity: "processor, of a member, mean of nine", Unit: percentOfCore, Limit: memberCore,
		Need: dispatchers * c.slope("lease.members") / controlMachines, Mechanism: "`controlplane/sync.go`, `controlplane/lease/table.go`"})
	c.add(Row{Part: part, Quantity: "primary's look at the leases, 64 partitions", Unit: percentOfCore, Limit: memberCore,
		Need: c.slope("manager.step.64") * nano * managerStepsPerSecond * toPercent, Mechanism: "`controlplane/tablemanager/manager.go`"})
	c.add(Row{Part: part, Quantity: "the same, 32,768 partitions", Unit: percentOfCore, Limit: memberCore,
		Need: c.slope("manager.step.32768") * nano * managerStepsPerSecond * toPercent, Mechanism: "`controlplane/tablemanager/manager.go`"})
	c.add(Row{Part: part, Quantity: "passed to the primary and read there", Unit: percentOfCore, Limit: memberCore,
		Need: dispatchers * renewalsPerSecond * c.slope("lease.take") * nano * toPercent, Mechanism: "`controlplane/lease/renewal.go`"})
}

// renewalsPerSecond is how often per second a dispatcher renews its lease.
const renewalsPerSecond = 2.5

// configuration adds the cost of configuration changes, and the time until they are in force.
func (c *calculation) configuration() {
	const part = "Configuration"
	routes := destinations / workersPerService
	c.add(Row{Part: part, Quantity: "updates sent to a dispatcher", Unit: bytesPerSecond, Limit: controlBytesLimit,
		Need: changesPerDay / secondsPerDay * c.slope("update.bytes"), Mechanism: "`controlplane/sync.go`"})
	c.add(Row{Part: part, Quantity: "applying them, of a dispatcher, 71,000 routes", Unit: percentOfCore, Limit: controlCoreLimit,
		Need: changesPerDay / secondsPerDay * routes * c.slope("update.processor") * nano * toPercent, Mechanism: "`configuration/update.go`"})
	c.add(Row{Part: part, Quantity: "in memory, of a dispatcher, 71,000 routes", Unit: bytes, Limit: controlMemoryLimit,
		Need: routes * c.slope("configuration.memory"), Mechanism: "`configuration/document.go`"})
	c.add(Row{Part: part, Quantity: "in force everywhere, slowest of the largest run", Unit: seconds, Limit: changeLimitSeconds,
		Need: c.slope("change.max") / millisecondsPerSecond, Mechanism: "`controlplane/sync.go`"})
	c.add(Row{Part: part, Quantity: "the same while a tenth restarts", Unit: seconds, Limit: changeLimitSeconds,
		Need: c.slope("storm.max") / millisecondsPerSecond, Mechanism: "`controlplane/sync.go`"})
	c.add(Row{Part: part, Quantity: "all control traffic at the daily rates, of a dispatcher, no workers", Unit: bytesPerSecond,
		Limit: controlBytesLimit, Need: c.slope("lease.bytes") + (c.slope("day.bytes")-c.slope("lease.bytes"))/timeCompression, Mechanism: "`controlplane/sync.go`"})
}

// timeCompression is the factor by which events are more frequent in a scale run than on a real day.
const timeCompression = 100.0

// controlState adds the memory that the whole control state takes on a dispatcher, and the largest number of
// dispatchers with which a control group has passed a scale run.
func (c *calculation) controlState() {
	const part = "Control group"
	c.add(Row{Part: part, Quantity: "list, configuration and table in memory, of a dispatcher", Unit: bytes, Limit: controlMemoryLimit,
		Need: destinations*c.slope("workers.memory") + destinations/workersPerService*c.slope("configuration.memory") +
			partitionsNeeded*c.slope("table.memory") + dispatchers*storeEntryBytes, Mechanism: "`cluster/agent.go`"})
	c.add(Row{Part: part, Quantity: "dispatchers; the limit is the largest number with which a day was played through", Unit: dimensionless,
		Limit: c.slope("scale.largest"), Need: dispatchers, Mechanism: "`controlplane/replication`, `controlplane/sync.go`"})
}

// placement adds the cost of the cluster table, which places the partitions.
func (c *calculation) placement() {
	const part = "Placement"
	c.add(Row{Part: part, Quantity: "dispatchers that can lead a partition", Unit: dimensionless, Limit: partitionsAtTarget,
		Need: dispatchers, Mechanism: "`controlplane/placement/placement.go`"})
	c.add(Row{Part: part, Quantity: "table of 32,500 partitions in memory", Unit: bytes, Limit: controlMemoryLimit,
		Need: partitionsNeeded*c.slope("table.memory") + dispatchers*storeEntryBytes, Mechanism: "`cluster/table.go`"})
	c.add(Row{Part: part, Quantity: "whole table, to those that start", Unit: bytesPerSecond, Limit: memberLink,
		Need:      (restartsPerDay + failuresPerDay) / secondsPerDay * (partitionsNeeded*c.slope("table.bytes") + dispatchers*storeEntryBytes),
		Mechanism: "`controlplane/sync.go`"})
	c.add(Row{Part: part, Quantity: "its changes, to every dispatcher", Unit: bytesPerSecond, Limit: controlBytesLimit,
		Need:      (restartsPerDay + failuresPerDay) * changesPerLoss / secondsPerDay * 2 * partitionsPerDispatcher * c.slope("table.bytes"),
		Mechanism: "`cluster/table_change.go`"})
}

// changesPerLoss is how often the view of a partition changes when a store fails: the store is removed, another is
// added, the replicas are in sync again, and the preferred store leads again.
const changesPerLoss = 4

// failures adds the cost of lost stores and of a lost zone until all messages have all their replicas again.
func (c *calculation) failures() {
	c.add(Row{Part: "Failures", Quantity: "copies to make again, of a dispatcher, mean of a day", Unit: bytesPerSecond, Limit: storeDiskRate,
		Need: failuresPerDay * storedPerDispatcher * c.slope("keep.disk") / secondsPerDay / dispatchers, Mechanism: "`messagestore/resync.go`"})
	c.add(Row{Part: "Failures", Quantity: "time until a loss is declared, slowest", Unit: seconds, Limit: changeLimitSeconds,
		Need: c.slope("declared.max") / millisecondsPerSecond, Mechanism: "`controlplane/lease/table.go`"})
	c.add(Row{Part: "A zone lost", Quantity: "one plan of the primary, 32,500 partitions", Unit: seconds, Limit: leaseSeconds,
		Need: c.slope("zone.plan") * nano, Mechanism: "`controlplane/placement/repair.go`"})
	c.add(Row{Part: "A zone lost", Quantity: "all plans until every partition has its copies in the table", Unit: seconds, Limit: changeLimitSeconds,
		Need: math.Ceil(partitionsNeeded*replicas/zones/repairsAtOnce) * c.slope("zone.plan") * nano, Mechanism: "`controlplane/placement/repair.go`"})
	c.add(Row{Part: "A zone lost", Quantity: "backlog copied again by the rest within a day", Unit: bytesPerSecond, Limit: storeDiskRate,
		Need: storedPerDispatcher * c.slope("keep.disk") / (zones - 1) / secondsPerDay, Mechanism: "`messagestore/resync.go`"})
}

// repairsAtOnce is the maximum number of views that one plan changes; see internal/controlplane/placement/repair.go.
const repairsAtOnce = 512

// leaseSeconds is the duration of a lease. A primary whose planning takes longer loses its own lease.
const leaseSeconds = 1.5

// recovery adds the time that a restart of the whole system takes.
func (c *calculation) recovery() {
	c.add(Row{Part: "Recovery of all", Quantity: "a store's reading of its log", Unit: seconds, Limit: recoverSeconds,
		Need: storedPerDispatcher * c.slope("recover.processor") * micro, Mechanism: "`messagestore/index_snapshot.go`, `wal/replay.go`"})
	c.add(Row{Part: "Recovery of all", Quantity: "a tenth comes back at once: time to the configuration", Unit: seconds,
		Limit: recoverSeconds, Need: c.slope("restarted.max") / millisecondsPerSecond, Mechanism: "`controlplane/sync.go`"})
}
