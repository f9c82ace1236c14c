// Package systemnode assembles the two kinds of processes of the system, a Front and a Store, from the packages of each
// plane, and owns their lifecycle. It makes no decision about messages itself.
//
// RunFront and RunStore run a process on this machine by its settings file; tests use the parts that follow directly.
//
// NewFront and NewStore open what is on disk and connect the parts; nothing runs and no port is open yet. Run starts the
// goroutines, serves until its context ends (SIGTERM or SIGINT, which cmd/gladepick-system turns into the end of a
// context), drains, and returns when all goroutines have ended.
//
// # Order of the start
//
// A front starts its internal listener and its agent (package cluster), then the control plane, the watch on the settings
// file, and at last the listeners for clients, health checks and operators, so that nothing arrives before it can be
// served. A store starts the delivery engine and the message store first, since the agent's first snapshot is applied to
// both; then the internal listener and the agent, the reading of the list of workers, and the watch on the settings file.
//
// # Order of the end
//
// When the context of Run ends, the process announces itself as draining and keeps serving internal calls meanwhile. A
// front answers the requests that it has read; a store hands every partition that it leads to a backup. Both take at most
// the settings' grace less exitReserve, so that they end before they are killed. Then the second context, alive, ends,
// which ends the goroutines; a store closes its log; at last node.close closes the internal server and the connections,
// and waits. Run defers these steps, so they stand in it in reverse order.
//
// # Goroutines
//
//   - node.running counts the internal server, the agent, the watch on the settings file, and what Front.Run and
//     Store.Run start beside them: the control plane and the listeners of a front, the delivery engine and the reading of
//     the list of workers of a store. All end with alive or with node.close, which waits for them.
//   - The message store has goroutines of its own, which end with its Close.
//   - node.report starts one short goroutine for each report; nobody waits for it, and it ends within reportTimeout.
//   - The agent calls applySnapshots from one goroutine at a time.
//
// A change of the settings file takes effect while the process runs for the keys of settingsTarget alone; SIGHUP only makes
// the watch look at once. Metrics are collected when they are asked for, by package inspection.
//
// Start reading at Front.Run and Store.Run.
package systemnode
