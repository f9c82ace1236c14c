// Package configuration reads the operator's configuration: it decodes and checks documents, applies updates to them,
// compares them, and makes the table of routes and services by which a process works.
//
// A Document keeps the bytes that the operator sent, so that everything comes back as it was sent, also the fields that
// this version does not know. What is wrong in a text is reported all at once, as Findings, each with its path.
//
// The names of the fields, the findings and the defaults are a contract with operators, and documents are on the disks of
// the control group: the files under testdata hold configurations with what is read from them. Fields carry their unit
// ("-ms", "-s", "-bytes"); durations of this package are time.Duration, and sizes are in bytes.
//
// # Way of a document
//
// scan.go finds the members of a JSON text without decoding it; decode.go decodes a route, a service or the header into the
// generated types of configurationpb; route.go, service.go and limits.go check and convert these; check.go checks the
// items against each other. update.go makes a document of an earlier one and an update. equal.go and diff.go compare two
// documents. table.go matches requests to routes.
//
// # Concurrency
//
// The package starts no goroutine and has no lock but a sync.Once in each Document, for its Table. Documents and Tables are
// immutable, and may be shared.
//
// Start reading at Parse, then Document.Update and Table.Match.
package configuration
