package memfs

import (
	"math/rand/v2"
	"slices"
)

// inode is the contents of a file on a simulated disk. The disk's mutex guards it.
type inode struct {
	current []byte       // as the programs see it
	durable []byte       // as of the last sync
	pending []dataChange // what leads from durable to current, in order
	synced  int          // count of changes that were made durable
}

// dataChange is a write, or a truncation where data is nil.
type dataChange struct {
	offset int64 // of the write, or the size after the truncation
	data   []byte
}

// apply carries the change out on a file's contents.
func (c dataChange) apply(contents []byte) []byte {
	if c.data == nil {
		return resize(contents, c.offset)
	}
	end := c.offset + int64(len(c.data))
	if end > int64(len(contents)) {
		contents = resize(contents, end)
	}
	copy(contents[c.offset:], c.data)
	return contents
}

// resize cuts contents or extends them by zeros.
func resize(contents []byte, size int64) []byte {
	if size <= int64(len(contents)) {
		return contents[:size]
	}
	grown := slices.Grow(contents, int(size)-len(contents))
	old := len(contents)
	grown = grown[:size]
	clear(grown[old:])
	return grown
}

// change carries a change out, which is not durable yet.
func (i *inode) change(change dataChange) {
	i.current = change.apply(i.current)
	i.pending = append(i.pending, change)
}

// write writes a copy of data at an offset.
func (i *inode) write(offset int64, data []byte) {
	if len(data) == 0 {
		return
	}
	copied := append(make([]byte, 0, len(data)), data...)
	i.change(dataChange{offset: offset, data: copied})
}

// truncate sets the size.
func (i *inode) truncate(size int64) {
	i.change(dataChange{offset: size})
}

// changeCount returns how many changes the contents have seen, durable or not.
func (i *inode) changeCount() int { return i.synced + len(i.pending) }

// sync makes all changes up to a count durable.
func (i *inode) sync(upTo int) {
	count := max(upTo-i.synced, 0)
	for _, change := range i.pending[:count] {
		i.durable = change.apply(i.durable)
	}
	i.pending = append([]dataChange(nil), i.pending[count:]...)
	i.synced += count
}

// losePower keeps all, a part or nothing of each change that is not durable.
func (i *inode) losePower(random *rand.Rand) {
	for _, change := range i.pending {
		if damaged, kept := change.damage(random); kept {
			i.durable = damaged.apply(i.durable)
		}
	}
	i.synced = i.changeCount()
	i.pending = nil
	i.current = slices.Clone(i.durable)
}

// fate is what a loss of power does to a change that is not durable.
type fate int

const (
	fateKept fate = iota
	fateLost
	fateTorn       // the write's beginning is kept
	fateHoled      // a part of the write is zeros
	countFates int = iota
)

// damage returns what a loss of power leaves of the change, and false where it leaves nothing.
func (c dataChange) damage(random *rand.Rand) (dataChange, bool) {
	drawn := fate(random.IntN(countFates))
	if drawn == fateLost {
		return dataChange{}, false
	}
	if drawn == fateKept || len(c.data) == 0 {
		return c, true
	}
	cut := random.IntN(len(c.data))
	if drawn == fateTorn {
		return dataChange{offset: c.offset, data: c.data[:cut]}, true
	}
	holed := slices.Clone(c.data)
	clear(holed[cut : cut+1+random.IntN(len(holed)-cut)])
	return dataChange{offset: c.offset, data: holed}, true
}
