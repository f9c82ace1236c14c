package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/network"
	"gladepick/internal/network/simulated"
)

// Each golden file under testdata contains the bytes of one request or response, as a client or a server sends them.
// Every later version must send the same bytes and read these files. The flag -update generates the files; never edit
// them.

// goldenCase is one call. Its request and its response are the golden files NAME.request and NAME.response.
type goldenCase struct {
	name   string
	method string
	params any
	body   []byte
	code   Code // expected code of the call's error; "" if the call succeeds
}

// goldenParams contains values that JSON encoders may encode in different ways.
type goldenParams struct {
	Text   string            `json:"text"`
	Figure float64           `json:"figure"`
	Map    map[string]uint64 `json:"map"`
	Absent *int              `json:"absent"`
}

var (
	goldenValue = goldenParams{Text: "<a & b>\u2028\"ü\"", Figure: 1e21, Map: map[string]uint64{"z": 1, "a": 1<<64 - 1}}
	goldenBody  = []byte("line\n{\"id\":7}\n\x00\xff")
)

var goldenCases = []goldenCase{
	{name: "empty", method: "empty"},
	{name: "result", method: "echo", params: goldenValue},
	{name: "body", method: "echo", body: goldenBody},
	{name: "result-and-body", method: "echo", params: goldenValue, body: goldenBody},
	{name: "heartbeat", method: "sleep", params: number{Value: 1600}},
	{name: "error-not-leader", method: "fail", params: CodeNotLeader, code: CodeNotLeader},
	{name: "error-unavailable", method: "fail", params: CodeUnavailable, code: CodeUnavailable},
	{name: "error-not-found", method: "fail", params: CodeNotFound, code: CodeNotFound},
	{name: "error-invalid", method: "fail", params: CodeInvalid, code: CodeInvalid},
	{name: "error-conflict", method: "fail", params: CodeConflict, body: goldenBody, code: CodeConflict},
	{name: "error-internal", method: "break", code: CodeInternal},
	{name: "error-unknown-method", method: "absent", code: CodeUnknownMethod},
}

// startGolden starts a server with the methods of the golden calls.
func startGolden(t *testing.T, host network.Network) {
	t.Helper()
	server := NewServer(zap.NewNop())
	server.Handle("empty", func(context.Context, *Call) (any, []byte, error) { return nil, nil, nil })
	server.Handle("sleep", sleep)
	server.Handle("double", double)
	server.Handle("echo", func(_ context.Context, call *Call) (any, []byte, error) {
		if call.Params == nil {
			return nil, call.Body, nil
		}
		return call.Params, call.Body, nil
	})
	server.Handle("fail", func(_ context.Context, call *Call) (any, []byte, error) {
		var code Code
		if err := call.Decode(&code); err != nil {
			return nil, nil, err
		}
		return nil, nil, &Error{Code: code, Message: "the reason, <c2>"}
	})
	server.Handle("break", func(context.Context, *Call) (any, []byte, error) {
		return nil, goldenBody, errors.New("disk is full")
	})
	listener, err := host.Listen(serverAddress)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	go func() { _ = server.Serve(listener) }()
}

// recordingNetwork records the bytes of the connections that are dialed through it.
type recordingNetwork struct {
	network.Network

	mutex    sync.Mutex
	sent     bytes.Buffer
	received bytes.Buffer
}

func (n *recordingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &recordedConnection{Conn: connection, record: n}, nil
}

type recordedConnection struct {
	net.Conn
	record *recordingNetwork
}

func (c *recordedConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.record.mutex.Lock()
	defer c.record.mutex.Unlock()
	c.record.received.Write(buffer[:count])
	return count, err
}

func (c *recordedConnection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.record.mutex.Lock()
	defer c.record.mutex.Unlock()
	c.record.sent.Write(data[:count])
	return count, err
}

// call makes the call of the case and checks its result.
func (c goldenCase) call(t *testing.T, client *Client) {
	t.Helper()
	var result json.RawMessage
	body, err := client.Call(t.Context(), c.method, c.params, c.body, &result)
	assert.Equal(t, CodeOf(err), c.code, "%v", err)
	if c.code != "" {
		assert.Equal(t, len(body), 0)
		return
	}
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(body, c.body))
	if c.params != nil {
		want, err := json.Marshal(c.params)
		assert.NilError(t, err)
		assert.Equal(t, string(result), string(want))
	}
}

func TestGoldenFramesAreWritten(t *testing.T) {
	for _, test := range goldenCases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simNetwork := simulated.New(1)
				startGolden(t, simNetwork.Host(serverIP))
				recording := &recordingNetwork{Network: simNetwork.Host(clientIP)}
				client := NewClient(recording, serverAddress)
				defer client.Close()
				test.call(t, client)
				recording.mutex.Lock()
				defer recording.mutex.Unlock()
				golden.AssertBytes(t, recording.sent.Bytes(), test.name+".request")
				golden.AssertBytes(t, recording.received.Bytes(), test.name+".response")
			})
		})
	}
}

func TestServerAnswersGoldenRequests(t *testing.T) {
	for _, test := range goldenCases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simNetwork := simulated.New(1)
				startGolden(t, simNetwork.Host(serverIP))
				connection, err := simNetwork.Host(clientIP).Dial(t.Context(), serverAddress)
				assert.NilError(t, err)
				defer connection.Close()
				_, err = connection.Write(golden.Get(t, test.name+".request"))
				assert.NilError(t, err)
				received := make([]byte, len(golden.Get(t, test.name+".response")))
				_, err = io.ReadFull(connection, received)
				assert.NilError(t, err)
				golden.AssertBytes(t, received, test.name+".response")
			})
		})
	}
}

func TestClientReadsGoldenResponses(t *testing.T) {
	for _, test := range goldenCases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simNetwork := simulated.New(1)
				listener, err := simNetwork.Host(serverIP).Listen(serverAddress)
				assert.NilError(t, err)
				defer listener.Close()
				var answering sync.WaitGroup
				defer answering.Wait()
				answering.Go(func() {
					answerWith(listener, len(golden.Get(t, test.name+".request")), golden.Get(t, test.name+".response"))
				})
				client := NewClient(simNetwork.Host(clientIP), serverAddress)
				defer client.Close()
				test.call(t, client)
			})
		})
	}
}

// answerWith reads a request of requestLength bytes from the first connection, and writes a response. It returns when
// the client closes the connection.
func answerWith(listener net.Listener, requestLength int, response []byte) {
	connection, err := listener.Accept()
	if err != nil {
		return
	}
	defer connection.Close()
	if _, err := io.ReadFull(connection, make([]byte, requestLength)); err != nil {
		return
	}
	_, _ = connection.Write(response)
	_, _ = io.Copy(io.Discard, connection)
}
