package ctxtime

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSleepEndsAfterTheDurationOrWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		started := time.Now()
		assert.Assert(t, Sleep(ctx, time.Second))
		assert.Equal(t, time.Since(started), time.Second)
		assert.Assert(t, Sleep(ctx, -time.Second))
		time.AfterFunc(time.Second, cancel)
		assert.Assert(t, !Sleep(ctx, time.Hour))
		assert.Equal(t, time.Since(started), 2*time.Second)
		assert.Assert(t, !Sleep(ctx, 0), "the context has ended")
	})
}
