package rpc

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRefusedDialMeansNotSent(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.network.Kill(serverIP)
		_, err := f.client.Call(t.Context(), "double", number{}, nil, nil)
		assert.ErrorIs(t, err, ErrNotSent)
		f.server.Close()
		f.startServer(t)
		f.assertCallSucceeds(t)
	})
}

func TestTimedOutDialMeansNotSent(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.network.Isolate(clientIP, serverIP)
		started := time.Now()
		_, err := f.client.Call(t.Context(), "double", number{}, nil, nil)
		assert.ErrorIs(t, err, ErrNotSent)
		assert.Equal(t, time.Since(started), dialTimeout)

		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = f.client.Call(ctx, "double", number{}, nil, nil)
		assert.ErrorIs(t, err, ErrNotSent)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		f.network.Heal(clientIP, serverIP)
		f.assertCallSucceeds(t)
	})
}

func TestCallWithEndedContextIsNotSent(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := f.client.Call(ctx, "double", number{}, nil, nil)
		assert.ErrorIs(t, err, ErrNotSent)
		assert.ErrorIs(t, err, context.Canceled)
	})
}

func TestContextEndDuringCallLosesResponse(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.client.Call(ctx, "hang", nil, nil, nil)
		assert.ErrorIs(t, err, ErrResponseLost)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		f.assertCallSucceeds(t)
	})
}

func TestResetDuringCallLosesResponseAndNextCallRedials(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		ended := make(chan error, 1)
		f.server.Handle("notice", func(ctx context.Context, _ *Call) (any, []byte, error) {
			<-ctx.Done()
			ended <- ctx.Err()
			return nil, nil, nil
		})
		failed := make(chan error, 1)
		go func() {
			_, err := f.client.Call(t.Context(), "notice", nil, nil, nil)
			failed <- err
		}()
		time.Sleep(100 * time.Millisecond)
		f.network.Kill(serverIP)
		assert.ErrorIs(t, <-failed, ErrResponseLost)
		assert.ErrorIs(t, <-ended, context.Canceled)
		f.server.Close()
		f.startServer(t)
		f.assertCallSucceeds(t)
	})
}

func TestFramesQueuedBehindStalledWriteAreNotSent(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.assertCallSucceeds(t)
		f.network.Isolate(clientIP, serverIP)
		first, second := make(chan error, 1), make(chan error, 1)
		go func() {
			_, err := f.client.Call(t.Context(), "echo", nil, make([]byte, 200<<10), nil)
			first <- err
		}()
		time.Sleep(100 * time.Millisecond)
		go func() {
			_, err := f.client.Call(t.Context(), "double", number{}, nil, nil)
			second <- err
		}()
		assert.ErrorIs(t, <-first, ErrResponseLost)
		assert.ErrorIs(t, <-second, ErrNotSent)
	})
}

func TestFullQueueBlocksSenders(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.assertCallSucceeds(t)
		f.network.Isolate(clientIP, serverIP)
		for range 3 {
			go func() { _, _ = f.client.Call(t.Context(), "echo", nil, make([]byte, 400<<10), nil) }()
		}
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := f.client.Call(ctx, "echo", nil, make([]byte, 200<<10), nil)
		assert.ErrorIs(t, err, ErrNotSent)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

func TestUnresponsiveServerFailsConnection(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.assertCallSucceeds(t)
		f.network.Isolate(clientIP, serverIP)
		started := time.Now()
		_, err := f.client.Call(t.Context(), "double", number{}, nil, nil)
		assert.ErrorIs(t, err, ErrResponseLost)
		elapsed := time.Since(started)
		assert.Assert(t, elapsed >= unresponsiveTimeout && elapsed <= 2*unresponsiveTimeout, "took %v", elapsed)
		f.network.Heal(clientIP, serverIP)
		f.assertCallSucceeds(t)
	})
}

func TestUnresponsiveServerIsDetectedAcrossShorterCalls(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.assertCallSucceeds(t)
		f.network.Isolate(clientIP, serverIP)
		started := time.Now()
		for {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			_, err := f.client.Call(ctx, "double", number{}, nil, nil)
			cancel()
			if errors.Is(err, ErrNotSent) {
				break
			}
			assert.ErrorIs(t, err, ErrResponseLost)
			assert.Assert(t, time.Since(started) < 3*unresponsiveTimeout)
		}
	})
}

func TestPowerLossOfServerFailsConnection(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.assertCallSucceeds(t)
		f.network.PowerOff(serverIP)
		_, err := f.client.Call(t.Context(), "double", number{}, nil, nil)
		assert.ErrorIs(t, err, ErrResponseLost)
		f.server.Close()
		f.network.PowerOn(serverIP)
		f.startServer(t)
		f.assertCallSucceeds(t)
	})
}

func TestSlowHandlerIsNotUnresponsive(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		var result number
		_, err := f.client.Call(t.Context(), "sleep", number{Value: 60_000}, nil, &result)
		assert.NilError(t, err)
		assert.Equal(t, result.Value, 60_000)
	})
}

func TestIsolationShorterThanTimeoutLosesNoCall(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.assertCallSucceeds(t)
		f.network.Isolate(clientIP, serverIP)
		time.AfterFunc(time.Second, func() { f.network.Heal(clientIP, serverIP) })
		started := time.Now()
		f.assertCallSucceeds(t)
		assert.Assert(t, time.Since(started) >= time.Second)
	})
}

func TestIdleConnectionIsKept(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.assertCallSucceeds(t)
		before := f.client.current
		time.Sleep(time.Hour)
		f.assertCallSucceeds(t)
		assert.Assert(t, f.client.current == before)
	})
}
