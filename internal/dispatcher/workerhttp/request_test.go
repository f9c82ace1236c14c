package workerhttp_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/golden"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/testenv"
	"gladepick/internal/dispatcher/workerhttp"
)

// recordingConn records what is written to a connection.
type recordingConn struct {
	net.Conn
	text *bytes.Buffer
}

func (c recordingConn) Write(p []byte) (int, error) {
	fmt.Fprintf(c.text, "== a write of %d bytes ==\n%s\n", len(p), p)
	return c.Conn.Write(p)
}

// testdata/request.http holds the bytes that are written to a worker, one write after the other.
func TestRequestBytes(t *testing.T) {
	n := testenv.Node(t, []config.Worker{testenv.Worker("s-00000001", address, "ready")}, "")
	synctest.Test(t, func(t *testing.T) {
		network, workers := &testenv.Network{}, &testenv.WorkerGroup{}
		l := network.Listen(address)
		go workers.Worker(l, "s-00000001")
		var text bytes.Buffer
		f := newFixture(t, n, func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := network.Dial(ctx, address)
			return recordingConn{conn, &text}, err
		})
		for _, j := range []*dispatch.Job{
			{ID: "plain", Target: "/seat-check", Body: []byte("done")},
			{ID: "full", IdempotencyKey: "k", Class: 1, Target: "/enrol/x?y=%20z", Body: []byte("done"), Header: []dispatch.HeaderField{{Name: "Host", Value: "b"},
				{Name: "X-Priority-Class", Value: "enrol"}, {Name: "X-More", Value: "one"}, {Name: "X-More", Value: "two"}}},
		} {
			j.Timeout, j.Slots = 2*time.Second, 1
			answers := make(chan dispatch.Answer, 1)
			j.Reply = func(a dispatch.Answer) { answers <- a }
			if err := f.core.Submit(j); err != nil {
				t.Fatal(err)
			}
			if a := <-answers; a.Kind != dispatch.Served {
				t.Errorf("%s: got answer %v, want kind Served", j.ID, a)
			}
			synctest.Wait()
		}
		golden.AssertBytes(t, text.Bytes(), "request.http")
		f.transport.CloseIdle(config.Worker{Address: address})
		f.stop()
		l.Close()
		time.Sleep(time.Minute)
	})
}

// testdata/lines.txt holds the outcome, load and result of each line of a worker's answer.
func TestMeaningOfAnswerLines(t *testing.T) {
	n := testenv.Node(t, []config.Worker{testenv.Worker("s-00000001", address, "ready")}, "")
	const load = `,"load":{"x0":2.5,"fail_rate":0,"rate":1.5,"q":0}`
	var text bytes.Buffer
	for _, line := range []string{
		`{"id":"j","state":"done","result":"text"` + load + `}`,
		`{"id":"j","state":"done","result":{"a":1}}`,
		`{"id":"j","state":"done"}`,
		`{"id":"j","state":"failed"` + load + `}`,
		`{"id":"j","state":"returned","load":{"x0":1,"eps":2,"qps":3,"queue":4}}`,
		`{"id":"j","state":"returned","load":{"x0":1}}`,
		`{"id":"j","state":"lost"}`,
		`{"id":"j","state":"unheard-of"}`,
		`{"id":"other","state":"done","result":"text"}`,
		`{"id":"j","sta`,
	} {
		a := &dispatch.Attempt{Job: &dispatch.Job{ID: "j"}}
		outcome, load, result := workerhttp.ReadLine(n, a, []byte(line))
		name := "none yet"
		if outcome >= decision.OK && outcome <= decision.NeverSent {
			name = dispatch.OutcomeName(outcome)
		}
		fmt.Fprintf(&text, "%s\n  %s, load %v, result %q\n", line, name, load.Values[:load.Count], result)
	}
	var l workerhttp.AnswerLine
	if err := json.Unmarshal([]byte(`{"id":"a","from":"b","state":"c","share":0.5,"result":1,"load":{}}`), &l); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&text, "%s\n", again)
	golden.AssertBytes(t, text.Bytes(), "lines.txt")
}
