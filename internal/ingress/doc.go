// Package ingress is the HTTP server of a front. It accepts messages from clients, answers queries about them, forwards
// operator calls to the control plane, and reports whether the process is ready for new connections. It owns the
// client connections and the memory of the request bodies, and keeps no state beyond a request.
//
// # Request flow
//
// Front.Serve accepts connections and passes them to an http.Server, which reads the header of each request within the
// limits of the configuration. The router sends queries about a message to query.go and all other requests to
// submission.go:
//
//  1. acceptMessage checks the header against the configuration: size, route, request ID, delay, deadline.
//  2. store reserves memory for the body, reads it, and passes the message to the MessageStore.
//  3. serveMessage responds with 202 and the message's ID once the message is stored, with 503 if the message is
//     definitely not stored, with 502 if the outcome is unknown, and with a 4xx status if the request is invalid.
//
// Operator calls and readiness checks have separate listeners, with the handlers of NewOperatorHandler and
// NewReadyHandler. All paths, statuses, headers and texts are a contract with clients; the files under testdata contain
// each response.
//
// # Limits
//
//   - Time: the configuration's header and idle time-outs, 10 s to read a body, at most 4 s to store a message (2 s if
//     the client sends no deadline), 1.8 s for a query, 8 s for an operator call, and 20 s from a request's header to
//     the last byte of its response.
//   - Size: the configuration's limits of header and body in bytes, 32 MiB for the body of an operator call, and
//     Options.MaxBufferedBytes for the message bodies that are in memory at the same time.
//
// # Goroutines and locks
//
// net/http runs the goroutines of each connection. The package itself starts only the context.AfterFunc of Front.Serve,
// which ends with Serve. Handlers run concurrently and share only atomic counters. The mutexes of Front and of
// connectionTracker guard the fields below them; handlers never lock them, and no goroutine holds both.
//
// Start reading at Front.Serve and Front.serveMessage.
package ingress
