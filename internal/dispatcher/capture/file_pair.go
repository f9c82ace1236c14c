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

// versionKey is the key of the Parquet metadata that holds FormatVersion.
const versionKey = "gladepick.version"

const pageBufferBytes = 64 << 10

// partialSuffix ends the name of a file that is not closed.
const partialSuffix = ".part"

// outputFile is a file that is being written.
type outputFile interface {
	io.Writer
	Sync() error
	Close() error
}

// The files of a pair, by their places in its arrays.
const (
	requestFile = iota
	attemptFile
	filesPerPair
)

// fileKinds stand in the files' names.
var fileKinds = [filesPerPair]string{requestFile: "tries", attemptFile: "attempts"}

// filePair is a capture's two files while they are open. The goroutine of Recorder.Run owns it.
type filePair struct {
	dir         string
	paths       [filesPerPair]string // without partialSuffix
	files       [filesPerPair]outputFile
	checksums   [filesPerPair]checksumWriter
	requests    *parquet.GenericWriter[Request]
	attempts    *parquet.GenericWriter[Attempt]
	stem        string // with which all their names begin
	began       time.Time
	rows        int // in both
	rowsPerFile [filesPerPair]int64
}

// requestSchema is named as in files of format version 1, whatever the Go type is called.
var requestSchema = parquet.NewSchema("Try", parquet.SchemaOf(Request{}))

// checksumWriter counts the bytes that it passes on, and computes their checksum.
type checksumWriter struct {
	to    io.Writer
	bytes int64
	sum   *xxhash.Digest // XXH64, seed 0
}

func (c *checksumWriter) Write(p []byte) (int, error) {
	n, err := c.to.Write(p)
	c.bytes += int64(n)
	c.sum.Write(p[:n])
	return n, err
}

// createPair creates a pair of files that is named after the dispatcher and the time.
func (r *Recorder) createPair() (*filePair, error) {
	p := &filePair{dir: r.settings.Dir, began: time.Now()}
	p.stem = fmt.Sprintf("%s-%s", fileNamePrefix(r.node.Name), p.began.UTC().Format("20060102T150405.000000000"))
	for i, kind := range fileKinds {
		p.paths[i] = filepath.Join(r.settings.Dir, p.stem+"-"+kind+".parquet")
		f, err := r.createFile(p.paths[i] + partialSuffix)
		if err != nil {
			p.discard()
			return nil, err
		}
		p.files[i] = f
		p.checksums[i].to = f
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

// fileNamePrefix makes the beginning of a file's name from a dispatcher's name. The dash is not kept, as it separates the
// name from the time.
func fileNamePrefix(name string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '.' {
			return c
		}
		return '_'
	}, name)
}

func (p *filePair) bytes() int64 {
	return p.checksums[requestFile].bytes + p.checksums[attemptFile].bytes
}

// write adds rows to each file as a row group of their own.
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

// close ends both files, gives them their names and seals them with a manifest.
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

// discard closes the files and removes them. It also serves a pair of which only a part was created.
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
