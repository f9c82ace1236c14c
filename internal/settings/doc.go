// Package settings reads the settings file of a process.
//
// The file is TOML. Fields that this version does not know are ignored. A field that is absent or empty takes its
// default; only what no process can do without is required. Everything that is wrong in a file is reported at once, as
// Findings.
//
// The names of the keys and the defaults are a contract with operators: the files under testdata hold each key with the
// value that is read from it. Keys carry their unit ("-ms", "-s", "-mb"); values of this package are time.Duration, or
// carry the unit in their name.
//
// The package starts no goroutine, and has no state: Settings are not changed after they were read, so they may be shared.
// Start reading at Load; decode.go names each key, and section.go says how a value of a type is read.
package settings
