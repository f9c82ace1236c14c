package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := startFront(t)
		client := running.dial(t)

		chunked := "POST /plain/2 HTTP/1.1\r\nHost: " + testHost + "\r\nX-Request-Id: r2\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
		client.send(t, messageText("/plain/1", "one")+chunked+messageText("/plain/3", ""))
		client.send(t, "GET /api/message/0-1 HTTP/1.1\r\nHost: "+testHost+"\r\n\r\n")

		for i := 1; i <= 3; i++ {
			got := client.receive(t)
			assert.Equal(t, got.status, http.StatusAccepted)
			assert.Equal(t, got.header.Get(headerMessageID), fmt.Sprintf("0-%d", i))
			assert.Equal(t, got.body, "")
			assert.Equal(t, got.closes, false)
		}
		assert.Equal(t, client.receive(t).body, `{"state":"queued"}`)
		puts := running.messages.recorded()
		assert.Equal(t, puts[0].body, "one")
		assert.Equal(t, puts[1].body, "abcde")
		assert.Equal(t, puts[2].body, "")
	})
}

func TestAbsoluteFormTargetLosesSchemeAndHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := startFront(t)
		client := running.dial(t)
		client.send(t, "POST http://"+testHost+"/plain/a%2fb?c HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n\r\n")
		assert.Equal(t, client.receive(t).status, http.StatusAccepted)
		assert.Equal(t, running.messages.recorded()[0].submission.Message.Target, "/plain/a%2fb?c")
	})
}

func TestTargetsWithoutPathHaveNoRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := startFront(t)
		client := running.dial(t)
		for _, line := range []string{"OPTIONS *", "CONNECT " + testHost + ":443"} {
			client.send(t, line+" HTTP/1.1\r\nHost: "+testHost+"\r\nX-Request-Id: r1\r\n\r\n")
			assert.Equal(t, client.receive(t).status, http.StatusNotFound, line)
		}
	})
}

func TestPutEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := startFront(t)
		running.messages.callTime = time.Hour
		client := running.dial(t)
		start := time.Now()
		client.send(t, "GET /plain/1 HTTP/1.1\r\nHost: "+testHost+"\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 700\r\n\r\n")
		assert.Equal(t, client.receive(t).status, http.StatusBadGateway)
		elapsed := time.Since(start)
		assert.Assert(t, elapsed >= 700*time.Millisecond && elapsed < 720*time.Millisecond, "took %v", elapsed)
	})
}

func TestSlowBodyTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := startFront(t)
		client := running.dial(t)
		text := messageText("/plain/1", "complete")
		client.send(t, text[:len(text)-1])
		time.Sleep(bodyTimeout / 2)
		client.send(t, text[len(text)-1:])
		assert.Equal(t, client.receive(t).status, http.StatusAccepted)

		client.send(t, text[:len(text)-1])
		got := client.receive(t)
		assert.Equal(t, got.status, http.StatusRequestTimeout)
		assert.Equal(t, got.closes, true)
		client.assertClosed(t)
		assert.Equal(t, len(running.messages.recorded()), 1)
	})
}

func TestBodyDeadlineDoesNotEndLongPut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := startFront(t)
		running.messages.callTime = maxPutTimeout - time.Second
		client := running.dial(t)
		text := messageText("/plain/1", "complete")
		text = strings.Replace(text, "\r\n", "\r\nX-Deadline-Ms: 60000\r\n", 1)
		client.send(t, text[:len(text)-1])
		time.Sleep(500 * time.Millisecond)
		client.send(t, text[len(text)-1:])
		assert.Equal(t, client.receive(t).status, http.StatusAccepted)
	})
}

func TestOversizedBodyIsRejectedBeforeItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := startFront(t)
		client := running.dial(t)
		start := time.Now()
		client.send(t, fmt.Sprintf("POST /plain/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r1\r\nContent-Length: %d\r\n\r\n",
			testHost, maxBody+1))
		got := client.receive(t)
		assert.Equal(t, got.status, http.StatusRequestEntityTooLarge)
		assert.Equal(t, got.closes, true)
		assert.Assert(t, time.Since(start) < time.Second)
	})
}

func TestOversizedHeaderIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := startFront(t)
		for _, size := range []int{maxHeader, 64 << 10} {
			client := running.dial(t)
			client.send(t, "GET /plain/1 HTTP/1.1\r\nHost: "+testHost+"\r\nX-Request-Id: r1\r\nX-Fill: "+
				strings.Repeat("f", size)+"\r\n\r\n")
			assert.Equal(t, client.receive(t).status, http.StatusRequestHeaderFieldsTooLarge)
		}
	})
}

// partialHeader is a request with an incomplete header.
const partialHeader = "GET /plain/1 HTTP/1.1\r\nHost: x"

func TestHeaderAndIdleTimeoutsFollowTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := startFront(t)
		before := running.dial(t)
		assertCloses(t, before, partialHeader, 3*time.Second)

		limits := testLimits()
		limits.HeaderTimeout = 1000
		limits.IdleTimeout = 5000
		running.table.Store(newTable(t, limits))

		assertCloses(t, running.dial(t), partialHeader, time.Second)
		idle := running.dial(t)
		idle.send(t, messageText("/plain/1", "x"))
		assert.Equal(t, idle.receive(t).status, http.StatusAccepted)
		assertCloses(t, idle, "", 5*time.Second)
	})
}

// assertCloses sends a text and checks that the front closes the connection after the given time, within 50 ms.
func assertCloses(t *testing.T, client *clientConnection, text string, after time.Duration) {
	t.Helper()
	start := time.Now()
	client.send(t, text)
	client.assertClosed(t)
	elapsed := time.Since(start)
	assert.Assert(t, elapsed > after-50*time.Millisecond && elapsed < after+50*time.Millisecond, "took %v", elapsed)
}

func TestEndOfContextClosesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := startFront(t)
		client := running.dial(t)
		client.send(t, messageText("/plain/1", "x"))
		assert.Equal(t, client.receive(t).status, http.StatusAccepted)
		running.stop()
		assert.NilError(t, <-running.served)
		client.assertClosed(t)
	})
}

func TestDrainAnswersRequestsBeforeClosing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := startFront(t)
		idle, reused, busy := running.dial(t), running.dial(t), running.dial(t)
		for _, client := range []*clientConnection{idle, reused} {
			client.send(t, messageText("/plain/1", "x"))
			assert.Equal(t, client.receive(t).closes, false)
		}
		drained := make(chan error, 1)
		start := time.Now()
		go func() { drained <- running.front.Drain(context.Background()) }()
		synctest.Wait()
		assert.Equal(t, running.front.Ready(), false)

		// During DrainAcceptDuration the front serves requests on open and on new connections.
		for _, client := range []*clientConnection{reused, running.dial(t)} {
			client.send(t, messageText("/plain/1", "x"))
			got := client.receive(t)
			assert.Equal(t, got.status, http.StatusAccepted)
			assert.Equal(t, got.closes, true)
			client.assertClosed(t)
		}

		// A request that is still in progress when the listener closes gets its response.
		running.messages.callTime = 1900 * time.Millisecond
		time.Sleep(time.Until(start.Add(defaultDrainAcceptDuration - time.Second)))
		busy.send(t, messageText("/plain/1", "x"))
		idle.assertClosed(t)
		assert.Assert(t, time.Since(start) >= defaultDrainAcceptDuration)
		assert.NilError(t, <-running.served)
		_, err := running.client.Dial(t.Context(), frontAddress)
		assert.Assert(t, err != nil)
		got := busy.receive(t)
		assert.Equal(t, got.status, http.StatusAccepted)
		assert.Equal(t, got.closes, true)
		busy.assertClosed(t)
		assert.NilError(t, <-drained)
	})
}

func TestDrainWaitsForRestOfBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := startFront(t)
		client := running.dial(t)
		text := messageText("/plain/1", "complete")
		client.send(t, text[:len(text)-1])
		drained := make(chan error, 1)
		go func() { drained <- running.front.Drain(context.Background()) }()
		time.Sleep(defaultDrainAcceptDuration + 500*time.Millisecond)
		client.send(t, text[len(text)-1:])
		assert.Equal(t, client.receive(t).status, http.StatusAccepted)
		assert.NilError(t, <-drained)
		assert.Equal(t, running.messages.recorded()[0].body, "complete")
	})
}

func TestDrainFailsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := startFront(t)
		running.messages.callTime = 1900 * time.Millisecond
		client := running.dial(t)
		ctx, cancel := context.WithTimeout(context.Background(), defaultDrainAcceptDuration+200*time.Millisecond)
		defer cancel()
		drained := make(chan error, 1)
		go func() { drained <- running.front.Drain(ctx) }()
		time.Sleep(defaultDrainAcceptDuration - 100*time.Millisecond)
		client.send(t, messageText("/plain/1", "x"))
		assert.ErrorIs(t, <-drained, context.DeadlineExceeded)
		assert.Equal(t, client.receive(t).status, http.StatusAccepted)
	})
}
