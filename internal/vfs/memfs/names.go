package memfs

// changeKind is the kind of a nameChange.
type changeKind int

const (
	nameCreated changeKind = iota
	nameRenamed
	nameRemoved
)

// nameChange is a creation, renaming or removal of a name that is not durable yet.
type nameChange struct {
	kind  changeKind
	inode *inode
	name  string // the name created or removed, or the new name
	from  string // the old name of a renamed file
}

// apply applies the change to a map of names.
func (c nameChange) apply(names map[string]*inode) {
	switch c.kind {
	case nameCreated:
		names[c.name] = c.inode
	case nameRenamed:
		if names[c.from] == c.inode {
			delete(names, c.from)
		}
		names[c.name] = c.inode
	case nameRemoved:
		if names[c.name] == c.inode {
			delete(names, c.name)
		}
	}
}

// persistCreation makes durable the name with which the synced file was created. The caller holds the mutex.
func (d *Disk) persistCreation(synced *inode) {
	remaining := d.pendingChanges[:0]
	for _, change := range d.pendingChanges {
		if change.kind == nameCreated && change.inode == synced {
			change.apply(d.durableNames)
			continue
		}
		remaining = append(remaining, change)
	}
	d.pendingChanges = remaining
}
