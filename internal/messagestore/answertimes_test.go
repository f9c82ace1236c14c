package messagestore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSilenceBeforeAnyAnswer(t *testing.T) {
	var times answerTimes
	assert.Equal(t, times.silence(), initialSilence)
}

func TestSilenceFollowsQuickAnswers(t *testing.T) {
	var times answerTimes
	for range 100 {
		times.note(5 * time.Millisecond)
	}
	assert.Equal(t, times.silence(), shortestSilence)
}

func TestSilenceGrowsWithSlowAndUnevenAnswers(t *testing.T) {
	var even, uneven answerTimes
	for i := range 100 {
		even.note(70 * time.Millisecond)
		uneven.note(time.Duration(65+10*(i%2)) * time.Millisecond)
	}
	assert.Assert(t, even.silence() >= 70*time.Millisecond && even.silence() < 75*time.Millisecond, "%v", even.silence())
	assert.Assert(t, uneven.silence() > 90*time.Millisecond && uneven.silence() < 110*time.Millisecond, "%v", uneven.silence())
}

func TestSilenceIsBounded(t *testing.T) {
	var times answerTimes
	for range 100 {
		times.note(time.Second)
	}
	assert.Equal(t, times.silence(), initialSilence)
}
