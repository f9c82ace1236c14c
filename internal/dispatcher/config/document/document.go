// Package document reads the JSON documents of operators: each is checked
// against a schema that this package ships, and an error names the file, the
// line and column, and the key. It must never let a document through that the
// schema refuses, nor guess what was meant. It stands apart from its parent
// because the library for schemas takes 7 ms and 2 MB of every start.
package document

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"gladepick/internal/dispatcher/config"
)

//go:embed schemas/*.json
var schemas embed.FS

// Bytes is how long a document may be.
const MaxBytes = 16 << 20

// Schemas names the schemas that are shipped.
func SchemaNames() (names []string) {
	files, _ := fs.Glob(schemas, "schemas/*.json")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(strings.TrimPrefix(f, "schemas/"), ".json"))
	}
	return names
}

// Schema is the text of a shipped schema.
func Schema(name string) ([]byte, error) {
	text, err := schemas.ReadFile("schemas/" + name + ".json")
	if err != nil {
		return nil, fmt.Errorf("there is no schema %q; there are %s", name, strings.Join(SchemaNames(), ", "))
	}
	return text, nil
}

// Read reads a file that must keep to a schema.
func Read(path, schema string, into any) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return err
	}
	if len(text) > MaxBytes {
		return fmt.Errorf("%s: longer than %d bytes", path, MaxBytes)
	}
	return Parse(path, text, schema, into)
}

// Parse does the same with a text; path stands in its errors alone.
func Parse(path string, text []byte, schema string, into any) error {
	where, err := places(text)
	if err != nil {
		var at *misplaced
		if errors.As(err, &at) {
			return fmt.Errorf("%s:%s: %s", path, position(text, at.offset), at.text)
		}
		return fmt.Errorf("%s: %w", path, err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	s, err := compile(schema)
	if err != nil {
		return err
	}
	if err := s.Validate(value); err != nil {
		var bad *jsonschema.ValidationError
		if !errors.As(err, &bad) {
			return fmt.Errorf("%s: %w", path, err)
		}
		var all []error
		for _, leaf := range leaves(bad, nil) {
			at := leaf.InstanceLocation
			if extra, ok := leaf.ErrorKind.(*kind.AdditionalProperties); ok && len(extra.Properties) > 0 {
				at = append(slices.Clone(at), extra.Properties[0])
			}
			say := leaf.ErrorKind.LocalizedString(message.NewPrinter(language.English))
			all = append(all, fmt.Errorf("%s:%s: %s: %s", path, position(text, where[pointer(at)]), key(at), say))
		}
		return errors.Join(all...)
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil { // the schema lets through what the type cannot hold
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return fmt.Errorf("%s:%s: key %s: a %s is not valid", path, position(text, wrong.Offset), wrong.Field, wrong.Value)
		}
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func compile(name string) (*jsonschema.Schema, error) {
	text, err := Schema(name)
	if err != nil {
		return nil, err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name+".json", doc); err != nil {
		return nil, err
	}
	return c.Compile(name + ".json")
}

// leaves are the causes at the bottom, each said once.
func leaves(e *jsonschema.ValidationError, out []*jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(e.Causes) == 0 {
		return append(out, e)
	}
	for _, c := range e.Causes {
		out = leaves(c, out)
	}
	return out
}

func pointer(path []string) string { return strings.Join(path, "\x00") }

func key(path []string) string {
	if len(path) == 0 {
		return "the document"
	}
	return "key " + strings.Join(path, ".")
}

// position is line and column, from 1, of a byte.
func position(text []byte, offset int64) string {
	before := text[:min(max(offset, 0), int64(len(text)))]
	line := bytes.Count(before, []byte("\n")) + 1
	return fmt.Sprintf("%d:%d", line, len(before)-(bytes.LastIndexByte(before, '\n')+1)+1)
}

// misplaced is an error at a place in a text.
type misplaced struct {
	offset int64
	text   string
}

func (m *misplaced) Error() string { return m.text }

// places walks a text and notes where the value of each key begins. A key that stands twice is an error: which of the
// two was meant nobody knows.
func places(text []byte) (map[string]int64, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	where := map[string]int64{}
	next := func() int64 { // where the next token begins
		at := dec.InputOffset()
		for at < int64(len(text)) && strings.IndexByte(" \t\r\n,:", text[at]) >= 0 {
			at++
		}
		return at
	}
	fail := func(err error) error {
		var bad *json.SyntaxError
		switch {
		case errors.As(err, &bad):
			return &misplaced{next(), bad.Error()}
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return &misplaced{int64(len(text)), "the text ends before the document does"}
		}
		return err
	}
	const deep = 64
	var value func(path []string) error
	value = func(path []string) error {
		if len(path) > deep {
			return &misplaced{next(), "nested too deep"}
		}
		where[pointer(path)] = next()
		t, err := dec.Token()
		if err != nil {
			return fail(err)
		}
		delim, ok := t.(json.Delim)
		if !ok {
			return nil
		}
		for n := 0; dec.More(); n++ {
			name := strconv.Itoa(n)
			if delim == '{' {
				at := next()
				k, err := dec.Token()
				if err != nil {
					return fail(err)
				}
				name = k.(string)
				if _, twice := where[pointer(append(slices.Clone(path), name))]; twice {
					return &misplaced{at, fmt.Sprintf("%s stands twice", key(append(slices.Clone(path), name)))}
				}
			}
			if err := value(append(slices.Clone(path), name)); err != nil {
				return err
			}
		}
		if _, err := dec.Token(); err != nil {
			return fail(err)
		}
		return nil
	}
	if err := value(nil); err != nil {
		return nil, err
	}
	if at := next(); at < int64(len(text)) {
		return nil, &misplaced{at, "more stands behind the end of the document"}
	}
	return where, nil
}

// Capture reads what sets up a recorder.
func ReadCapture(path string) (*config.Capture, error) {
	c := &config.Capture{RotateMB: 64, RotateS: 300, GroupS: 10}
	if err := Read(path, "capture", c); err != nil {
		return nil, err
	}
	if info, err := os.Stat(c.Dir); err != nil {
		return nil, fmt.Errorf("%s: key dir: %w", path, err)
	} else if !info.IsDir() {
		return nil, fmt.Errorf("%s: key dir: %s is no directory", path, c.Dir)
	}
	return c, nil
}
