package instance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// chunkOf writes a text as one chunk.
func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// chunkedHead is the head of an answer whose body is in chunks.
const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// doneChunk is the last line of an answer, in a chunk.
func doneChunk(id string) string {
	return chunkOf(fmt.Sprintf(`{"id":%q,"from":"w","state":"done","result":"of %s"}`+"\n", id, id))
}

// answerDone answers a worker's request completely.
func answerDone(c net.Conn, id string) { io.WriteString(c, chunkedHead+doneChunk(id)+"0\r\n\r\n") }

// readRequest reads the next request at a worker, and gives its id.
func (r *fixture) readRequest(c net.Conn) string {
	r.t.Helper()
	c.SetReadDeadline(time.Now().Add(bound))
	in := bufio.NewReaderSize(c, 256<<10)
	req, err := http.ReadRequest(in)
	if err != nil {
		r.t.Fatalf("a worker got no request: %v", err)
	}
	io.Copy(io.Discard, req.Body)
	if in.Buffered() > 0 {
		r.t.Errorf("more than one request has come on a connection")
	}
	return req.Header.Get("X-Request-ID")
}

// waitIdle waits until a connection is in the pool again.
func (r *fixture) waitIdle(idle int) {
	r.t.Helper()
	r.waitUntil("an idle connection", func() bool { n, _ := r.transport.ConnectionCounts(); return n == idle })
}
