// Package document reads the JSON documents of operators. Each document is
// validated against a schema that this package embeds. An error names the file,
// the line and column, and the key. A document that does not match its schema is
// not used. The package is separate from its parent because the JSON Schema
// library adds 7 ms and 2 MB to every start.
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

// MaxBytes is the maximum size of a document, in bytes.
const MaxBytes = 16 << 20

// The defaults of the recorder's settings. config.Capture describes them.
const (
	defaultRotateMB = 64
	defaultRotateS  = 300
	defaultGroupS   = 10
)

// Read validates a file of at most MaxBytes against the named schema and decodes it into target.
func Read(path, schema string, target any) error {
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
	return Parse(path, text, schema, target)
}

// Parse validates a text against the named schema and decodes it into target. path only names the text in errors.
func Parse(path string, text []byte, schema string, target any) error {
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
	return decode(path, text, target)
}

// explain converts a validation error into one error for each cause, with its line, column and key.
func explain(path string, text []byte, offsets map[string]int64, err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return fmt.Errorf("%s: %w", path, err)
	}
	var errs []error
	for _, cause := range rootCauses(invalid, nil) {
		key := cause.InstanceLocation
		if extra, ok := cause.ErrorKind.(*kind.AdditionalProperties); ok && len(extra.Properties) > 0 {
			key = append(slices.Clone(key), extra.Properties[0])
		}
		reason := cause.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		errs = append(errs, fmt.Errorf("%s:%s: %s: %s", path, position(text, offsets[joinKey(key)]), describeKey(key), reason))
	}
	return errors.Join(errs...)
}

// rootCauses appends the leaves of the tree of causes to causes and returns the result.
func rootCauses(e *jsonschema.ValidationError, causes []*jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(e.Causes) == 0 {
		return append(causes, e)
	}
	for _, c := range e.Causes {
		causes = rootCauses(c, causes)
	}
	return causes
}

// decode decodes a valid document. A value may match its schema and still not fit the Go type; that is an error.
func decode(path string, text []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	var mismatch *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &mismatch):
		return fmt.Errorf("%s:%s: key %s: a %s is not valid", path, position(text, mismatch.Offset), mismatch.Field, mismatch.Value)
	}
	return fmt.Errorf("%s: %w", path, err)
}

// joinKey joins the parts of a key's path into one string, which is unique to the path.
func joinKey(path []string) string { return strings.Join(path, "\x00") }

// describeKey returns the name of a key for an error message.
func describeKey(path []string) string {
	if len(path) == 0 {
		return "the document"
	}
	return "key " + strings.Join(path, ".")
}

// ReadCapture reads the settings of a recorder, fills in the defaults and checks that the directory exists.
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
		return nil, fmt.Errorf("%s: key dir: %s is not a directory", path, c.Dir)
	}
	return c, nil
}
