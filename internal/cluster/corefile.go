package cluster

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"gladepick/internal/vfs"
	"gladepick/internal/wal"
)

// coreFile is the file in which a process with a disk remembers the members of the control group.
const coreFile = "core"

// loadCore returns the members remembered, or none.
func loadCore(disk vfs.FS) []CoreMember {
	data, err := wal.LoadFile(disk, coreFile)
	if err != nil {
		return nil
	}
	var core []CoreMember
	if err := json.Unmarshal(data, &core); err != nil {
		return nil
	}
	return core
}

func saveCore(disk vfs.FS, core []CoreMember) error {
	data, err := json.Marshal(core)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(wal.SaveFile(disk, coreFile, data))
}
