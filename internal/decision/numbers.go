package decision

import (
	"math"
	"time"
)

// longAgo is a time before any event.
const longAgo time.Duration = math.MinInt64 / 2

// decay is the part that is left, after an age, of what falls by a factor e in each span.
func decay(age, span time.Duration) float64 {
	return math.Exp(-age.Seconds() / span.Seconds())
}

// seconds turns a number of seconds into a duration.
func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

// count is 1 if the condition holds, else 0.
func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
