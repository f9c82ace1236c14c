package settings

import (
	"fmt"
	"math"
	"time"
)

// section reads the values of one table of the file. A value that is absent or empty (a string, list or table without
// content, whatever the type ought to be) takes its default. A value of another type is a finding.
type section struct {
	name     string // empty at the top
	values   map[string]any
	findings *collector
}

// key returns a key's full name.
func (s section) key(key string) string {
	if s.name == "" {
		return key
	}
	return s.name + "." + key
}

// has reports whether a key holds anything.
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

// reportType reports a value of a wrong type.
func (s section) reportType(key, wanted string) {
	s.findings.add(s.key(key), fmt.Sprintf("must be %s, is %v", wanted, s.values[key]))
}

// table returns a table within this one, which is empty where it is absent.
func (s section) table(key string) section {
	nested := section{name: s.key(key), findings: s.findings}
	if !s.has(key) {
		return nested
	}
	values, ok := s.values[key].(map[string]any)
	if !ok {
		s.reportType(key, "a table")
	}
	nested.values = values
	return nested
}

// text reads a string.
func (s section) text(key string) string {
	if !s.has(key) {
		return ""
	}
	text, ok := s.values[key].(string)
	if !ok {
		s.reportType(key, "a string")
	}
	return text
}

// textList reads a list of strings. The default is none.
func (s section) textList(key string) []string {
	if !s.has(key) {
		return nil
	}
	values, ok := s.values[key].([]any)
	if !ok {
		s.reportType(key, "a list of strings")
		return nil
	}
	texts := make([]string, 0, len(values))
	for _, value := range values {
		text, ok := value.(string)
		if !ok {
			s.reportType(key, "a list of strings")
			return nil
		}
		texts = append(texts, text)
	}
	return texts
}

// textTable reads a table of strings.
func (s section) textTable(key string) map[string]string {
	nested := s.table(key)
	texts := make(map[string]string, len(nested.values))
	for name := range nested.values {
		texts[name] = nested.text(name)
	}
	return texts
}

// boolean reads a truth value. The default is false.
func (s section) boolean(key string) bool {
	if !s.has(key) {
		return false
	}
	value, ok := s.values[key].(bool)
	if !ok {
		s.reportType(key, "true or false")
	}
	return value
}

// number reads a number that is not negative and not infinite.
func (s section) number(key string, absent float64) float64 {
	if !s.has(key) {
		return absent
	}
	number, ok := toNumber(s.values[key])
	if !ok || !(number >= 0) || math.IsInf(number, 1) {
		s.reportType(key, "a number, 0 or above")
		return absent
	}
	return number
}

// integer reads a number that is not negative, and cuts a fraction off. It saturates at math.MaxInt32.
func (s section) integer(key string, absent int) int {
	return int(min(s.number(key, float64(absent)), math.MaxInt32))
}

// integerList reads a list of numbers, and cuts their fractions off. What is no list is empty.
func (s section) integerList(key string) []int {
	if !s.has(key) {
		return nil
	}
	values, _ := s.values[key].([]any)
	var integers []int
	for _, value := range values {
		number, ok := toNumber(value)
		if !ok {
			s.reportType(key, "a list of numbers")
			return nil
		}
		integers = append(integers, int(number))
	}
	return integers
}

// milliseconds reads a time that is given in milliseconds.
func (s section) milliseconds(key string, absent time.Duration) time.Duration {
	return s.duration(key, time.Millisecond, absent)
}

// seconds reads a time that is given in seconds.
func (s section) seconds(key string, absent time.Duration) time.Duration {
	return s.duration(key, time.Second, absent)
}

// duration reads a time that is given in a unit, and rounds it to nanoseconds. It saturates.
func (s section) duration(key string, unit, absent time.Duration) time.Duration {
	number := s.number(key, -1)
	if number < 0 {
		return absent
	}
	nanoseconds := math.Round(number * float64(unit))
	if nanoseconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(nanoseconds)
}

// toNumber converts a number of either type that a TOML file may have.
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
