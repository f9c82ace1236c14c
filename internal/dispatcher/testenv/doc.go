// Package testenv provides test doubles of the systems around the dispatcher: workers and discovery over HTTP/1.1, and
// a broker and queue workers over AMQP 0-9-1. They are written from the public specifications and run on an in-memory
// network. Workers record the rule violations that they can observe. Only Fleet runs real dispatcher processes on
// loopback sockets, for long measurements.
package testenv
