// Package settings reads the settings file of a process.
//
// The file is TOML. Keys that this version does not know are ignored. A key that is absent or empty takes its default;
// the only required keys are those without which no process can run. Load and Parse report everything that is wrong in
// a file at once, as Findings.
//
// The names of the keys and the defaults are a contract with operators. The files under testdata therefore hold each
// key together with the value read from it. Names of keys carry their unit ("-ms", "-s", "-mb"). In this package a
// value is a time.Duration or carries the unit in its name.
//
// The package starts no goroutine and has no state. Settings do not change after they are read, so goroutines may share
// them. Start reading at Load; decode.go names each key, and section.go reads values by type.
package settings
