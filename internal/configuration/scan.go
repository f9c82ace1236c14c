package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"
)

// member is one member of a JSON object. The key (with its quotes) and the value are the bytes of the text.
type member struct {
	name  string
	key   []byte
	value []byte
}

// checkSyntax returns an error unless text is one JSON value in UTF-8. The other functions of this file require text
// that has passed this check.
func checkSyntax(text []byte) error {
	if !utf8.Valid(text) {
		return fmt.Errorf("not valid UTF-8")
	}
	if json.Valid(text) {
		return nil
	}
	var value json.RawMessage
	err := json.Unmarshal(text, &value)
	if syntaxError, ok := err.(*json.SyntaxError); ok {
		return fmt.Errorf("byte %d: %w", syntaxError.Offset, err)
	}
	return err
}

// scanner reads valid JSON without decoding it.
type scanner struct {
	text     []byte
	position int
}

// members returns the members of a JSON object in the order of the text, or nil for any other value.
func members(object []byte) []member {
	if !isKind(object, '{') {
		return nil
	}
	var found []member
	scan := scanner{text: object}
	scan.skipSpace()
	scan.position++
	for scan.more('}') {
		key := scan.value()
		scan.skipSpace()
		scan.position++ // the colon
		found = append(found, member{name: unquote(key), key: key, value: scan.value()})
	}
	return found
}

// elements returns the elements of a JSON array, or nil for any other value.
func elements(array []byte) [][]byte {
	if !isKind(array, '[') {
		return nil
	}
	var found [][]byte
	scan := scanner{text: array}
	scan.skipSpace()
	scan.position++
	for scan.more(']') {
		found = append(found, scan.value())
	}
	return found
}

// isKind reports whether a value is of the kind that begins with the given byte: '{' for an object, '[' for an array,
// '"' for a string.
func isKind(value []byte, first byte) bool {
	value = bytes.TrimLeft(value, " \t\r\n")
	return len(value) > 0 && value[0] == first
}

// unquote decodes a JSON string.
func unquote(quoted []byte) string {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return string(quoted[1 : len(quoted)-1])
	}
	var text string
	if err := json.Unmarshal(quoted, &text); err != nil {
		return string(quoted)
	}
	return text
}

// more skips a comma, if there is one, and reports whether another member or element precedes the closing byte.
func (s *scanner) more(closing byte) bool {
	s.skipSpace()
	if s.position < len(s.text) && s.text[s.position] == ',' {
		s.position++
		s.skipSpace()
	}
	return s.position < len(s.text) && s.text[s.position] != closing
}

// skipSpace skips white space.
func (s *scanner) skipSpace() {
	for s.position < len(s.text) {
		switch s.text[s.position] {
		case ' ', '\t', '\r', '\n':
			s.position++
		default:
			return
		}
	}
}

// value skips the next value and returns its bytes without the surrounding white space.
func (s *scanner) value() []byte {
	s.skipSpace()
	start := s.position
	switch s.text[s.position] {
	case '"':
		s.skipString()
	case '{', '[':
		s.skipNested()
	default:
		s.skipLiteral()
	}
	return s.text[start:s.position:s.position]
}

// skipString skips a string.
func (s *scanner) skipString() {
	for s.position++; s.position < len(s.text); s.position++ {
		switch s.text[s.position] {
		case '\\':
			s.position++
		case '"':
			s.position++
			return
		}
	}
}

// skipNested skips an object or an array.
func (s *scanner) skipNested() {
	depth := 0
	for s.position < len(s.text) {
		switch s.text[s.position] {
		case '"':
			s.skipString()
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.position++
		if depth == 0 {
			return
		}
	}
}

// skipLiteral skips a number, true, false or null.
func (s *scanner) skipLiteral() {
	for s.position < len(s.text) {
		switch s.text[s.position] {
		case ',', ']', '}', ' ', '\t', '\r', '\n':
			return
		}
		s.position++
	}
}
