package capture

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// manifestSuffix ends a manifest's name.
const manifestSuffix = ".capture.json"

// maxManifestBytes bounds what is read of a manifest, which may be any file.
const maxManifestBytes = 1 << 20

// Manifest seals the files of a capture: nothing is read that does not have the length and the checksum given here. The
// Parquet library trusts the lengths inside a file, so damaged bytes could end the process.
type Manifest struct {
	Version     int          `json:"version"`
	Node        string       `json:"node"`
	DroppedRows int64        `json:"lost"` // rows that were not written since the manifest before
	Files       []SealedFile `json:"files"`
}

// SealedFile is one sealed file.
type SealedFile struct {
	Name  string `json:"name"` // in the manifest's directory
	Bytes int64  `json:"bytes"`
	Rows  int64  `json:"rows"`
	XXH64 string `json:"xxh64"` // 16 hexadecimal digits, seed 0
}

// formatChecksum writes a checksum as manifests hold it.
func formatChecksum(sum *xxhash.Digest) string { return fmt.Sprintf("%016x", sum.Sum64()) }

// readManifest reads and checks a manifest. Its errors name the file and the key.
func readManifest(name string) (*Manifest, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxManifestBytes))
	if err != nil {
		return nil, err
	}
	m := &Manifest{}
	if err := json.Unmarshal(text, m); err != nil {
		return nil, fmt.Errorf("%s: no whole manifest: %w", name, err)
	}
	if m.Version < 1 || m.Version > FormatVersion {
		return nil, fmt.Errorf("%s: key version: the columns are of version %d, this program knows 1 to %d", name, m.Version, FormatVersion)
	}
	if m.DroppedRows < 0 || len(m.Files) == 0 {
		return nil, fmt.Errorf("%s: no whole manifest: keys lost and files are %d and %d long", name, m.DroppedRows, len(m.Files))
	}
	for i, file := range m.Files {
		if file.Name != filepath.Base(file.Name) || file.Name == "." || file.Rows < 0 || file.Bytes < 0 {
			return nil, fmt.Errorf("%s: key files.%d: %q cannot be a capture's file", name, i, file.Name)
		}
	}
	return m, nil
}

// writeFileAtomically writes a file that is there with all of its text or not at all, also after a crash.
func writeFileAtomically(name string, text []byte) error {
	f, err := os.Create(name + partialSuffix)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(name+partialSuffix, name)
	}
	if err != nil {
		os.Remove(name + partialSuffix)
		return err
	}
	d, err := os.Open(filepath.Dir(name))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
