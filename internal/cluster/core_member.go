package cluster

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"gladepick/internal/vfs"
	"gladepick/internal/wal"
)

// CoreMember is a member of the control group (the core).
type CoreMember struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	DiskID  string `json:"diskId"`
	Zone    string `json:"zone,omitempty"` // empty until the member's first renewal
}

// coreFile is the name of the file in which a process with a disk stores the members of the control group as JSON, so
// that it can find them after a restart without the seeds.
const coreFile = "core"

// loadCore returns the stored members. It returns none if the file is missing or cannot be read.
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

// saveCore stores the members durably.
func saveCore(disk vfs.FS, core []CoreMember) error {
	data, err := json.Marshal(core)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(wal.SaveFile(disk, coreFile, data))
}
