// Package testenv has the systems around the dispatcher, for tests: workers and discovery over HTTP/1.1, a broker and queue
// workers over AMQP 0-9-1, all written from their public specifications, on a network in memory. fleet.go alone has a whole fleet
// of processes on loopback sockets, for long measurements. Workers report the violations of rules that they can see for
// themselves.
package testenv
