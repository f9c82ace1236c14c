//go:build !race

package messagestore

import "math/bits"

// storeSet is a set of store numbers.
type storeSet uint8

func (s storeSet) has(store int) bool { return s&(1<<store) != 0 }

func (s storeSet) with(store int) storeSet { return s | 1<<store }

func (s storeSet) without(store int) storeSet { return s &^ (1 << store) }

func (s storeSet) contains(other storeSet) bool { return other&^s == 0 }

func (s storeSet) count() int { return bits.OnesCount8(uint8(s)) }

// storeName returns the name of a store that names of steps use: a, b and so on.
func storeName(store int) string { return string(rune('a' + store)) }

// messageSet is a set of message numbers.
type messageSet uint8

func (s messageSet) has(number int) bool { return s&(1<<number) != 0 }

func (s messageSet) with(number int) messageSet { return s | 1<<number }

func (s messageSet) contains(other messageSet) bool { return other&^s == 0 }
