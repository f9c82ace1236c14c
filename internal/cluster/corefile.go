package cluster

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"gladepick/internal/journal"
)

// coreFile is the file in which a process with a disk remembers the members of the control group.
const coreFile = "core"

// loadCore returns the members remembered, or none.
func loadCore(disk journal.FS) []CoreEntry {
	data, err := journal.LoadFile(disk, coreFile)
	if err != nil {
		return nil
	}
	var core []CoreEntry
	if err := json.Unmarshal(data, &core); err != nil {
		return nil
	}
	return core
}

func saveCore(disk journal.FS, core []CoreEntry) error {
	data, err := json.Marshal(core)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(journal.SaveFile(disk, coreFile, data))
}
