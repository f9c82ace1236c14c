package delivery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestScheduleRunsServicesThatNeedIt(t *testing.T) {
	var a serviceSchedule
	services := make([]*service, 100)
	for i := range services {
		services[i] = &service{nextRun: never, scheduleIndex: -1}
		a.setNextRun(services[i], time.Duration(i+1)*time.Second)
	}
	assert.Equal(t, a.nextDue(0), time.Second)
	assert.Equal(t, len(a.takeDue(0)), 0)
	a.markDirty(services[50])
	a.markDirty(services[50])
	assert.Equal(t, a.nextDue(0), time.Duration(0))
	assert.Equal(t, len(a.takeDue(0)), 1)
	assert.Equal(t, len(a.takeDue(10*time.Second)), 10)
	a.setNextRun(services[0], 90*time.Second)
	a.setNextRun(services[10], 5*time.Second)
	a.remove(services[11])
	assert.Equal(t, a.nextDue(10*time.Second), 5*time.Second)
	assert.Equal(t, len(a.takeDue(time.Hour)), 90)
	assert.Equal(t, a.nextDue(time.Hour), never)
}
