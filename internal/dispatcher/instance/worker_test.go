package instance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// chunkOf encodes a text as one chunk.
func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// chunkedHead is the head of a response with a chunked body.
const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// doneChunk returns the last line of a response, which holds the result, as one chunk.
func doneChunk(id string) string {
	return chunkOf(fmt.Sprintf(`{"id":%q,"from":"w","state":"done","result":"of %s"}`+"\n", id, id))
}

// answerDone writes a complete response with a result.
func answerDone(c net.Conn, id string) { io.WriteString(c, chunkedHead+doneChunk(id)+"0\r\n\r\n") }

// readRequest reads the next request from a connection to a worker and returns its id.
func (f *fixture) readRequest(conn net.Conn) string {
	f.t.Helper()
	conn.SetReadDeadline(time.Now().Add(maxWait))
	in := bufio.NewReaderSize(conn, 256<<10)
	req, err := http.ReadRequest(in)
	if err != nil {
		f.t.Fatalf("the worker received no request: %v", err)
	}
	io.Copy(io.Discard, req.Body)
	if in.Buffered() > 0 {
		f.t.Errorf("the connection holds more than one request")
	}
	return req.Header.Get("X-Request-ID")
}

// waitIdle waits until the pool holds the given number of idle connections.
func (f *fixture) waitIdle(idle int) {
	f.t.Helper()
	f.waitUntil("the number of idle connections", func() bool { n, _ := f.transport.ConnectionCounts(); return n == idle })
}
