// The files that are being written, and the manifest that seals them.

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

// partial ends the name of a file that is not closed.
const partial = ".part"

// disk is an open file.
type disk interface {
	io.Writer
	Sync() error
	Close() error
}

// pair is the two files that are open.
type pair struct {
	dir   string
	names [2]string
	files [2]disk
	size  [2]counted
	tries *parquet.GenericWriter[Request]
	sends *parquet.GenericWriter[Attempt]
	stem  string // of all their names
	began time.Time
	rows  int
	each  [2]int64 // rows in each
}

// requestSchema is named as in files of format version 1, whatever the Go type is called.
var requestSchema = parquet.NewSchema("Try", parquet.SchemaOf(Request{}))

// counted counts and sums up what is written.
type counted struct {
	to    io.Writer
	bytes int64
	sum   *xxhash.Digest
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.to.Write(p)
	c.bytes += int64(n)
	c.sum.Write(p[:n])
	return n, err
}

// Manifest seals the files of a capture. The library that reads them takes damaged bytes at their word, down to the
// process's end; so no byte is given to it that is not the one that was written.
type Manifest struct {
	Version     int          `json:"version"`
	Node        string       `json:"node"`
	DroppedRows int64        `json:"lost"` // rows that found no room since the manifest before
	Files       []SealedFile `json:"files"`
}

// SealedFile is one sealed file.
type SealedFile struct {
	Name  string `json:"name"` // beside the manifest
	Bytes int64  `json:"bytes"`
	Rows  int64  `json:"rows"`
	XXH64 string `json:"xxh64"` // 16 hexadecimal digits, seed 0
}

// manifest ends a manifest's name.
const manifest = ".capture.json"

func (r *Recorder) begin() (*pair, error) {
	p := &pair{dir: r.conf.Dir, began: time.Now()}
	p.stem = fmt.Sprintf("%s-%s", prefix(r.node.Name), p.began.UTC().Format("20060102T150405.000000000"))
	for i, what := range []string{"tries", "attempts"} {
		p.names[i] = filepath.Join(r.conf.Dir, p.stem+"-"+what+".parquet")
		f, err := r.create(p.names[i] + partial)
		if err != nil {
			p.drop()
			return nil, err
		}
		p.files[i], p.size[i].to, p.size[i].sum = f, f, xxhash.New()
	}
	about := []parquet.WriterOption{parquet.Compression(&parquet.Snappy), parquet.PageBufferSize(64 << 10),
		parquet.KeyValueMetadata("gladepick.version", strconv.Itoa(FormatVersion))}
	p.tries = parquet.NewGenericWriter[Request](&p.size[0], append(about, requestSchema)...)
	p.sends = parquet.NewGenericWriter[Attempt](&p.size[1], about...)
	return p, nil
}

// prefix makes a file name's beginning of a dispatcher's name.
func prefix(name string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '.' {
			return c
		}
		return '_'
	}, name)
}

func (p *pair) bytes() int64 { return p.size[0].bytes + p.size[1].bytes }

// write adds a group of rows to each file, whole.
func (p *pair) write(tries []Request, sends []Attempt) error {
	p.rows += len(tries) + len(sends)
	p.each[0] += int64(len(tries))
	p.each[1] += int64(len(sends))
	if len(tries) > 0 {
		if _, err := p.tries.Write(tries); err != nil {
			return err
		}
		if err := p.tries.Flush(); err != nil {
			return err
		}
	}
	if len(sends) > 0 {
		if _, err := p.sends.Write(sends); err != nil {
			return err
		}
		return p.sends.Flush()
	}
	return nil
}

// close ends both files, gives them their names and seals them with a manifest.
func (p *pair) close(node string, lost int64) error {
	if err := errors.Join(p.tries.Close(), p.sends.Close(), p.files[0].Sync(), p.files[1].Sync(), p.files[0].Close(), p.files[1].Close()); err != nil {
		return err
	}
	p.files = [2]disk{}
	m := Manifest{Version: FormatVersion, Node: node, DroppedRows: lost}
	for i, name := range p.names {
		m.Files = append(m.Files, SealedFile{filepath.Base(name), p.size[i].bytes, p.each[i], fmt.Sprintf("%016x", p.size[i].sum.Sum64())})
		if err := os.Rename(name+partial, name); err != nil {
			return err
		}
	}
	text, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return err
	}
	return whole(filepath.Join(p.dir, p.stem+manifest), append(text, '\n'))
}

// whole writes a file that is there with all of its text or not at all.
func whole(name string, text []byte) error {
	f, err := os.Create(name + partial)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(name+partial, name)
	}
	if err != nil {
		os.Remove(name + partial)
		return err
	}
	d, err := os.Open(filepath.Dir(name))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// drop gives the open files up.
func (p *pair) drop() {
	for i, f := range p.files {
		if f != nil {
			f.Close()
		}
		if p.names[i] != "" {
			os.Remove(p.names[i] + partial)
			os.Remove(p.names[i])
		}
	}
}
