package memfs

import (
	"math/rand/v2"
	"slices"
)

// inode holds the contents of a file on a simulated disk. The disk's mutex guards it.
type inode struct {
	current []byte       // contents that programs see
	durable []byte       // contents as of the last sync
	pending []dataChange // changes that turn durable into current, in order
	synced  int          // number of changes already made durable or discarded
}

// dataChange is a write, or a truncation if data is nil.
type dataChange struct {
	offset int64 // of the write in bytes, or the size after the truncation
	data   []byte
}

// apply applies the change to a file's contents and returns the result. It may modify contents in place.
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

// resize truncates contents or extends them with zeros.
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

// change applies a change, which is not durable until sync.
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

// truncate sets the size in bytes.
func (i *inode) truncate(size int64) {
	i.change(dataChange{offset: size})
}

// changeCount returns the number of changes since the file's creation, durable or not.
func (i *inode) changeCount() int { return i.synced + len(i.pending) }

// sync makes the first upTo changes since the file's creation durable.
func (i *inode) sync(upTo int) {
	count := max(upTo-i.synced, 0)
	for _, change := range i.pending[:count] {
		i.durable = change.apply(i.durable)
	}
	i.pending = append([]dataChange(nil), i.pending[count:]...)
	i.synced += count
}

// losePower applies each change that is not durable fully, partly or not at all to the durable contents. The result
// becomes the current contents.
func (i *inode) losePower(random *rand.Rand) {
	for _, change := range i.pending {
		if damaged, survives := change.damage(random); survives {
			i.durable = damaged.apply(i.durable)
		}
	}
	i.synced = i.changeCount()
	i.pending = nil
	i.current = slices.Clone(i.durable)
}

// damageKind is the effect of a power loss on a change that is not durable.
type damageKind int

const (
	damageNone damageKind = iota
	damageLost
	damageTorn       // only the beginning of the write survives
	damageZeroed     // a part of the write is replaced by zeros
	damageKinds  int = iota
)

// damage returns the part of the change that survives a power loss, and false if nothing does. The effect is drawn at
// random.
func (c dataChange) damage(random *rand.Rand) (dataChange, bool) {
	drawn := damageKind(random.IntN(damageKinds))
	if drawn == damageLost {
		return dataChange{}, false
	}
	if drawn == damageNone || len(c.data) == 0 {
		return c, true
	}
	cut := random.IntN(len(c.data))
	if drawn == damageTorn {
		return dataChange{offset: c.offset, data: c.data[:cut]}, true
	}
	zeroed := slices.Clone(c.data)
	clear(zeroed[cut : cut+1+random.IntN(len(zeroed)-cut)])
	return dataChange{offset: c.offset, data: zeroed}, true
}
