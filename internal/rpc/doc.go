// Package rpc is the internal protocol between the system's processes: requests and responses over one connection a pair
// of processes, many at a time.
//
// # Frames
//
// A frame is a line of JSON, ended by a line feed, and the body that the line may announce: its bytes follow the line
// unencoded. A line has 16 MiB at most, its end included, and a body 64 MiB. Requests carry a number, which their
// response repeats; responses come in any order. docs/format/rpc.md is the whole format, and the files under testdata are
// its compatibility tests.
//
// # Delivery
//
// A call is made at most once: this package never sends a request again. A caller learns from ErrNotSent that its request
// surely did not reach the server, and from ErrResponseLost that it may have been carried out. What repeats calls takes
// methods of the type Idempotent.
//
// A server that works on a call sends heartbeats, so that a client can tell a slow call from a server that has gone: a
// client closes its connection when a response is due and no byte has come for 2 s.
//
// # Goroutines and locks
//
// A Client has one goroutine while it dials, and one or more for the attempts of that dial; all end with the dial. Each
// connection, at either end, has one goroutine that reads frames until the connection ends, and one that writes while
// frames are queued. A server carries out each call in a goroutine of its own, of which it retains a few for the next
// calls; a handler may run on after Close, with a context that has ended. Heartbeats and the watchdog of a client are
// timers, which are stopped when their connection ends.
//
// Each type has one mutex, which guards the fields below it. No mutex is held while a frame is read or written, or while
// a handler runs. Mutexes are locked in the order Pool, Client, clientConnection; a Server's, a serverConnection's and a
// frameWriter's are never locked together with another one.
//
// Start reading at Client.Call and at Server.Serve; frame.go has the format and writer.go the queue of each connection.
package rpc
