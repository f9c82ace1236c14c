package architecture_test

import "slices"

// plane is a part of the system with one responsibility. docs/architecture.md describes each plane.
type plane string

const (
	planeDecision plane = "decision module"
	planePlumbing plane = "shared plumbing"
	planeControl  plane = "control plane"
	planeStorage  plane = "storage and replication"
	planeDelivery plane = "delivery"
	planeIngress  plane = "ingress"
	planeAssembly plane = "assembly"
	planeTools    plane = "tools"
	// planeCommon has the packages that the dispatcher and the tools share.
	planeCommon plane = "common"
	// planeDispatcher is the dispatcher without stores (bin/gladepick), with its planner and its simulator.
	planeDispatcher plane = "dispatcher"
)

// planeOf maps the folder of every package of the module to its plane.
var planeOf = map[string]plane{
	"internal/decision": planeDecision,

	"internal/cluster":                       planePlumbing,
	"internal/configuration":                 planePlumbing,
	"internal/configuration/configurationpb": planePlumbing,
	"internal/ctxtime":                       planePlumbing,
	"internal/vfs":                           planePlumbing,
	"internal/vfs/memfs":                     planePlumbing,
	"internal/wal":                           planePlumbing,
	"internal/message":                       planePlumbing,
	"internal/modelcheck":                    planePlumbing,
	"internal/network":                       planePlumbing,
	"internal/network/simulated":             planePlumbing,
	"internal/rpc":                           planePlumbing,
	"internal/settings":                      planePlumbing,
	"internal/systemnode/inspection":         planePlumbing,

	"internal/controlplane":              planeControl,
	"internal/controlplane/membership":   planeControl,
	"internal/controlplane/operatorapi":  planeControl,
	"internal/controlplane/placement":    planeControl,
	"internal/controlplane/replication":  planeControl,
	"internal/controlplane/bootstrap":    planeControl,
	"internal/controlplane/controlstate": planeControl,
	"internal/controlplane/lease":        planeControl,
	"internal/controlplane/syncutil":     planeControl,
	"internal/controlplane/tablemanager": planeControl,
	"internal/controlplane/updates":      planeControl,
	"internal/controlplane/workerlist":   planeControl,
	"internal/messagestore":              planeStorage,
	"internal/messagestore/client":       planeStorage,
	"internal/messagestore/protocol":     planeStorage,
	"internal/messagestore/record":       planeStorage,
	"internal/delivery":                  planeDelivery,
	"internal/ingress":                   planeIngress,
	"internal/systemnode":                planeAssembly,
	"internal/priorityqueue":             planeCommon,
	"internal/programname":               planeCommon,

	"cmd/gladepick-benchreport": planeTools,
	"cmd/gladepick-system":      planeTools,
	"internal/architecture":     planeTools,
	"internal/capacity":         planeTools,
	"internal/benchreport":      planeTools,
	"internal/operatorcli":      planeTools,
	"internal/simcluster":       planeTools,
	"internal/soak":             planeTools,
	"internal/standin":          planeTools,
	"cmd/gladepick-soak":        planeTools,
	"internal/systemnode/demo":  planeTools,

	"cmd/gladepick":                             planeDispatcher,
	"cmd/gladepick-full":                        planeDispatcher,
	"cmd/gladepick-sim":                         planeDispatcher,
	"internal/dispatcher/agent":                 planeDispatcher,
	"internal/dispatcher/amqp":                  planeDispatcher,
	"internal/dispatcher/capture":               planeDispatcher,
	"internal/dispatcher/cli":                   planeDispatcher,
	"internal/dispatcher/config":                planeDispatcher,
	"internal/dispatcher/config/document":       planeDispatcher,
	"internal/dispatcher/dispatch":              planeDispatcher,
	"internal/dispatcher/faultinjection":        planeDispatcher,
	"internal/dispatcher/workerhttp":            planeDispatcher,
	"internal/dispatcher/durablejobs":           planeDispatcher,
	"internal/dispatcher/lease":                 planeDispatcher,
	"internal/dispatcher/membership":            planeDispatcher,
	"internal/dispatcher/membership/simulation": planeDispatcher,
	"internal/dispatcher/fleetsim":              planeDispatcher,
	"internal/dispatcher/instance":              planeDispatcher,
	"internal/dispatcher/membership/transport":  planeDispatcher,
	"internal/dispatcher/planner":               planeDispatcher,
	"internal/dispatcher/clienthttp":            planeDispatcher,
	"internal/dispatcher/raftgroup":             planeDispatcher,
	"internal/dispatcher/planner/report":        planeDispatcher,
	"internal/dispatcher/discovery":             planeDispatcher,
	"internal/dispatcher/snmp":                  planeDispatcher,
	"internal/dispatcher/testenv":               planeDispatcher,
	"internal/dispatcher/simadapter":            planeDispatcher,
}

// planeMayImport lists the other planes that a plane may import. Packages of the same plane may always import each
// other.
var planeMayImport = map[plane][]plane{
	planeDecision:   {},
	planePlumbing:   {},
	planeCommon:     {},
	planeControl:    {planePlumbing},
	planeStorage:    {planePlumbing},
	planeDelivery:   {planePlumbing, planeDecision},
	planeIngress:    {planePlumbing},
	planeAssembly:   {planePlumbing, planeControl, planeStorage, planeDelivery, planeIngress},
	planeTools:      {planePlumbing, planeControl, planeStorage, planeDelivery, planeIngress, planeAssembly, planeCommon},
	planeDispatcher: {planeDecision, planeCommon},
}

// packageMayImport further restricts some low-level packages: their non-test files may import only the listed packages
// of the module.
var packageMayImport = map[string][]string{
	"internal/configuration":                 {"internal/configuration/configurationpb"},
	"internal/configuration/configurationpb": {},
	"internal/ctxtime":                       {},
	"internal/vfs":                           {},
	"internal/vfs/memfs":                     {"internal/vfs"},
	"internal/wal":                           {"internal/vfs"},
	"internal/message":                       {},
	"internal/modelcheck":                    {},
	"internal/network":                       {},
	"internal/network/simulated":             {"internal/network"},
	"internal/rpc":                           {"internal/network"},
	"internal/settings":                      {},
	"internal/controlplane/lease":            {"internal/cluster"},
	"internal/controlplane/placement":        {"internal/cluster", "internal/controlplane/controlstate", "internal/controlplane/lease"},
	"internal/controlplane/controlstate":     {"internal/cluster", "internal/configuration", "internal/controlplane/syncutil"},
	"internal/controlplane/syncutil":         {},
	"internal/controlplane/replication":      {"internal/ctxtime", "internal/modelcheck", "internal/rpc", "internal/vfs", "internal/wal"},
}

// raftLibrary is the prefix of the import paths of the Raft library. Only internal/dispatcher/raftgroup may use it: the
// control state is not replicated by majority, but by primary-backup with witnesses.
const raftLibrary = "go.etcd.io/raft"

// planeAllows reports whether planeMayImport lets one package import another.
func planeAllows(from, to string) bool {
	source, target := planeOf[from], planeOf[to]
	return source == target || slices.Contains(planeMayImport[source], target)
}

// packageAllows reports whether packageMayImport lets one package import another.
func packageAllows(from, to string) bool {
	allowed, restricted := packageMayImport[from]
	return !restricted || slices.Contains(allowed, to)
}
