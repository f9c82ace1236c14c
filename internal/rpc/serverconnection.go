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

// serverConnection is a client's connection. The goroutine of serve reads requests from it, and workers write responses
// to it.
type serverConnection struct {
	server        *Server
	stream        net.Conn
	writer        *frameWriter
	remoteAddress string
	ctx           context.Context // ends with the connection
	cancel        context.CancelFunc
	closeOnce     sync.Once

	mutex            sync.Mutex // guards the fields below
	activeCalls      int        // calls being received or executed
	closed           bool
	heartbeatRunning bool        // the timer is set
	heartbeatTimer   *time.Timer // nil before the first call
}

func newServerConnection(server *Server, stream net.Conn) *serverConnection {
	ctx, cancel := context.WithCancel(context.Background())
	connection := &serverConnection{
		server:        server,
		stream:        stream,
		remoteAddress: stream.RemoteAddr().String(),
		ctx:           ctx,
		cancel:        cancel,
	}
	connection.writer = &frameWriter{destination: stream, onFailure: func(error) { connection.close() }}
	return connection
}

// serve reads calls until the connection ends. It runs in its own goroutine.
func (c *serverConnection) serve() {
	defer c.close()
	reader := newFrameReader(c.stream)
	for {
		if err := c.receive(reader); err != nil {
			c.logFailure(err)
			return
		}
	}
}

// receive reads one call and dispatches it to a worker.
func (c *serverConnection) receive(reader *frameReader) error {
	line, err := reader.readLine()
	if err != nil {
		return err
	}
	var request incomingRequest
	if err := json.Unmarshal(line, &request); err != nil {
		return err
	}
	c.beginCall()
	body, err := reader.readBody(request.Body)
	if err != nil {
		c.endCall()
		return err
	}
	call := &Call{Method: request.Method, Params: request.Params, Body: body, RemoteAddress: c.remoteAddress}
	c.server.dispatch(receivedCall{connection: c, id: request.ID, call: call})
	return nil
}

// respond executes a call and sends its response. If the result can't be encoded or the body is too long, the response
// is an error.
func (c *serverConnection) respond(received receivedCall) {
	defer c.endCall()
	result, body, err := c.invoke(received.call)
	if err == nil {
		err = checkBodyLength(len(body))
	}
	frame := outgoingResponse{ID: received.id, Result: result, Body: len(body)}
	if err != nil {
		frame, body = errorResponse(received.id, err), nil
	}
	line, err := encodeLine(frame)
	if err != nil {
		body = nil
		line, err = encodeLine(errorResponse(received.id, err))
	}
	if err != nil {
		c.logFailure(err)
		c.close()
		return
	}
	_, _ = c.writer.send(nil, line, body) // fails only if the connection is closed
}

// invoke runs the handler of a call.
func (c *serverConnection) invoke(call *Call) (result any, body []byte, err error) {
	handler := c.server.handler(call.Method)
	if handler == nil {
		return nil, nil, &Error{Code: CodeUnknownMethod, Message: call.Method}
	}
	return handler(c.ctx, call)
}

// errorResponse returns the response to a call that failed with err.
func errorResponse(id uint64, err error) outgoingResponse {
	var reported *Error
	if !errors.As(err, &reported) {
		reported = &Error{Code: CodeInternal, Message: err.Error()}
	}
	return outgoingResponse{ID: id, Error: reported}
}

// close closes the connection and cancels the contexts of its calls. It does nothing if the connection is already
// closed.
func (c *serverConnection) close() {
	c.closeOnce.Do(func() {
		c.cancel()
		c.writer.close()
		_ = c.stream.Close()
		c.stopHeartbeat()
		c.server.removeConnection(c)
	})
}

// logFailure logs why the connection failed. It ignores the close by either end and errors of the network.
func (c *serverConnection) logFailure(err error) {
	var networkError net.Error
	if c.ctx.Err() != nil || errors.Is(err, io.EOF) || errors.As(err, &networkError) {
		return
	}
	c.server.logger.Warn("connection closed", zap.String("remote", c.remoteAddress), zap.Error(err))
}
