// Package rpc is the internal protocol between the system's processes. A client multiplexes concurrent calls to a
// process over one connection.
//
// # Frames
//
// A frame is a line of JSON, terminated by a line feed, and an optional body. The line announces the body's length, and
// the body's bytes follow it unencoded. A line has at most 16 MiB with its line feed, and a body at most 64 MiB. Each
// request has an ID, which its response repeats; responses may arrive in any order. docs/format/rpc.md specifies the
// format, and the files under testdata are its compatibility tests.
//
// # Delivery
//
// A call is executed at most once: this package never resends a request. ErrNotSent tells the caller that the request
// definitely did not reach the server, and ErrResponseLost that it may have been executed. Functions that retry calls
// take methods of the type Idempotent.
//
// While a server executes a call, it sends heartbeats, so that the client can distinguish a slow call from an
// unresponsive server. A client closes its connection if a call is outstanding and no byte has arrived for 2 s.
//
// # Goroutines and locks
//
// While a Client dials, it has one goroutine for the dial and one for each of its parallel attempts; all end with the
// dial. Each connection, at either end, has one goroutine that reads frames until the connection ends, and one that
// writes while frames are queued. A server executes each call in its own goroutine, and retains a few idle goroutines
// for the next calls. A handler may still run after Close; its context has then ended. Heartbeats and the client's
// watchdog are timers, which are stopped when their connection ends.
//
// Each type has one mutex, which guards the fields below it. No mutex is held while a frame is read or written, or
// while a handler runs. Mutexes are locked in the order Pool, Client, clientConnection. A Server's, a
// serverConnection's and a frameWriter's mutex are never locked together with another one.
//
// Start reading at Client.Call and Server.Serve. frame.go defines the format, and writer.go the send queue of a
// connection.
package rpc
