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

// maxDepth is the deepest nesting of a document, in levels.
const maxDepth = 64

// position returns the line and column of the byte at offset as "line:column", both counted from 1.
func position(text []byte, offset int64) string {
	before := text[:min(max(offset, 0), int64(len(text)))]
	line := bytes.Count(before, []byte("\n")) + 1
	return fmt.Sprintf("%d:%d", line, len(before)-(bytes.LastIndexByte(before, '\n')+1)+1)
}

// syntaxError is an error at a byte offset of a text.
type syntaxError struct {
	offset int64
	text   string
}

// Error returns the message without the offset.
func (e *syntaxError) Error() string { return e.text }

// keyOffsets returns the offset of the value of each key in a text. The map's keys are made by joinKey. A duplicate key
// is an error, because it is unknown which of the two values is meant. An error is a syntaxError if its offset is
// known.
func keyOffsets(text []byte) (map[string]int64, error) {
	w := &walker{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), offsets: map[string]int64{}}
	w.decoder.UseNumber()
	if err := w.walkValue(nil); err != nil {
		return nil, err
	}
	if at := w.nextOffset(); at < int64(len(text)) {
		return nil, &syntaxError{at, "unexpected data after the end of the document"}
	}
	return w.offsets, nil
}

// walker reads a document token by token and records the offsets of its values.
type walker struct {
	text    []byte
	decoder *json.Decoder
	offsets map[string]int64
}

// nextOffset returns the offset of the next token.
func (w *walker) nextOffset() int64 {
	at := w.decoder.InputOffset()
	for at < int64(len(w.text)) && strings.IndexByte(" \t\r\n,:", w.text[at]) >= 0 {
		at++
	}
	return at
}

// readToken reads the next token. It adds the offset to an error.
func (w *walker) readToken() (json.Token, error) {
	token, err := w.decoder.Token()
	var malformed *json.SyntaxError
	switch {
	case errors.As(err, &malformed):
		return nil, &syntaxError{w.nextOffset(), malformed.Error()}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, &syntaxError{int64(len(w.text)), "the text ends before the document does"}
	}
	return token, err
}

// walkValue reads one value and records its offset and those of the values in it.
func (w *walker) walkValue(path []string) error {
	if len(path) > maxDepth {
		return &syntaxError{w.nextOffset(), "the document is nested too deeply"}
	}
	w.offsets[joinKey(path)] = w.nextOffset()
	token, err := w.readToken()
	if err != nil {
		return err
	}
	delim, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	for i := 0; w.decoder.More(); i++ {
		name := strconv.Itoa(i)
		if delim == '{' {
			if name, err = w.readKey(path); err != nil {
				return err
			}
		}
		if err := w.walkValue(append(slices.Clone(path), name)); err != nil {
			return err
		}
	}
	_, err = w.readToken() // the end of the object or list
	return err
}

// readKey reads the next key of an object. A key that the object already has is an error.
func (w *walker) readKey(path []string) (string, error) {
	offset := w.nextOffset()
	token, err := w.readToken()
	if err != nil {
		return "", err
	}
	name := token.(string)
	full := append(slices.Clone(path), name)
	if _, duplicate := w.offsets[joinKey(full)]; duplicate {
		return "", &syntaxError{offset, fmt.Sprintf("%s appears twice", describeKey(full))}
	}
	return name, nil
}
