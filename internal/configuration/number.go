package configuration

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// number is a decimal number: the digits, without zeros at their ends, times ten to the exponent.
type number struct {
	negative bool
	digits   string
	exponent int64
}

// canonicalNumber returns the same for all texts of one number. It is exact, whatever the number's size.
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

// maxExponent is far above any exponent that a number may usefully have.
const maxExponent = math.MaxInt32

// parseExponent reads an exponent, which may be empty. It saturates.
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

// toDuration converts a number of some unit. It saturates, and never rounds what is above 0 down to 0.
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

// toInteger converts a number. It saturates at math.MaxInt32, and cuts a fraction off.
func toInteger(value float64) int {
	if value >= math.MaxInt32 {
		return math.MaxInt32
	}
	return int(value)
}

// valueOr returns the value of an optional field.
func valueOr[Value any](field *Value, absent Value) Value {
	if field == nil {
		return absent
	}
	return *field
}
