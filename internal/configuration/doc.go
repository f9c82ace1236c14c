// Package configuration reads the operator's configuration. It decodes and checks documents, applies updates to them,
// compares them, and builds the table of routes and services that a process uses.
//
// A Document keeps the bytes that the operator sent, so a read returns exactly what was sent, including fields that
// this version does not know. Parse and Update report all errors of a text at once, as Findings, each with its path.
//
// The names of the fields, the findings and the defaults are a contract with operators, and the control group stores
// documents on its disks. The files under testdata therefore hold configurations together with the values read from
// them. Names of fields carry their unit ("-ms", "-s", "-bytes"). In this package durations are time.Duration, and
// sizes are in bytes.
//
// # How a document is read
//
// scan.go finds the members of a JSON text without decoding it. decode.go decodes a route, a service or the header into
// the generated types of configurationpb. route.go, service.go and limits.go check and convert these. check.go checks
// the items against each other. update.go applies an update to a document. equal.go and diff.go compare two documents.
// table.go matches requests to routes.
//
// # Concurrency
//
// The package starts no goroutine. Its only lock is a sync.Once in each Document, which guards the building of the
// Table. Documents and Tables are immutable and may be shared between goroutines.
//
// Start reading at Parse, then Document.Update and Table.Match.
package configuration
