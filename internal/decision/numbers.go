package decision

import (
	"math"
	"time"
)

// longAgo is earlier than the time of any event. Half of the minimum leaves room for subtractions.
const longAgo time.Duration = math.MinInt64 / 2

// decay returns the part that remains after age of a value that falls by a factor of e in each span.
func decay(age, span time.Duration) float64 {
	return math.Exp(-age.Seconds() / span.Seconds())
}

// seconds converts a number of seconds to a duration.
func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// boolToInt returns 1 if the condition holds and 0 otherwise.
func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
