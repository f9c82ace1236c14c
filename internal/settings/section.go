package settings

import (
	"fmt"
	"math"
	"time"
)

// section reads the values of one table of the file. A value that is absent or empty takes its default; an empty
// string, list or table counts as empty for a key of any type. A value of the wrong type is reported as a finding.
type section struct {
	name     string // empty for the top level
	values   map[string]any
	findings *collector
}

// key returns a key's full name, which includes the names of its tables.
func (s section) key(key string) string {
	if s.name == "" {
		return key
	}
	return s.name + "." + key
}

// has reports whether a key is present and not empty.
func (s section) has(key string) bool {
	switch value := s.values[key].(type) {
	case nil:
		return false
	case string:
		return value != ""
	case []any:
		return len(value) > 0
	case map[string]any:
		return len(value) > 0
	default:
		return true
	}
}

// reportWrongType adds a finding for a value of the wrong type or out of range.
func (s section) reportWrongType(key, wanted string) {
	s.findings.add(s.key(key), fmt.Sprintf("must be %s, is %v", wanted, s.values[key]))
}

// table returns a table within this one. The result is empty if the table is absent.
func (s section) table(key string) section {
	nested := section{name: s.key(key), findings: s.findings}
	if !s.has(key) {
		return nested
	}
	values, ok := s.values[key].(map[string]any)
	if !ok {
		s.reportWrongType(key, "a table")
	}
	nested.values = values
	return nested
}

// text returns a string. The default is "".
func (s section) text(key string) string {
	if !s.has(key) {
		return ""
	}
	text, ok := s.values[key].(string)
	if !ok {
		s.reportWrongType(key, "a string")
	}
	return text
}

// textList returns a list of strings. The default is nil.
func (s section) textList(key string) []string {
	if !s.has(key) {
		return nil
	}
	values, ok := s.values[key].([]any)
	if !ok {
		s.reportWrongType(key, "a list of strings")
		return nil
	}
	texts := make([]string, 0, len(values))
	for _, value := range values {
		text, ok := value.(string)
		if !ok {
			s.reportWrongType(key, "a list of strings")
			return nil
		}
		texts = append(texts, text)
	}
	return texts
}

// textTable returns a table of strings as a map. The default is an empty map.
func (s section) textTable(key string) map[string]string {
	nested := s.table(key)
	texts := make(map[string]string, len(nested.values))
	for name := range nested.values {
		texts[name] = nested.text(name)
	}
	return texts
}

// boolean returns a boolean. The default is false.
func (s section) boolean(key string) bool {
	if !s.has(key) {
		return false
	}
	value, ok := s.values[key].(bool)
	if !ok {
		s.reportWrongType(key, "true or false")
	}
	return value
}

// number returns a finite number that is not negative.
func (s section) number(key string, fallback float64) float64 {
	if !s.has(key) {
		return fallback
	}
	number, ok := toNumber(s.values[key])
	if !ok || !(number >= 0) || math.IsInf(number, 1) {
		s.reportWrongType(key, "a number, 0 or above")
		return fallback
	}
	return number
}

// integer returns a number that is not negative, truncated to an integer. The result saturates at math.MaxInt32.
func (s section) integer(key string, fallback int) int {
	return int(min(s.number(key, float64(fallback)), math.MaxInt32))
}

// integerList returns a list of numbers, truncated to integers. A value that is not a list yields nil without a
// finding.
func (s section) integerList(key string) []int {
	if !s.has(key) {
		return nil
	}
	values, _ := s.values[key].([]any)
	var integers []int
	for _, value := range values {
		number, ok := toNumber(value)
		if !ok {
			s.reportWrongType(key, "a list of numbers")
			return nil
		}
		integers = append(integers, int(number))
	}
	return integers
}

// milliseconds returns a duration that the file gives in milliseconds.
func (s section) milliseconds(key string, fallback time.Duration) time.Duration {
	return s.duration(key, time.Millisecond, fallback)
}

// seconds returns a duration that the file gives in seconds.
func (s section) seconds(key string, fallback time.Duration) time.Duration {
	return s.duration(key, time.Second, fallback)
}

// duration returns a duration that the file gives in the unit, rounded to nanoseconds. The result saturates at
// math.MaxInt64.
func (s section) duration(key string, unit, fallback time.Duration) time.Duration {
	number := s.number(key, -1)
	if number < 0 {
		return fallback
	}
	nanoseconds := math.Round(number * float64(unit))
	if nanoseconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(nanoseconds)
}

// toNumber converts a TOML integer or float. It reports whether the value is one of these.
func toNumber(value any) (float64, bool) {
	switch value := value.(type) {
	case int64:
		return float64(value), true
	case float64:
		return value, true
	default:
		return 0, false
	}
}
