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

// What a dead dispatcher left open is told of, by readers and by its successor, which clears it away.
func TestOpenFilesAreToldOf(t *testing.T) {
	dir := t.TempDir()
	name := filepath.Join(dir, "n0-20261201T101112.000000000-tries.parquet.part")
	os.WriteFile(name, []byte("PAR1 and some rows"), 0o600)
	f := record(t, dir, nil)
	f.job(0)
	f.end(t)
	if _, err := os.Stat(name); err == nil {
		t.Error("it is still there")
	}
	os.WriteFile(name, []byte("PAR1 and some rows"), 0o600)
	s, err := Read(dir)
	if err != nil || len(s.Warnings) != 1 || !strings.Contains(s.Warnings[0], "the rows from 20261201T101112.000000000 to ") {
		t.Errorf("%v, %+v", err, s)
	}
}

// copied is a small capture in a directory of its own, and the files' names: manifest, attempts, tries.
func copied(t testing.TB) (dir string, names []string) {
	dir = t.TempDir()
	f := record(t, dir, nil)
	for i := range 60 {
		f.job(i)
	}
	f.end(t)
	for _, pattern := range []string{"*.json", "*.parquet"} {
		found, _ := filepath.Glob(filepath.Join(dir, pattern))
		names = append(names, found...)
	}
	return dir, names
}

// change rewrites a file, and seals it anew where the change is to get past the seal.
func change(t testing.TB, names []string, i int, seal bool, edit func([]byte) []byte) {
	text, _ := os.ReadFile(names[i])
	after := edit(slices.Clone(text))
	os.WriteFile(names[i], after, 0o600)
	if seal {
		m, _ := os.ReadFile(names[0])
		was, is := fmt.Sprintf("%016x", xxhash.Sum64(text)), fmt.Sprintf("%016x", xxhash.Sum64(after))
		m = []byte(strings.Replace(strings.Replace(string(m), was, is, 1), fmt.Sprintf(`"bytes": %d`, len(text)), fmt.Sprintf(`"bytes": %d`, len(after)), 1))
		os.WriteFile(names[0], m, 0o600)
	}
}

func TestDamageIsLeftOutAndTold(t *testing.T) {
	swap := func(old, new string) func([]byte) []byte {
		return func(b []byte) []byte { return []byte(strings.ReplaceAll(string(b), old, new)) }
	}
	for name, k := range map[string]struct {
		file  int
		seal  bool
		edit  func([]byte) []byte
		says  string
		tries int
	}{
		"cut":            {2, false, func(b []byte) []byte { return b[:len(b)-100] }, "60 rows: ", 0},
		"a bit":          {2, false, func(b []byte) []byte { b[len(b)/2] ^= 1; return b }, "damaged: its sum is ", 0},
		"no Parquet":     {2, true, func([]byte) []byte { return []byte("PAR1 but not really PAR1") }, "no whole Parquet file", 0},
		"foreign":        {2, true, swap("gladepick.version", "gladepick.vxrsion"), "gladepick.version is missing", 0},
		"foreign column": {2, true, swap("university", "univarsity"), "column university is missing", 0},
		"attempts":       {1, false, func([]byte) []byte { return nil }, "0 bytes long, sealed with ", 60},
		"newer":          {0, false, swap(`"version": 1`, `"version": 2`), "key version: the columns are of version 2", 0},
		"manifest cut":   {0, false, func(b []byte) []byte { return b[:len(b)/2] }, "no whole manifest", 0},
		"elsewhere":      {0, false, swap(`"name": "`, `"name": "../`), "key files.0: ", 0},
	} {
		t.Run(name, func(t *testing.T) {
			dir, names := copied(t)
			change(t, names, k.file, k.seal, k.edit)
			s, err := Read(dir)
			if said := fmt.Sprint(err, s); !strings.Contains(said, k.says) {
				t.Errorf("%s; %q is wanted", said, k.says)
			}
			if s != nil && len(s.Requests) != k.tries {
				t.Errorf("%d tries", len(s.Requests))
			}
		})
	}
}

// Whatever stands in the files, reading ends with rows that were sealed or with an error.
func FuzzRead(f *testing.F) {
	_, names := copied(f)
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
			t.Errorf("%d files of other bytes were read", s.Files)
		}
	})
}
