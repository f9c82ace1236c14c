package simadapter

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// values is a settings text, by its paths, with the first error met while reading from it.
type values struct {
	texts map[string]string
	err   error
}

// newValues reads the path=value lines of a settings text; any other line is passed over.
func newValues(text string) *values {
	v := &values{texts: make(map[string]string)}
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			v.texts[path] = value
		}
	}
	return v
}

// invalid notes that a value cannot be read at all.
func (v *values) invalid(path, text string) {
	if v.err == nil {
		v.err = fmt.Errorf("setting %s: %q is not valid", path, text)
	}
}

// wrong notes what a value should be.
func (v *values) wrong(path, right string) {
	if v.err == nil {
		v.err = fmt.Errorf("setting %s: %q is not %s", path, v.texts[path], right)
	}
}

// parseValue reads a value; a missing or empty one leaves the default.
func parseValue[T any](v *values, path string, otherwise T, parse func(string) (T, error)) T {
	text := v.texts[path]
	if text == "" {
		return otherwise
	}
	value, err := parse(text)
	if err != nil {
		v.invalid(path, text)
		return otherwise
	}
	return value
}

// float reads a finite number.
func (v *values) float(path string, otherwise float64) float64 {
	return parseValue(v, path, otherwise, func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
			err = strconv.ErrRange
		}
		return value, err
	})
}

// floatWithin reads a number that has bounds.
func (v *values) floatWithin(path string, otherwise, least, most float64) float64 {
	value := v.float(path, otherwise)
	if v.texts[path] != "" && !(value >= least && value <= most) {
		v.wrong(path, fmt.Sprintf("in %g to %g", least, most))
	}
	return value
}

// integer reads a whole number that is not negative.
func (v *values) integer(path string) int {
	value := parseValue(v, path, 0, strconv.Atoi)
	if v.texts[path] != "" && value < 0 {
		v.wrong(path, "0 or more")
	}
	return value
}

// flag reads a truth value.
func (v *values) flag(path string) bool { return parseValue(v, path, false, strconv.ParseBool) }

// duration reads nanoseconds, which may be written as a float.
func (v *values) duration(path string) time.Duration {
	return time.Duration(min(v.floatWithin(path, 0, 0, math.MaxInt64), math.MaxInt64/2))
}

// word reads one of a few words; none at all is "".
func (v *values) word(path string, words ...string) string {
	value := v.texts[path]
	if value != "" && !slices.Contains(words, value) {
		v.wrong(path, "one of "+strings.Join(words, ", "))
	}
	return value
}

// list reads a list of simple values.
func (v *values) list(path string) []string {
	if v.texts[path] == "" {
		return nil
	}
	return strings.Split(v.texts[path], ",")
}

// integers reads a list of whole numbers.
func (v *values) integers(path string) (out []int) {
	for _, text := range v.list(path) {
		value, err := strconv.Atoi(text)
		if err != nil {
			v.invalid(path, text)
		}
		out = append(out, value)
	}
	return out
}
