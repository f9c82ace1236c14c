// Removing old files, and those that were never closed.

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

// orphans tells what earlier processes of this name left open, and removes it: a file without its end cannot be read.
func (r *Recorder) orphans() {
	left, _ := filepath.Glob(filepath.Join(r.conf.Dir, prefix(r.node.Name)+"-*"+partial))
	for _, name := range left {
		log.Printf("capture: %s", orphan(name))
		if err := os.Remove(name); err != nil {
			log.Printf("capture: %v", err)
		}
	}
}

// orphan says what is lost with a file that was never closed.
func orphan(name string) string {
	info, err := os.Stat(name)
	if err != nil {
		return err.Error()
	}
	from := "its beginning"
	if parts := strings.Split(filepath.Base(name), "-"); len(parts) >= 3 {
		from = parts[len(parts)-2]
	}
	return fmt.Sprintf("%s was never closed: the rows from %s to %s are lost, %d bytes of them had been written", name, from,
		info.ModTime().UTC().Format("20060102T150405"), info.Size())
}

// sweep removes the oldest sealed files beyond what is to be kept, the manifest before what it seals.
func (r *Recorder) sweep() {
	if r.conf.KeepMB <= 0 {
		return
	}
	names, _ := filepath.Glob(filepath.Join(r.conf.Dir, prefix(r.node.Name)+"-*"+manifest))
	slices.Sort(names)
	total, sizes := int64(0), make([]int64, len(names))
	sealed := make([]*Manifest, len(names))
	for i, name := range names {
		var err error
		if sealed[i], err = readManifest(name); err != nil {
			log.Printf("capture: %v", err)
			continue
		}
		for _, s := range sealed[i].Files {
			sizes[i] += s.Bytes
		}
		total += sizes[i]
	}
	for i := 0; i < len(names) && total > int64(r.conf.KeepMB*(1<<20)); i++ {
		if sealed[i] == nil {
			continue
		}
		err := os.Remove(names[i])
		for _, s := range sealed[i].Files {
			err = errors.Join(err, os.Remove(filepath.Join(r.conf.Dir, s.Name)))
		}
		if err != nil {
			log.Printf("capture: %v", err)
		}
		total -= sizes[i]
	}
}
