// Package modelcheck searches the states of models of the project's protocols for violations of their invariants:
// exhaustively up to a bound (Explore), by random walks (RandomWalk), or along a given list of steps (Replay).
//
// A model is a value without goroutines, time or I/O, and searches are deterministic: the same model gives the same
// numbers of states and depths in every run. Searches share nothing, so they may run concurrently.
//
// Start reading at Model.
package modelcheck
