// Package modelcheck searches the states of protocol models for violations of their invariants: exhaustively up to a
// bound (Explore), by random walks (RandomWalk), or along a given list of steps (Replay).
//
// A model is a value without goroutines, time or I/O, and searches are deterministic: the same model gives the same
// number of states and the same depth in every run. Searches share no state, so they may run concurrently.
//
// Start reading at Model.
package modelcheck
