// Package capacity computes from measured slopes what each role of the system needs at the size that the operators have
// specified, and whether that fits the limits of the machines.
//
// A slope is a measured cost per unit, such as bytes of memory per message. slopes.json holds the slopes and the runs
// that measured them; Load reads it. Each formula in formulas.go multiplies slopes by the figures of the target
// (target.go) and adds a Row. Tables formats rows and slopes as Markdown. TestPage checks that docs/CAPACITY.md has
// that text, and `make capacity` regenerates it. The benchmarks of this package measure some of the slopes. No program
// imports this package.
//
// Start reading at Rows in row.go.
package capacity

// Figures that the operators have specified.
const (
	dispatchers           = 6500.0
	eventsPerSecond       = 1.7e6
	destinations          = 710_000.0
	downShare             = 0.013
	backlog               = 66e9
	changesPerDay         = 8200.0
	changeLimitSeconds    = 14.0
	controlMachines       = 9.0
	controlCoreLimit      = 3.4    // percent of a core, per dispatcher
	controlMemoryLimit    = 128e6  // bytes, per dispatcher
	controlBytesLimit     = 3000.0 // bytes per second, per dispatcher
	failuresPerDay        = 37.0
	restartsPerDay        = 420.0
	zones                 = 7.0
	secondsPerDay         = 86_400.0
	millisecondsPerSecond = 1000.0
)

// Figures that the operators have not specified. They are those of the present deployments.
const (
	replicas                = 2.0              // disks that store a message: one more than the tolerated losses
	memberCore              = 72.0             // percent of a core, per control member
	memberMemory            = 284e6            // bytes
	memberLink              = 125e6            // bytes per second
	storeCore               = 80.0             // percent of a core
	storeMemory             = 294e6            // bytes
	storeDisk               = 360e6            // bytes
	storeDiskRate           = 120e6            // bytes per second
	storeSyncsPerSecond     = 2000.0           // a sync takes half a millisecond
	recoverSeconds          = 12.0             // from a start until the system works fully again
	workersPerService       = 10.0             // as in the bench's sweep
	partitionsPerDispatcher = 5.0              // partitions that each dispatcher leads
	listPageEntries         = 50.0             // entries on a page of the platform's list
	listPagesPerSecond      = 47.0             // allowed by the platform
	listPageLimit           = 1000.0           // internal/controlplane/workerlist/read.go
	listFreshnessSeconds    = 3.0              // time within which a change of the list must be known
	workerChangesPerDay     = 2 * destinations // every worker is replaced once a day: one entry added, one removed
	storeEntryBytes         = 200.0            // size of a store's entry in the cluster table
	managerStepsPerSecond   = 10.0             // internal/controlplane/tablemanager/manager.go
	inventorySeconds        = 1.0              // internal/messagestore/limits.go
	partitionsAtTarget      = 32_768.0         // of a system bootstrapped with 6,500 stores; internal/controlplane/placement/placement.go
)
