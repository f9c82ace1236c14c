package configuration

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// number is a decimal number: its digits, without leading and trailing zeros, times ten to the exponent.
type number struct {
	negative bool
	digits   string
	exponent int64
}

// canonicalNumber returns the same value for every spelling of a number, such as 90, 90.0 and 9e1. All digits count;
// exponents saturate at maxExponent.
func canonicalNumber(text string) number {
	mantissa, exponentText, _ := strings.Cut(strings.ToLower(text), "e")
	negative := strings.HasPrefix(mantissa, "-")
	integral, fraction, _ := strings.Cut(strings.TrimPrefix(mantissa, "-"), ".")
	digits := strings.TrimLeft(integral+fraction, "0")
	if digits == "" {
		return number{}
	}
	exponent := parseExponent(exponentText) - int64(len(fraction))
	trimmed := strings.TrimRight(digits, "0")
	exponent += int64(len(digits) - len(trimmed))
	return number{negative: negative, digits: trimmed, exponent: exponent}
}

// maxExponent is far above any exponent of practical use.
const maxExponent = math.MaxInt32

// parseExponent parses an exponent, which is 0 if the text is empty. The result saturates at ±maxExponent.
func parseExponent(text string) int64 {
	if text == "" {
		return 0
	}
	exponent, err := strconv.ParseInt(text, 10, 64)
	if err != nil && strings.HasPrefix(text, "-") {
		return -maxExponent
	}
	if err != nil {
		return maxExponent
	}
	return min(max(exponent, -maxExponent), maxExponent)
}

// toDuration converts a number of the given unit. The result saturates at math.MaxInt64, and is at least 1 ns for a
// value above 0.
func toDuration(value float64, unit time.Duration) time.Duration {
	nanoseconds := math.Round(value * float64(unit))
	if nanoseconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	if value > 0 && nanoseconds < 1 {
		return 1
	}
	return time.Duration(nanoseconds)
}

// toInteger truncates a number to an integer. The result saturates at math.MaxInt32.
func toInteger(value float64) int {
	if value >= math.MaxInt32 {
		return math.MaxInt32
	}
	return int(value)
}

// valueOr returns the value of an optional field, or the fallback if the field is absent.
func valueOr[Value any](field *Value, fallback Value) Value {
	if field == nil {
		return fallback
	}
	return *field
}
