package capture

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// A dispatcher that dies leaves files that were not closed. Its successor must remove them, and Read must warn of them.
func TestUnclosedFilesAreRemovedAndReported(t *testing.T) {
	dir := t.TempDir()
	name := filepath.Join(dir, "n0-20261201T101112.000000000-tries.parquet.part")
	os.WriteFile(name, []byte("PAR1 and some rows"), 0o600)
	f := record(t, dir, nil)
	f.job(0)
	f.end(t)
	if _, err := os.Stat(name); err == nil {
		t.Error("the recorder did not remove the unclosed file")
	}
	os.WriteFile(name, []byte("PAR1 and some rows"), 0o600)
	s, err := Read(dir)
	if err != nil || len(s.Warnings) != 1 || !strings.Contains(s.Warnings[0], "the rows from 20261201T101112.000000000 to ") {
		t.Errorf("error %v, set %+v; want one warning that names the lost rows", err, s)
	}
}

// recordCapture records 60 jobs in a new directory. It returns the directory and the paths of the files: the manifest,
// the attempts, the requests.
func recordCapture(t testing.TB) (dir string, names []string) {
	dir = t.TempDir()
	f := record(t, dir, nil)
	for i := range 60 {
		f.job(i)
	}
	f.end(t)
	for _, pattern := range []string{"*.json", "*.parquet"} {
		files, _ := filepath.Glob(filepath.Join(dir, pattern))
		names = append(names, files...)
	}
	return dir, names
}

// rewriteFile applies edit to the file names[i]. If updateSeal is set, it updates the file's length and checksum in the
// manifest, so that the edit is not detected there.
func rewriteFile(t testing.TB, names []string, i int, updateSeal bool, edit func([]byte) []byte) {
	text, _ := os.ReadFile(names[i])
	after := edit(slices.Clone(text))
	os.WriteFile(names[i], after, 0o600)
	if updateSeal {
		m, _ := os.ReadFile(names[0])
		oldSum, newSum := fmt.Sprintf("%016x", xxhash.Sum64(text)), fmt.Sprintf("%016x", xxhash.Sum64(after))
		m = []byte(strings.Replace(strings.Replace(string(m), oldSum, newSum, 1), fmt.Sprintf(`"bytes": %d`, len(text)), fmt.Sprintf(`"bytes": %d`, len(after)), 1))
		os.WriteFile(names[0], m, 0o600)
	}
}

// A corrupt, foreign or newer file must be skipped with a warning that names the fault.
func TestDamagedFilesAreSkippedWithWarning(t *testing.T) {
	swap := func(old, new string) func([]byte) []byte {
		return func(b []byte) []byte { return []byte(strings.ReplaceAll(string(b), old, new)) }
	}
	for name, tc := range map[string]struct {
		file       int // index in the names that recordCapture returns
		updateSeal bool
		edit       func([]byte) []byte
		want       string // part of the error or of the warning
		requests   int    // rows that are read nevertheless
	}{
		"truncated":      {2, false, func(b []byte) []byte { return b[:len(b)-100] }, "60 rows: ", 0},
		"flipped bit":    {2, false, func(b []byte) []byte { b[len(b)/2] ^= 1; return b }, "checksum mismatch: file has ", 0},
		"not Parquet":    {2, true, func([]byte) []byte { return []byte("PAR1 but not really PAR1") }, "invalid Parquet file", 0},
		"foreign":        {2, true, swap("gladepick.version", "gladepick.vxrsion"), "gladepick.version is missing", 0},
		"missing column": {2, true, swap("university", "univarsity"), "column university is missing", 0},
		"empty attempts": {1, false, func([]byte) []byte { return nil }, "file has 0 bytes, manifest has ", 60},
		"newer version":  {0, false, swap(`"version": 1`, `"version": 2`), "key version: unsupported format version 2", 0},
		"cut manifest":   {0, false, func(b []byte) []byte { return b[:len(b)/2] }, "invalid manifest", 0},
		"other folder":   {0, false, swap(`"name": "`, `"name": "../`), "key files.0: ", 0},
	} {
		t.Run(name, func(t *testing.T) {
			dir, names := recordCapture(t)
			rewriteFile(t, names, tc.file, tc.updateSeal, tc.edit)
			s, err := Read(dir)
			if got := fmt.Sprint(err, s); !strings.Contains(got, tc.want) {
				t.Errorf("got %s, want %q", got, tc.want)
			}
			if s != nil && len(s.Requests) != tc.requests {
				t.Errorf("read %d requests", len(s.Requests))
			}
		})
	}
}

// For any content of the files, Read must return an error or only rows of unmodified files.
func FuzzRead(f *testing.F) {
	_, names := recordCapture(f)
	whole, _ := os.ReadFile(names[2])
	seal, _ := os.ReadFile(names[0])
	f.Add(seal, whole)
	f.Add(seal[:len(seal)/2], whole)
	rng := rand.New(rand.NewPCG(3, 4))
	for range 30 {
		bad, badSeal := slices.Clone(whole), slices.Clone(seal)
		bad[rng.IntN(len(bad))] ^= byte(1 + rng.IntN(255))
		badSeal[rng.IntN(len(badSeal))] ^= byte(1 + rng.IntN(255))
		f.Add(seal, bad[:rng.IntN(len(bad))])
		f.Add(seal, bad)
		f.Add(badSeal, whole)
	}
	base := filepath.Base(names[2])
	f.Fuzz(func(t *testing.T, seal, text []byte) {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, "x"+manifestSuffix), seal, 0o600)
		os.WriteFile(filepath.Join(dir, base), text, 0o600)
		if s, err := Read(dir); err == nil && s.Files > 0 && !slices.Equal(text, whole) {
			t.Errorf("read %d files although the content differs from the sealed one", s.Files)
		}
	})
}
