package simadapter

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// values is a parsed settings text. Its methods return the value of a path; the first error is stored in err.
type values struct {
	texts map[string]string // by path
	err   error
}

// newValues parses the path=value lines of a settings text. It ignores other lines.
func newValues(text string) *values {
	v := &values{texts: make(map[string]string)}
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			v.texts[path] = value
		}
	}
	return v
}

// invalid sets the error of a value that cannot be parsed.
func (v *values) invalid(path, text string) {
	if v.err == nil {
		v.err = fmt.Errorf("setting %s: %q is not valid", path, text)
	}
}

// outOfBounds sets the error of a value that is not as described by want.
func (v *values) outOfBounds(path, want string) {
	if v.err == nil {
		v.err = fmt.Errorf("setting %s: %q is not %s", path, v.texts[path], want)
	}
}

// parseValue returns the parsed value of a path, or defaultValue if the text is missing, empty or invalid.
func parseValue[T any](v *values, path string, defaultValue T, parse func(string) (T, error)) T {
	text := v.texts[path]
	if text == "" {
		return defaultValue
	}
	value, err := parse(text)
	if err != nil {
		v.invalid(path, text)
		return defaultValue
	}
	return value
}

// float returns a finite number.
func (v *values) float(path string, defaultValue float64) float64 {
	return parseValue(v, path, defaultValue, func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
			err = strconv.ErrRange
		}
		return value, err
	})
}

// floatWithin returns a number that must be from least to most.
func (v *values) floatWithin(path string, defaultValue, least, most float64) float64 {
	value := v.float(path, defaultValue)
	if v.texts[path] != "" && !(value >= least && value <= most) {
		v.outOfBounds(path, fmt.Sprintf("in %g to %g", least, most))
	}
	return value
}

// integer returns a non-negative integer, 0 by default.
func (v *values) integer(path string) int {
	value := parseValue(v, path, 0, strconv.Atoi)
	if v.texts[path] != "" && value < 0 {
		v.outOfBounds(path, "0 or more")
	}
	return value
}

// flag returns a boolean, false by default.
func (v *values) flag(path string) bool { return parseValue(v, path, false, strconv.ParseBool) }

// duration returns a number of nanoseconds, which may be written as a float and is limited to half the range of
// time.Duration.
func (v *values) duration(path string) time.Duration {
	return time.Duration(min(v.floatWithin(path, 0, 0, math.MaxInt64), math.MaxInt64/2))
}

// word returns a value that must be one of words, "" by default.
func (v *values) word(path string, words ...string) string {
	value := v.texts[path]
	if value != "" && !slices.Contains(words, value) {
		v.outOfBounds(path, "one of "+strings.Join(words, ", "))
	}
	return value
}

// list returns the elements of a comma-separated list.
func (v *values) list(path string) []string {
	if v.texts[path] == "" {
		return nil
	}
	return strings.Split(v.texts[path], ",")
}

// integers returns the elements of a comma-separated list of integers.
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
