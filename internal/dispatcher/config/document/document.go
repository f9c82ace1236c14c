// Package document reads the JSON documents of operators: each is checked against
// a schema that this package ships, and an error names the file, the line and
// column, and the key. A document that the schema refuses is never used, and
// nothing is guessed. It stands apart from its parent because the library for
// schemas takes 7 ms and 2 MB of every start.
//
// All functions may be called on any goroutine. Start reading at Parse.
package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"gladepick/internal/dispatcher/config"
)

// MaxBytes is how long a document may be.
const MaxBytes = 16 << 20

// The defaults of a recorder: config.Capture has their meaning.
const (
	defaultRotateMB = 64
	defaultRotateS  = 300
	defaultGroupS   = 10
)

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
	offsets, err := keyOffsets(text)
	if err != nil {
		var at *syntaxError
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
		return explain(path, text, offsets, err)
	}
	return decode(path, text, into)
}

// explain says of a document that its schema refuses what is wrong, each cause with its place.
func explain(path string, text []byte, offsets map[string]int64, err error) error {
	var refused *jsonschema.ValidationError
	if !errors.As(err, &refused) {
		return fmt.Errorf("%s: %w", path, err)
	}
	var all []error
	for _, cause := range rootCauses(refused, nil) {
		key := cause.InstanceLocation
		if extra, ok := cause.ErrorKind.(*kind.AdditionalProperties); ok && len(extra.Properties) > 0 {
			key = append(slices.Clone(key), extra.Properties[0])
		}
		reason := cause.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		all = append(all, fmt.Errorf("%s:%s: %s: %s", path, position(text, offsets[joinKey(key)]), describeKey(key), reason))
	}
	return errors.Join(all...)
}

// rootCauses returns the causes at the bottom, each once.
func rootCauses(e *jsonschema.ValidationError, causes []*jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(e.Causes) == 0 {
		return append(causes, e)
	}
	for _, c := range e.Causes {
		causes = rootCauses(c, causes)
	}
	return causes
}

// decode reads a document that its schema lets through, which may still hold what the type cannot.
func decode(path string, text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var wrong *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wrong):
		return fmt.Errorf("%s:%s: key %s: a %s is not valid", path, position(text, wrong.Offset), wrong.Field, wrong.Value)
	}
	return fmt.Errorf("%s: %w", path, err)
}

// joinKey makes one word of a key's path.
func joinKey(path []string) string { return strings.Join(path, "\x00") }

// describeKey names a key in an error.
func describeKey(path []string) string {
	if len(path) == 0 {
		return "the document"
	}
	return "key " + strings.Join(path, ".")
}

// ReadCapture reads what sets up a recorder.
func ReadCapture(path string) (*config.Capture, error) {
	c := &config.Capture{RotateMB: defaultRotateMB, RotateS: defaultRotateS, GroupS: defaultGroupS}
	if err := Read(path, "capture", c); err != nil {
		return nil, err
	}
	info, err := os.Stat(c.Dir)
	if err != nil {
		return nil, fmt.Errorf("%s: key dir: %w", path, err)
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s: key dir: %s is no directory", path, c.Dir)
	}
	return c, nil
}
