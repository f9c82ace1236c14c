package capture

import (
	"errors"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// removeOrphans logs and removes the files that earlier processes of this dispatcher did not close. Such files cannot
// be read, as a Parquet file needs its footer.
func (r *Recorder) removeOrphans() {
	orphans, _ := filepath.Glob(filepath.Join(r.settings.Dir, fileNamePrefix(r.node.Name)+"-*"+partialSuffix))
	for _, name := range orphans {
		log.Printf("capture: %s", describeOrphan(name))
		if err := os.Remove(name); err != nil {
			log.Printf("capture: %v", err)
		}
	}
}

// describeOrphan returns a message that says which rows are lost with a file that was never closed.
func describeOrphan(name string) string {
	info, err := os.Stat(name)
	if err != nil {
		return err.Error()
	}
	from := "its beginning"
	if parts := strings.Split(filepath.Base(name), "-"); len(parts) >= 3 {
		from = parts[len(parts)-2]
	}
	return fmt.Sprintf("%s was never closed: the rows from %s to %s are lost, %d bytes were written", name, from,
		info.ModTime().UTC().Format("20060102T150405"), info.Size())
}

// removeOldest removes the oldest captures until the rest has at most KeepMB. It removes each manifest before the files
// that the manifest lists, so that a crash in between leaves no manifest without its files.
func (r *Recorder) removeOldest() {
	if r.settings.KeepMB <= 0 {
		return
	}
	names, _ := filepath.Glob(filepath.Join(r.settings.Dir, fileNamePrefix(r.node.Name)+"-*"+manifestSuffix))
	slices.Sort(names) // by time, which is part of the name
	manifests, sizes, total := measureCaptures(names)
	for i := 0; i < len(names) && total > int64(r.settings.KeepMB*(1<<20)); i++ {
		if manifests[i] == nil {
			continue
		}
		if err := r.removeCapture(names[i], manifests[i]); err != nil {
			log.Printf("capture: %v", err)
		}
		total -= sizes[i]
	}
}

// measureCaptures reads manifests and returns the bytes of the files that each lists, and the total. The entry of a
// manifest that cannot be read is nil.
func measureCaptures(names []string) (manifests []*Manifest, sizes []int64, total int64) {
	manifests, sizes = make([]*Manifest, len(names)), make([]int64, len(names))
	for i, name := range names {
		m, err := readManifest(name)
		if err != nil {
			log.Printf("capture: %v", err)
			continue
		}
		manifests[i] = m
		for _, file := range m.Files {
			sizes[i] += file.Bytes
		}
		total += sizes[i]
	}
	return manifests, sizes, total
}

// removeCapture removes a manifest and then the files that it lists.
func (r *Recorder) removeCapture(name string, m *Manifest) error {
	err := os.Remove(name)
	for _, file := range m.Files {
		err = errors.Join(err, os.Remove(filepath.Join(r.settings.Dir, file.Name)))
	}
	return err
}
