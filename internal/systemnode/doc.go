// Package systemnode assembles the two kinds of processes of the system, Front and Store, from the components of the
// control plane and the data plane, and manages their lifecycle. It makes no decisions about messages.
//
// RunFront and RunStore run a process on this machine according to its settings file. Tests and package demo use
// NewFront and NewStore with Options of their own.
//
// NewFront and NewStore open the files on disk and connect the components. They start no goroutine and open no port.
// Run starts the goroutines and serves until its context ends, which cmd/gladepick-system causes on SIGTERM or SIGINT.
// Then Run drains the process and returns when all goroutines have ended.
//
// # Start-up order
//
// A front starts its internal listener and its agent (package cluster) first, then the control plane and the watch on
// the settings file. Last, it opens the listeners for clients, health checks and operators, so that no request arrives
// before the front can serve it.
//
// A store starts the delivery engine and the message store first, because the agent's first snapshot is applied to
// both. Then it starts the internal listener and the agent, the reading of the worker list, and the watch on the
// settings file.
//
// # Shutdown order
//
// When the context of Run ends, the process announces that it is draining and continues to serve internal calls. A
// front answers the requests that it has received; a store hands over every partition that it leads to a backup. Both
// take at most the grace period of the settings less exitReserve, so that the process ends before it is killed.
//
// After the drain, Run cancels runCtx, the context of all goroutines. A store then closes its log. Finally, node.close
// closes the internal server and the connections and waits for the goroutines. Run defers these steps, so its code
// lists them in reverse order.
//
// # Goroutines
//
//   - node.running counts the internal server, the agent, the watch on the settings file, and the goroutines that
//     Front.Run and Store.Run start: for a front the control plane and the listeners, for a store the delivery engine
//     and the reading of the worker list. All of them end with runCtx or with node.close, which waits for them.
//   - The message store has goroutines of its own, which its Close ends.
//   - node.report starts one goroutine per report. It ends within reportTimeout, and node.close does not wait for it.
//   - The agent calls applySnapshots from one goroutine at a time.
//
// Only the keys that a settingsTarget applies take effect while the process runs. All other changes of the settings
// file take effect at the next start. SIGHUP makes the watch check the file at once. Metrics are collected on request,
// by package inspection.
//
// Start reading at Front.Run and Store.Run.
package systemnode
