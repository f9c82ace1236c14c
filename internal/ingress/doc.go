// Package ingress is the HTTP side of a front: it accepts clients' messages, answers queries about them, forwards the
// operator's calls to the control plane, and reports whether the process is ready for new connections. It owns the
// connections of clients and the memory of the bodies being read, and nothing that outlives a request.
//
// # Way of a request
//
// Front.Serve accepts connections and gives them to an http.Server, which reads the header of each request within the
// configuration's limits. The router sends a query about a message to query.go and everything else to submission.go:
//
//  1. acceptMessage checks the header against the configuration: size, route, request id, delay, deadline.
//  2. store reserves memory for the body, reads it, and hands the message to the MessageStore.
//  3. serveMessage answers 202 with the message's id once the message is stored; 503 if it surely is not; 502 if that is
//     unknown; another status if the request is at fault.
//
// Operator's calls and readiness have listeners of their own, with NewControlHandler and NewReadyHandler. All paths,
// statuses, headers and texts are a contract with clients; the files under testdata hold each answer.
//
// # Limits
//
//   - Time: the configuration's header and idle time-outs, 10 s for a body, 4 s at most to store a message (2 s where the
//     client names no deadline), 1.8 s for a query, 8 s for an operator's call, 20 s for a request from its header to the
//     last byte of its answer.
//   - Size: the configuration's limits of header and body in bytes, 32 MiB for an operator's body, and
//     Options.MaxBufferedBytes for all bodies of messages that are in memory at a time.
//
// # Goroutines and locks
//
// Each connection has the goroutines of net/http. The package starts none but the context's watch in Front.Serve, which
// ends with it. Handlers run concurrently and share atomic counters only. The mutexes of Front and of connectionTracker
// guard what is below them; they are never locked while a request is being served, and never together.
//
// Start reading at Front.Serve and Front.serveMessage.
package ingress
