package capture

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/parquet-go/parquet-go"
)

const rowsPerRead = 1024

// Set is the rows read from any number of captures.
type Set struct {
	Requests    []Request
	Attempts    []Attempt
	DroppedRows int64    // rows that the recorders dropped
	Files       int      // number of Parquet files read
	Warnings    []string // faults of the files and the files that were skipped
}

// Read reads the captures at the given paths, each a manifest or a directory of captures. It reads only complete files
// of this format version or an older one that have every column of Request or Attempt. Corrupt, foreign and unsealed
// files are skipped and reported in Set.Warnings. Read returns an error if it cannot read any file. Requests are sorted
// by arrival time, attempts by send time.
func Read(paths ...string) (*Set, error) {
	names, err := listFiles(paths)
	if err != nil {
		return nil, err
	}
	s := &Set{}
	sealed := map[string]bool{} // paths of files that a manifest lists
	for _, name := range names {
		if strings.HasSuffix(name, manifestSuffix) {
			s.readSealed(name, sealed)
		}
	}
	for _, name := range names {
		switch {
		case sealed[name] || strings.HasSuffix(name, manifestSuffix):
		case strings.HasSuffix(name, partialSuffix):
			s.Warnings = append(s.Warnings, describeOrphan(name))
		case strings.HasSuffix(name, ".parquet"):
			s.Warnings = append(s.Warnings, fmt.Sprintf("%s: skipped: no manifest lists it", name))
		}
	}
	if s.Files == 0 {
		problems := append([]string{strings.Join(paths, ", ")}, s.Warnings...)
		return nil, fmt.Errorf("no readable capture: %s", strings.Join(problems, "; "))
	}
	slices.SortStableFunc(s.Requests, func(a, b Request) int { return cmp.Compare(a.Arrived, b.Arrived) })
	slices.SortStableFunc(s.Attempts, func(a, b Attempt) int { return cmp.Compare(a.Sent, b.Sent) })
	return s, nil
}

// listFiles replaces each directory by its files and returns the paths sorted and without duplicates.
func listFiles(paths []string) ([]string, error) {
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
		files, err := filepath.Glob(filepath.Join(path, "*"))
		if err != nil {
			return nil, err
		}
		names = append(names, files...)
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}

// readSealed reads the files that one manifest lists, and adds their paths to sealed.
func (s *Set) readSealed(name string, sealed map[string]bool) {
	m, err := readManifest(name)
	if err != nil {
		s.Warnings = append(s.Warnings, fmt.Sprintf("skipped: %v", err))
		return
	}
	s.DroppedRows += m.DroppedRows
	for _, file := range m.Files {
		path := filepath.Join(filepath.Dir(name), file.Name)
		sealed[path] = true
		if err := s.readFile(path, file); err != nil {
			s.Warnings = append(s.Warnings, fmt.Sprintf("%s: skipped, %d rows: %v", path, file.Rows, err))
		}
	}
}

// readFile adds all rows of one sealed file. On an error it adds none.
func (s *Set) readFile(path string, seal SealedFile) (err error) {
	defer func() {
		// A file with a valid checksum may still come from another program, and the library may panic on it.
		if r := recover(); r != nil {
			err = fmt.Errorf("reading panicked: %v", r)
		}
	}()
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := verifySeal(f, seal); err != nil {
		return err
	}
	file, err := parquet.OpenFile(f, seal.Bytes)
	if err != nil {
		return fmt.Errorf("invalid Parquet file: %w", err)
	}
	if _, ok := file.Lookup(versionKey); !ok {
		return errors.New("not a capture: metadata key " + versionKey + " is missing")
	}
	if _, ok := file.Schema().Lookup("sent"); ok {
		err = readRows(file, &s.Attempts)
	} else {
		err = readRows(file, &s.Requests)
	}
	if err == nil {
		s.Files++
	}
	return err
}

// verifySeal compares a file's length and checksum with its manifest entry.
func verifySeal(file io.Reader, seal SealedFile) error {
	sum := xxhash.New()
	length, err := io.Copy(sum, file)
	if err != nil {
		return err
	}
	if length != seal.Bytes {
		return fmt.Errorf("file has %d bytes, manifest has %d", length, seal.Bytes)
	}
	if checksum := formatChecksum(sum); checksum != seal.XXH64 {
		return fmt.Errorf("checksum mismatch: file has %s, manifest has %s", checksum, seal.XXH64)
	}
	return nil
}

// readRows appends all rows of a file to into. On an error it appends none.
func readRows[T any](file *parquet.File, into *[]T) error {
	if err := checkColumns(file.Schema(), parquet.SchemaOf(new(T))); err != nil {
		return err
	}
	r := parquet.NewGenericReader[T](file)
	defer r.Close()
	out, batch := []T(nil), make([]T, rowsPerRead)
	for {
		n, err := r.Read(batch)
		for i := range batch[:n] {
			out = append(out, batch[i])
			cloneStrings(&out[len(out)-1])
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("row %d: %w", len(out), err)
		}
	}
	if int64(len(out)) != file.NumRows() {
		return fmt.Errorf("read %d of %d rows", len(out), file.NumRows())
	}
	*into = append(*into, out...)
	return nil
}

// checkColumns returns an error unless a file has every wanted column with the wanted physical type. The file may have
// further columns.
func checkColumns(have, want *parquet.Schema) error {
	for _, path := range want.Columns() {
		wanted, _ := want.Lookup(path...)
		found, ok := have.Lookup(path...)
		if !ok {
			return fmt.Errorf("column %s is missing", strings.Join(path, "."))
		}
		if wanted.Node.Type().Kind() != found.Node.Type().Kind() {
			return fmt.Errorf("column %s has type %s, want %s", strings.Join(path, "."), found.Node.Type().Kind(), wanted.Node.Type().Kind())
		}
	}
	return nil
}

// cloneStrings replaces a row's strings by copies, as the library's strings may point into a page buffer that it
// reuses.
func cloneStrings(row any) {
	v := reflect.ValueOf(row).Elem()
	for i := range v.NumField() {
		if f := v.Field(i); f.Kind() == reflect.String {
			f.SetString(strings.Clone(f.String()))
		}
	}
}
