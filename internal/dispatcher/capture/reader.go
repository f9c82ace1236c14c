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

// Set is what was read from the files of any number of captures.
type Set struct {
	Requests    []Request
	Attempts    []Attempt
	DroppedRows int64    // rows that recorders could not write
	Files       int      // how many were read
	Warnings    []string // what is wrong with the files, and what was left out
}

// Read reads the captures at the given paths, each a manifest or a directory of captures. Only complete files of this
// format version or an older one are read, with every column that the planner needs. What is damaged, foreign or unsealed
// is left out and stands in Set.Warnings; where nothing at all can be read, Read returns an error. Rows are in the order
// of their times.
func Read(paths ...string) (*Set, error) {
	names, err := listFiles(paths)
	if err != nil {
		return nil, err
	}
	s := &Set{}
	sealed := map[string]bool{} // by path
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
			s.Warnings = append(s.Warnings, fmt.Sprintf("%s: left out: no manifest seals it", name))
		}
	}
	if s.Files == 0 {
		problems := append([]string{strings.Join(paths, ", ")}, s.Warnings...)
		return nil, fmt.Errorf("no capture can be read: %s", strings.Join(problems, "; "))
	}
	slices.SortStableFunc(s.Requests, func(a, b Request) int { return cmp.Compare(a.Arrived, b.Arrived) })
	slices.SortStableFunc(s.Attempts, func(a, b Attempt) int { return cmp.Compare(a.Sent, b.Sent) })
	return s, nil
}

// listFiles returns the paths in order, each once, with each directory replaced by its files.
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
		found, err := filepath.Glob(filepath.Join(path, "*"))
		if err != nil {
			return nil, err
		}
		names = append(names, found...)
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}

// readSealed reads the files that one manifest seals, and notes their paths in sealed.
func (s *Set) readSealed(name string, sealed map[string]bool) {
	m, err := readManifest(name)
	if err != nil {
		s.Warnings = append(s.Warnings, fmt.Sprintf("left out: %v", err))
		return
	}
	s.DroppedRows += m.DroppedRows
	for _, file := range m.Files {
		path := filepath.Join(filepath.Dir(name), file.Name)
		sealed[path] = true
		if err := s.readFile(path, file); err != nil {
			s.Warnings = append(s.Warnings, fmt.Sprintf("%s: left out, %d rows: %v", path, file.Rows, err))
		}
	}
}

// readFile adds the rows of one sealed file: all of them, or none and an error.
func (s *Set) readFile(path string, seal SealedFile) (err error) {
	defer func() {
		// Sealed bytes may still come from another program; where the library panics over them, that is an error.
		if r := recover(); r != nil {
			err = fmt.Errorf("not readable: %v", r)
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
		return fmt.Errorf("no whole Parquet file: %w", err)
	}
	if _, ok := file.Lookup(versionKey); !ok {
		return errors.New("a Parquet file, but no capture: the key " + versionKey + " is missing")
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

// verifySeal compares a file's length and checksum with its seal.
func verifySeal(file io.Reader, seal SealedFile) error {
	sum := xxhash.New()
	length, err := io.Copy(sum, file)
	if err != nil {
		return err
	}
	if length != seal.Bytes {
		return fmt.Errorf("%d bytes long, sealed with %d", length, seal.Bytes)
	}
	if checksum := formatChecksum(sum); checksum != seal.XXH64 {
		return fmt.Errorf("damaged: its sum is %s, sealed as %s", checksum, seal.XXH64)
	}
	return nil
}

// readRows appends all rows of a file, or none where one of them cannot be read.
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
		return fmt.Errorf("%d rows of %d can be read", len(out), file.NumRows())
	}
	*into = append(*into, out...)
	return nil
}

// checkColumns tells whether a file has every wanted column, with the wanted physical type. It may have others.
func checkColumns(have, want *parquet.Schema) error {
	for _, path := range want.Columns() {
		wanted, _ := want.Lookup(path...)
		found, ok := have.Lookup(path...)
		if !ok {
			return fmt.Errorf("column %s is missing", strings.Join(path, "."))
		}
		if wanted.Node.Type().Kind() != found.Node.Type().Kind() {
			return fmt.Errorf("column %s holds %s, not %s", strings.Join(path, "."), found.Node.Type().Kind(), wanted.Node.Type().Kind())
		}
	}
	return nil
}

// cloneStrings copies a row's strings, as the library's may point into a page buffer that it uses again.
func cloneStrings(row any) {
	v := reflect.ValueOf(row).Elem()
	for i := range v.NumField() {
		if f := v.Field(i); f.Kind() == reflect.String {
			f.SetString(strings.Clone(f.String()))
		}
	}
}
