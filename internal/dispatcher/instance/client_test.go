package instance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// jobHead returns the head of a job's request, with a time-out of wait and a body of bodyBytes.
func jobHead(id, class string, wait time.Duration, bodyBytes int) string {
	key := ""
	if class == "enrol" {
		key = "Idempotency-Key: k-" + id + "\r\n"
	}
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: b\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: univ-gaspesie\r\n"+
		"X-Timeout: %.3f\r\n%sContent-Length: %d\r\n\r\n", class, id, class, wait.Seconds(), key, bodyBytes)
}

// jobRequest returns a complete request of a job.
func jobRequest(id string) string { return jobHead(id, "seat-check", 5*time.Second, 2) + "go" }

// chunkedJob converts a job's request to one with a chunked body, whose length is not in the head.
func chunkedJob(job string) string {
	return strings.Replace(strings.TrimSuffix(job, "go"), "Content-Length: 2", "Transfer-Encoding: chunked", 1) + chunkOf("go") + "0\r\n\r\n"
}

// testClient is a client with one connection to the dispatcher.
type testClient struct {
	*net.TCPConn
	reader *bufio.Reader
	t      *testing.T
}

// newClient connects a client to the dispatcher.
func (f *fixture) newClient() *testClient {
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	return &testClient{conn.(*net.TCPConn), bufio.NewReader(conn), f.t}
}

// send writes a text. An error fails the test but does not end it.
func (c *testClient) send(text string) {
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Error(err)
	}
}

// readAnswer reads one response and returns its status, its body and whether the connection closes, or else the error.
func (c *testClient) readAnswer() string {
	c.SetReadDeadline(time.Now().Add(maxWait))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	text := fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(body)))
	if resp.Close {
		text += " (closes)"
	}
	return text
}
