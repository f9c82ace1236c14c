package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// maxDepth is how deep a document may be nested.
const maxDepth = 64

// position returns line and column, from 1, of a byte.
func position(text []byte, offset int64) string {
	before := text[:min(max(offset, 0), int64(len(text)))]
	line := bytes.Count(before, []byte("\n")) + 1
	return fmt.Sprintf("%d:%d", line, len(before)-(bytes.LastIndexByte(before, '\n')+1)+1)
}

// syntaxError is an error at a place in a text.
type syntaxError struct {
	offset int64
	text   string
}

// Error returns what is wrong, without the place.
func (e *syntaxError) Error() string { return e.text }

// keyOffsets walks a text and notes, by joinKey, where the value of each key begins. A key that stands twice is an error:
// which of the two was meant nobody knows. Its errors are syntaxErrors wherever the place is known.
func keyOffsets(text []byte) (map[string]int64, error) {
	w := &walk{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), offsets: map[string]int64{}}
	w.decoder.UseNumber()
	if err := w.value(nil); err != nil {
		return nil, err
	}
	if at := w.next(); at < int64(len(text)) {
		return nil, &syntaxError{at, "more stands behind the end of the document"}
	}
	return w.offsets, nil
}

// walk is a walk through a document, token by token.
type walk struct {
	text    []byte
	decoder *json.Decoder
	offsets map[string]int64
}

// next returns where the next token begins.
func (w *walk) next() int64 {
	at := w.decoder.InputOffset()
	for at < int64(len(w.text)) && strings.IndexByte(" \t\r\n,:", w.text[at]) >= 0 {
		at++
	}
	return at
}

// token reads the next token, and gives an error its place.
func (w *walk) token() (json.Token, error) {
	t, err := w.decoder.Token()
	var bad *json.SyntaxError
	switch {
	case errors.As(err, &bad):
		return nil, &syntaxError{w.next(), bad.Error()}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, &syntaxError{int64(len(w.text)), "the text ends before the document does"}
	}
	return t, err
}

// value walks through the value of a key.
func (w *walk) value(path []string) error {
	if len(path) > maxDepth {
		return &syntaxError{w.next(), "nested too deep"}
	}
	w.offsets[joinKey(path)] = w.next()
	t, err := w.token()
	if err != nil {
		return err
	}
	delim, ok := t.(json.Delim)
	if !ok {
		return nil
	}
	for i := 0; w.decoder.More(); i++ {
		name := strconv.Itoa(i)
		if delim == '{' {
			if name, err = w.key(path); err != nil {
				return err
			}
		}
		if err := w.value(append(slices.Clone(path), name)); err != nil {
			return err
		}
	}
	_, err = w.token() // the end of the object or list
	return err
}

// key reads the next key of an object.
func (w *walk) key(path []string) (string, error) {
	at := w.next()
	t, err := w.token()
	if err != nil {
		return "", err
	}
	name := t.(string)
	full := append(slices.Clone(path), name)
	if _, twice := w.offsets[joinKey(full)]; twice {
		return "", &syntaxError{at, fmt.Sprintf("%s stands twice", describeKey(full))}
	}
	return name, nil
}
