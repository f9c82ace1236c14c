// Reading of captures: whole files only, of this version or older, with every
// column that the planner needs. It must never pass over damage in silence:
// what is left out is an error or stands in Set.Warnings.

package capture

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/parquet-go/parquet-go"
)

var nan = math.NaN()

// Set is what was read from many files.
type Set struct {
	Requests    []Request
	Attempts    []Attempt
	DroppedRows int64    // rows that recorders could not keep
	Files       int      // that were read
	Warnings    []string // what is wrong with the files, and what was left out for it
}

// Read reads the captures that manifests or directories name. What is damaged, foreign or unsealed is left out, and
// Warnings says which and why; that nothing at all can be read is an error.
func Read(paths ...string) (*Set, error) {
	s := &Set{}
	var names []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			names = append(names, path)
			continue
		}
		found, err := filepath.Glob(filepath.Join(path, "*"))
		if err != nil {
			return nil, err
		}
		names = append(names, found...)
	}
	slices.Sort(names)
	sealed := map[string]bool{}
	for _, name := range slices.Compact(names) {
		if strings.HasSuffix(name, manifest) {
			s.sealed(name, sealed)
		}
	}
	for _, name := range names {
		switch {
		case sealed[name] || strings.HasSuffix(name, manifest):
		case strings.HasSuffix(name, partial):
			s.Warnings = append(s.Warnings, orphan(name))
		case strings.HasSuffix(name, ".parquet"):
			s.Warnings = append(s.Warnings, fmt.Sprintf("%s: left out: no manifest seals it", name))
		}
	}
	if s.Files == 0 {
		return nil, fmt.Errorf("no capture can be read: %s", strings.Join(append([]string{strings.Join(paths, ", ")}, s.Warnings...), "; "))
	}
	slices.SortStableFunc(s.Requests, func(a, b Request) int { return cmp.Compare(a.Arrived, b.Arrived) })
	slices.SortStableFunc(s.Attempts, func(a, b Attempt) int { return cmp.Compare(a.Sent, b.Sent) })
	return s, nil
}

// sealed reads what one manifest seals.
func (s *Set) sealed(name string, seen map[string]bool) {
	m, err := readManifest(name)
	if err != nil {
		s.Warnings = append(s.Warnings, fmt.Sprintf("left out: %v", err))
		return
	}
	s.DroppedRows += m.DroppedRows
	for _, f := range m.Files {
		path := filepath.Join(filepath.Dir(name), f.Name)
		seen[path] = true
		if err := s.file(path, f); err != nil {
			s.Warnings = append(s.Warnings, fmt.Sprintf("%s: left out, %d rows: %v", path, f.Rows, err))
		}
	}
}

func readManifest(name string) (*Manifest, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	const most = 1 << 20
	text, err := io.ReadAll(io.LimitReader(f, most))
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
	for i, s := range m.Files {
		if s.Name != filepath.Base(s.Name) || s.Name == "." || s.Rows < 0 || s.Bytes < 0 {
			return nil, fmt.Errorf("%s: key files.%d: %q cannot be a capture's file", name, i, s.Name)
		}
	}
	return m, nil
}

func (s *Set) file(name string, seal SealedFile) (err error) {
	defer func() {
		// Sealed bytes may still be a foreign program's; what the library stumbles over is then its error.
		if r := recover(); r != nil {
			err = fmt.Errorf("not readable: %v", r)
		}
	}()
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	sum := xxhash.New()
	if n, err := io.Copy(sum, f); err != nil {
		return err
	} else if n != seal.Bytes {
		return fmt.Errorf("%d bytes long, sealed with %d", n, seal.Bytes)
	} else if have := fmt.Sprintf("%016x", sum.Sum64()); have != seal.XXH64 {
		return fmt.Errorf("damaged: its sum is %s, sealed as %s", have, seal.XXH64)
	}
	file, err := parquet.OpenFile(f, seal.Bytes)
	if err != nil {
		return fmt.Errorf("no whole Parquet file: %w", err)
	}
	if _, ok := file.Lookup("gladepick.version"); !ok {
		return errors.New("a Parquet file, but no capture: the key gladepick.version is missing")
	}
	if _, ok := file.Schema().Lookup("sent"); ok {
		err = rows(file, &s.Attempts)
	} else {
		err = rows(file, &s.Requests)
	}
	if err == nil {
		s.Files++
	}
	return err
}

// rows reads all rows of a file behind what is there; all of them or none.
func rows[T any](file *parquet.File, into *[]T) error {
	have := file.Schema()
	for _, path := range parquet.SchemaOf(new(T)).Columns() {
		want, _ := parquet.SchemaOf(new(T)).Lookup(path...)
		got, ok := have.Lookup(path...)
		if !ok {
			return fmt.Errorf("column %s is missing", strings.Join(path, "."))
		}
		if want.Node.Type().Kind() != got.Node.Type().Kind() {
			return fmt.Errorf("column %s holds %s, not %s", strings.Join(path, "."), got.Node.Type().Kind(), want.Node.Type().Kind())
		}
	}
	r := parquet.NewGenericReader[T](file)
	defer r.Close()
	out, batch := []T(nil), make([]T, 1024)
	for {
		n, err := r.Read(batch)
		for i := range batch[:n] {
			out = append(out, batch[i])
			own(&out[len(out)-1])
		}
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return fmt.Errorf("row %d: %w", len(out), err)
		}
	}
	if int64(len(out)) != file.NumRows() {
		return fmt.Errorf("%d rows of %d can be read", len(out), file.NumRows())
	}
	*into = append(*into, out...)
	return nil
}

// own copies a row's strings: the library's may point into a page that it uses again.
func own(row any) {
	v := reflect.ValueOf(row).Elem()
	for i := range v.NumField() {
		if f := v.Field(i); f.Kind() == reflect.String {
			f.SetString(strings.Clone(f.String()))
		}
	}
}
