package cluster

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"gladepick/internal/vfs"
	"gladepick/internal/wal"
)

// ControlMember is a member of the control group, the processes that run the control plane.
type ControlMember struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	DiskID  string `json:"diskId"`
	Zone    string `json:"zone,omitempty"` // empty until the member's first renewal
}

// membersFile is the name of the file in which a process with a disk stores the members of the control group as JSON,
// so that it can find them after a restart without the seeds.
const membersFile = "core"

// loadMembers returns the stored members. It returns none if the file is missing or cannot be read.
func loadMembers(disk vfs.FS) []ControlMember {
	data, err := wal.LoadFile(disk, membersFile)
	if err != nil {
		return nil
	}
	var members []ControlMember
	if err := json.Unmarshal(data, &members); err != nil {
		return nil
	}
	return members
}

// saveMembers stores the members durably.
func saveMembers(disk vfs.FS, members []ControlMember) error {
	data, err := json.Marshal(members)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(wal.SaveFile(disk, membersFile, data))
}
