package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
)

// heartbeatInterval is how often a server tells a client that waits for an answer that it is alive. Several fit into
// the client's silenceLimit.
const heartbeatInterval = 700 * time.Millisecond

// heartbeatLine is an answer to no call; clients ignore it.
var heartbeatLine = []byte("{\"id\":0}\n")

// serverConnection is one client's connection.
type serverConnection struct {
	server    *Server
	stream    net.Conn
	writer    *frameWriter
	remote    string
	ctx       context.Context // ends with the connection
	cancel    context.CancelFunc
	closeOnce sync.Once

	mutex     sync.Mutex
	active    int // calls being received or carried out
	closed    bool
	beating   bool // the heartbeat timer is running
	heartbeat *time.Timer
}

func newServerConnection(server *Server, stream net.Conn) *serverConnection {
	ctx, cancel := context.WithCancel(context.Background())
	connection := &serverConnection{
		server: server,
		stream: stream,
		remote: stream.RemoteAddr().String(),
		ctx:    ctx,
		cancel: cancel,
	}
	connection.writer = &frameWriter{destination: stream, failed: func(error) { connection.close() }}
	return connection
}

// serve reads calls until the connection ends.
func (c *serverConnection) serve() {
	defer c.close()
	reader := newFrameReader(c.stream)
	for {
		if err := c.receive(reader); err != nil {
			c.logEnd(err)
			return
		}
	}
}

// receive reads one call and has it carried out.
func (c *serverConnection) receive(reader *frameReader) error {
	line, err := reader.readLine()
	if err != nil {
		return err
	}
	var request incomingRequest
	if err := json.Unmarshal(line, &request); err != nil {
		return err
	}
	c.begin()
	body, err := reader.readBody(request.Body)
	if err != nil {
		c.end()
		return err
	}
	call := &Call{Method: request.Method, Params: request.Params, Body: body, RemoteAddress: c.remote}
	c.server.dispatch(job{connection: c, id: request.ID, call: call})
	return nil
}

// answer carries out a call and sends its answer.
func (c *serverConnection) answer(received job) {
	defer c.end()
	result, body, err := c.call(received.call)
	if err == nil {
		err = checkBodyLength(len(body))
	}
	frame := outgoingAnswer{ID: received.id, Result: result, Body: len(body)}
	if err != nil {
		frame, body = failure(received.id, err), nil
	}
	line, err := encodeLine(frame)
	if err != nil {
		body = nil
		line, err = encodeLine(failure(received.id, err))
	}
	if err != nil {
		c.logEnd(err)
		c.close()
		return
	}
	_, _ = c.writer.send(nil, line, body) // it fails only when the connection has ended
}

func (c *serverConnection) call(call *Call) (result any, body []byte, err error) {
	handler := c.server.handler(call.Method)
	if handler == nil {
		return nil, nil, &Error{Code: CodeUnknownMethod, Message: call.Method}
	}
	return handler(c.ctx, call)
}

// failure is the answer to a call that failed.
func failure(id uint64, err error) outgoingAnswer {
	var reported *Error
	if !errors.As(err, &reported) {
		reported = &Error{Code: CodeInternal, Message: err.Error()}
	}
	return outgoingAnswer{ID: id, Error: reported}
}

// begin counts a call, and starts heartbeats where none run.
func (c *serverConnection) begin() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active++
	if c.beating || c.closed {
		return
	}
	c.beating = true
	if c.heartbeat == nil {
		c.heartbeat = time.AfterFunc(heartbeatInterval, c.beat)
		return
	}
	c.heartbeat.Reset(heartbeatInterval)
}

func (c *serverConnection) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active--
}

// beat sends a heartbeat while calls are being carried out.
func (c *serverConnection) beat() {
	c.mutex.Lock()
	c.beating = c.active > 0 && !c.closed
	beating := c.beating
	if beating {
		c.heartbeat.Reset(heartbeatInterval)
	}
	c.mutex.Unlock()
	if beating {
		c.writer.offerIfIdle(heartbeatLine)
	}
}

// close ends the connection and the contexts of its calls.
func (c *serverConnection) close() {
	c.closeOnce.Do(func() {
		c.cancel()
		c.writer.close()
		_ = c.stream.Close()
		c.stopHeartbeat()
		c.server.removeConnection(c)
	})
}

func (c *serverConnection) stopHeartbeat() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	if c.heartbeat != nil {
		c.heartbeat.Stop()
	}
}

// logEnd logs why a connection ended, where it is more than the client's leaving.
func (c *serverConnection) logEnd(err error) {
	var networkError net.Error
	if c.ctx.Err() != nil || errors.Is(err, io.EOF) || errors.As(err, &networkError) {
		return
	}
	c.server.logger.Warn("connection closed", zap.String("remote", c.remote), zap.Error(err))
}
