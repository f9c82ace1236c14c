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

// manifestSuffix is the suffix of a manifest's file name.
const manifestSuffix = ".capture.json"

// maxManifestBytes limits how much of a manifest is read, because the path may name any file.
const maxManifestBytes = 1 << 20

// Manifest seals the files of a capture: Read skips a file whose length or checksum differs from the manifest. The
// Parquet library trusts the lengths inside a file, so corrupt bytes could crash the process.
type Manifest struct {
	Version     int          `json:"version"`
	Node        string       `json:"node"`
	DroppedRows int64        `json:"lost"` // rows dropped since the previous manifest
	Files       []SealedFile `json:"files"`
}

// SealedFile describes one file that a manifest seals.
type SealedFile struct {
	Name  string `json:"name"` // base name; the file is in the manifest's directory
	Bytes int64  `json:"bytes"`
	Rows  int64  `json:"rows"`
	XXH64 string `json:"xxh64"` // 16 hexadecimal digits, seed 0
}

// formatChecksum returns a checksum in the format of manifests.
func formatChecksum(sum *xxhash.Digest) string { return fmt.Sprintf("%016x", sum.Sum64()) }

// readManifest reads and validates a manifest. Its errors name the file and the key.
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
		return nil, fmt.Errorf("%s: invalid manifest: %w", name, err)
	}
	if m.Version < 1 || m.Version > FormatVersion {
		return nil, fmt.Errorf("%s: key version: unsupported format version %d, supported are 1 to %d", name, m.Version, FormatVersion)
	}
	if m.DroppedRows < 0 || len(m.Files) == 0 {
		return nil, fmt.Errorf("%s: invalid manifest: key lost is %d, key files has %d entries", name, m.DroppedRows, len(m.Files))
	}
	for i, file := range m.Files {
		if file.Name != filepath.Base(file.Name) || file.Name == "." || file.Rows < 0 || file.Bytes < 0 {
			return nil, fmt.Errorf("%s: key files.%d: invalid entry for file %q", name, i, file.Name)
		}
	}
	return m, nil
}

// writeFileAtomically writes and syncs a file. After a crash the file either has the whole text or does not exist.
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
