// Package capacity works out what each role of the system needs at the size that the operators have named, from slopes
// that were measured, and whether that fits the limits of its machines.
//
// A slope is a measured cost for each unit of something, such as bytes of memory a message. slopes.json holds the slopes
// with the runs that gave them; Load reads it. The formulas multiply them up to the target's figures (target.go), and each
// gives a Row. Tables writes rows and slopes as Markdown, and TestPage holds docs/CAPACITY.md to that text: `make capacity`
// writes the page anew. The benchmarks beside it measure slopes. Nothing here is part of a program.
//
// Start reading at Rows in row.go.
package capacity

// Figures that the operators have named.
const (
	dispatchers           = 6500.0
	eventsPerSecond       = 1.7e6
	destinations          = 710_000.0
	downPart              = 0.013
	backlog               = 66e9
	changesPerDay         = 8200.0
	changeLimitSeconds    = 14.0
	controlMachines       = 9.0
	controlCoreLimit      = 3.4    // percent of a core, of a dispatcher
	controlMemoryLimit    = 128e6  // bytes, of a dispatcher
	controlBytesLimit     = 3000.0 // a second, of a dispatcher
	failuresPerDay        = 37.0
	restartsPerDay        = 420.0
	zones                 = 7.0
	secondsPerDay         = 86_400.0
	millisecondsPerSecond = 1000.0
)

// Figures that the operators have not named: they are taken from the deployments of today.
const (
	replicas            = 2.0              // disks that store a message: one loss more than is tolerated
	memberCore          = 72.0             // percent of a core, of a control member
	memberMemory        = 284e6            // bytes
	memberLink          = 125e6            // bytes a second
	storeCore           = 80.0             // percent of a core
	storeMemory         = 294e6            // bytes
	storeDisk           = 360e6            // bytes
	storeDiskRate       = 120e6            // bytes a second
	storeSyncsPerSecond = 2000.0           // at half a millisecond each
	recoverSeconds      = 12.0             // from a start until everything works again
	workersPerService   = 10.0             // as the sweep has them
	partitionsEach      = 5.0              // partitions that a dispatcher would lead
	listPageEntries     = 50.0             // of the platform's list
	listPagesPerSecond  = 47.0             // that the platform allows
	listPageLimit       = 1000.0           // internal/controlplane/workerlist/read.go
	listFreshSeconds    = 3.0              // within which a change of the list has to be known
	workerChangesPerDay = 2 * destinations // every worker is replaced once a day: one entry comes, one goes
	storeEntryBytes     = 200.0            // of a store in the cluster table
	managerStepsPerSec  = 10.0             // internal/controlplane/tablemanager/manager.go
	inventorySeconds    = 1.0              // internal/messagestore/limits.go
	partitionsAtTarget  = 32_768.0         // of a system founded with 6,500 stores; internal/controlplane/placement/placement.go
)
