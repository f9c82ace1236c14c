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

// jobHead begins a job's request with a body of so many bytes.
func jobHead(id, class string, wait time.Duration, body int) string {
	key := ""
	if class == "enrol" {
		key = "Idempotency-Key: k-" + id + "\r\n"
	}
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: b\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: univ-gaspesie\r\n"+
		"X-Timeout: %.3f\r\n%sContent-Length: %d\r\n\r\n", class, id, class, wait.Seconds(), key, body)
}

// jobRequest is a complete job.
func jobRequest(id string) string { return jobHead(id, "seat-check", 5*time.Second, 2) + "go" }

// chunkedJob writes a job's body in chunks: where it ends the head does not say.
func chunkedJob(job string) string {
	return strings.Replace(strings.TrimSuffix(job, "go"), "Content-Length: 2", "Transfer-Encoding: chunked", 1) + chunkOf("go") + "0\r\n\r\n"
}

// client is a connection of a client.
type client struct {
	*net.TCPConn
	in *bufio.Reader
	t  *testing.T
}

// newClient opens a client's connection.
func (r *fixture) newClient() *client {
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &client{c.(*net.TCPConn), bufio.NewReader(c), r.t}
}

// send writes a text; an error fails the test, which goes on.
func (c *client) send(text string) {
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Error(err)
	}
}

// readAnswer reads one answer: its status and body, and whether it closes; or the error in its place.
func (c *client) readAnswer() string {
	c.SetReadDeadline(time.Now().Add(bound))
	resp, err := http.ReadResponse(c.in, nil)
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
