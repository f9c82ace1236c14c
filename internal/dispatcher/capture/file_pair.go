package capture

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/parquet-go/parquet-go"
)

// versionKey is the Parquet metadata key whose value is FormatVersion.
const versionKey = "gladepick.version"

const pageBufferBytes = 64 << 10

// partialSuffix is the suffix of a file that is still being written.
const partialSuffix = ".part"

// outputFile is the part of *os.File that the recorder uses. Tests implement it to inject disk faults.
type outputFile interface {
	io.Writer
	Sync() error
	Close() error
}

// Indices of a pair's files in the arrays of filePair.
const (
	requestFile = iota
	attemptFile
	filesPerPair
)

// fileKinds are the parts of the file names that distinguish the two files of a pair.
var fileKinds = [filesPerPair]string{requestFile: "tries", attemptFile: "attempts"}

// filePair is the two open files of a capture. Only the goroutine of Recorder.Run uses it.
type filePair struct {
	dir         string
	paths       [filesPerPair]string // without partialSuffix
	files       [filesPerPair]outputFile
	checksums   [filesPerPair]checksumWriter
	requests    *parquet.GenericWriter[Request]
	attempts    *parquet.GenericWriter[Attempt]
	stem        string // common prefix of the names of both files and their manifest
	createdAt   time.Time
	rows        int // total of both files
	rowsPerFile [filesPerPair]int64
}

// requestSchema has the schema name of format version 1, which differs from the name of the Go type.
var requestSchema = parquet.NewSchema("Try", parquet.SchemaOf(Request{}))

// checksumWriter counts the bytes written through it and computes their checksum.
type checksumWriter struct {
	out   io.Writer
	bytes int64
	sum   *xxhash.Digest // XXH64, seed 0
}

func (c *checksumWriter) Write(p []byte) (int, error) {
	n, err := c.out.Write(p)
	c.bytes += int64(n)
	c.sum.Write(p[:n])
	return n, err
}

// createPair creates a pair of files whose names consist of the dispatcher's name and the time.
func (r *Recorder) createPair() (*filePair, error) {
	p := &filePair{dir: r.settings.Dir, createdAt: time.Now()}
	p.stem = fmt.Sprintf("%s-%s", fileNamePrefix(r.node.Name), p.createdAt.UTC().Format("20060102T150405.000000000"))
	for i, kind := range fileKinds {
		p.paths[i] = filepath.Join(r.settings.Dir, p.stem+"-"+kind+".parquet")
		f, err := r.createFile(p.paths[i] + partialSuffix)
		if err != nil {
			p.discard()
			return nil, err
		}
		p.files[i] = f
		p.checksums[i].out = f
		p.checksums[i].sum = xxhash.New()
	}
	options := []parquet.WriterOption{
		parquet.Compression(&parquet.Snappy),
		parquet.PageBufferSize(pageBufferBytes),
		parquet.KeyValueMetadata(versionKey, strconv.Itoa(FormatVersion)),
	}
	p.requests = parquet.NewGenericWriter[Request](&p.checksums[requestFile], append(options, requestSchema)...)
	p.attempts = parquet.NewGenericWriter[Attempt](&p.checksums[attemptFile], options...)
	return p, nil
}

// fileNamePrefix converts a dispatcher's name to the first part of a file name. Characters other than ASCII letters,
// digits, "_" and "." become "_". This includes the dash, which separates the name from the time.
func fileNamePrefix(name string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '.' {
			return c
		}
		return '_'
	}, name)
}

// bytes returns the total size of both files.
func (p *filePair) bytes() int64 {
	return p.checksums[requestFile].bytes + p.checksums[attemptFile].bytes
}

// write appends the rows to the two files, each as a new row group.
func (p *filePair) write(requests []Request, attempts []Attempt) error {
	p.rows += len(requests) + len(attempts)
	p.rowsPerFile[requestFile] += int64(len(requests))
	p.rowsPerFile[attemptFile] += int64(len(attempts))
	if len(requests) > 0 {
		if _, err := p.requests.Write(requests); err != nil {
			return err
		}
		if err := p.requests.Flush(); err != nil {
			return err
		}
	}
	if len(attempts) > 0 {
		if _, err := p.attempts.Write(attempts); err != nil {
			return err
		}
		return p.attempts.Flush()
	}
	return nil
}

// close syncs and closes both files, renames them to their final names and writes their manifest.
func (p *filePair) close(node string, droppedRows int64) error {
	err := errors.Join(
		p.requests.Close(),
		p.attempts.Close(),
		p.files[requestFile].Sync(),
		p.files[attemptFile].Sync(),
		p.files[requestFile].Close(),
		p.files[attemptFile].Close(),
	)
	if err != nil {
		return err
	}
	p.files = [filesPerPair]outputFile{}
	m := Manifest{Version: FormatVersion, Node: node, DroppedRows: droppedRows}
	for i, path := range p.paths {
		m.Files = append(m.Files, SealedFile{
			Name:  filepath.Base(path),
			Bytes: p.checksums[i].bytes,
			Rows:  p.rowsPerFile[i],
			XXH64: formatChecksum(p.checksums[i].sum),
		})
		if err := os.Rename(path+partialSuffix, path); err != nil {
			return err
		}
	}
	text, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return err
	}
	return writeFileAtomically(filepath.Join(p.dir, p.stem+manifestSuffix), append(text, '\n'))
}

// discard closes and removes the files. It also accepts a pair with only one file created.
func (p *filePair) discard() {
	for i, f := range p.files {
		if f != nil {
			f.Close()
		}
		if p.paths[i] != "" {
			os.Remove(p.paths[i] + partialSuffix)
			os.Remove(p.paths[i])
		}
	}
}
