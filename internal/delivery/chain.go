package delivery

import (
	"cmp"
	"slices"
)

// chainKey names the messages that run one after the other.
type chainKey struct {
	partition int
	orderKey  string
}

// chain holds the entries with one order key by their sequence. Only the first may run.
type chain struct{ entries []*entry }

// insert takes an entry in by its sequence. One that is with a decider stays the first, whatever comes.
func (c *chain) insert(en *entry) {
	en.chain = c
	at, _ := slices.BinarySearchFunc(c.entries, en, func(a, b *entry) int {
		return cmp.Compare(a.message.Sequence, b.message.Sequence)
	})
	if at == 0 && len(c.entries) > 0 && c.entries[0].placement == withDecider && en.placement != withDecider {
		at = 1
	}
	c.entries = slices.Insert(c.entries, at, en)
}

// first tells whether an entry is the one that may run.
func (c *chain) first(en *entry) bool { return c.entries[0] == en }

// remove takes an entry out and returns the next that may run, if the entry was first.
func (c *chain) remove(en *entry) *entry {
	at := slices.Index(c.entries, en)
	if at < 0 {
		return nil
	}
	c.entries = slices.Delete(c.entries, at, at+1)
	if at > 0 || len(c.entries) == 0 {
		return nil
	}
	return c.entries[0]
}
