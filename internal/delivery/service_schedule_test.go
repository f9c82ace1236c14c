package delivery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestScheduleRunsOnlyDueServices(t *testing.T) {
	var schedule serviceSchedule
	services := make([]*service, 100)
	for i := range services {
		services[i] = &service{nextRun: never, scheduleIndex: -1}
		schedule.setNextRun(services[i], time.Duration(i+1)*time.Second)
	}
	assert.Equal(t, schedule.nextDue(0), time.Second)
	assert.Equal(t, len(schedule.takeDue(0)), 0)
	schedule.markDirty(services[50])
	schedule.markDirty(services[50])
	assert.Equal(t, schedule.nextDue(0), time.Duration(0))
	assert.Equal(t, len(schedule.takeDue(0)), 1)
	assert.Equal(t, len(schedule.takeDue(10*time.Second)), 10)
	schedule.setNextRun(services[0], 90*time.Second)
	schedule.setNextRun(services[10], 5*time.Second)
	schedule.remove(services[11])
	assert.Equal(t, schedule.nextDue(10*time.Second), 5*time.Second)
	assert.Equal(t, len(schedule.takeDue(time.Hour)), 90)
	assert.Equal(t, schedule.nextDue(time.Hour), never)
}
