package clienthttp

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// placeholderRequest replaces a rejected head: net/http reads it, and ServeHTTP answers with the reason.
	placeholderRequest = "GET /fault HTTP/1.1\r\nHost: -\r\nConnection: close\r\n\r\n"
	// readBytes is the size of one read of a head, or while watching for the client's close, in bytes.
	readBytes = 2 << 10
	// methodBytes is the number of bytes within which a request's method and the space after it must fit.
	methodBytes = 16
	// delimiters are not allowed in a field name (RFC 9110, section 5.6.2).
	delimiters = "\"(),/:;<=>?@[\\]{}"
)

var headEnd = []byte("\r\n\r\n")

// watchForClose reads from the socket while a request is in progress, to detect that the client disconnects, even
// behind pipelined bytes. It buffers those bytes for the next request, within limits. It returns when the client
// disconnects, when reads are interrupted, or after LingerBytes.
func (c *clientConn) watchForClose() error {
	c.deadlineMu.Lock()
	if c.readsStopped {
		c.deadlineMu.Unlock()
		return os.ErrDeadlineExceeded
	}
	ended := make(chan struct{})
	c.watchEnded = ended
	c.deadlineMu.Unlock()
	defer close(ended)
	buffer := make([]byte, readBytes)
	for total := int64(0); ; {
		n, err := c.Conn.Read(buffer)
		if n > 0 && !c.overflowed {
			c.bufferPipelined(buffer[:n])
		}
		if total += int64(n); err == nil && total > c.listener.limits.LingerBytes {
			err = errors.New("the client sent too much data during a request")
		}
		if err != nil {
			return err
		}
	}
}

// bufferPipelined buffers bytes that arrived while a request was in progress. It sets overflowed if a limit is
// exceeded.
func (c *clientConn) bufferPipelined(data []byte) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	buffered, total := len(c.unchecked)+len(data), l.pipelinedBytes+int64(len(data))
	c.overflowed = buffered > l.limits.HeadBytes+int(l.limits.BodyBytes) || total > l.limits.AllBodiesBytes/4
	if c.overflowed {
		return
	}
	l.pipelinedBytes += int64(len(data))
	c.pipelinedBytes += int64(len(data))
	c.unchecked = append(c.unchecked, data...)
}

// releasePipelined subtracts this connection's pipelined bytes from the listener's count, because the request before
// them has been answered.
func (c *clientConn) releasePipelined() {
	if c.pipelinedBytes == 0 {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.pipelinedBytes -= c.pipelinedBytes
	c.pipelinedBytes = 0
}

// stopWatching stops all reads before an answer that closes the connection, and waits until watchForClose has returned.
// A request that is read after that point would be lost. If the close crosses an unread request, the client sends it
// again elsewhere.
func (c *clientConn) stopWatching() {
	c.deadlineMu.Lock()
	c.readsStopped = true
	c.applyDeadline()
	ended := c.watchEnded
	c.deadlineMu.Unlock()
	if ended != nil {
		<-ended
	}
}

// readHead reads up to the end of a head and checks it. It replaces a rejected head with placeholderRequest.
func (c *clientConn) readHead() error {
	c.releasePipelined()
	if len(c.unchecked) > 0 {
		c.setHeadDeadline(time.Now().Add(c.listener.limits.ReadTimeout))
	}
	for searched, complete := 0, false; !complete; {
		var err error
		if searched, complete, err = c.takeHead(searched); err == nil && !complete {
			err = c.receive()
		}
		var rejection *requestError
		if errors.As(err, &rejection) {
			c.rejection, c.checked, complete = rejection, []byte(placeholderRequest), true
		} else if err != nil {
			return err
		}
	}
	if len(c.unchecked) == 0 {
		c.unchecked = nil
	}
	c.setHeadDeadline(time.Time{})
	return c.beginRequest()
}

// takeHead moves a complete head from unchecked to checked. The caller has already searched the first searched bytes of
// unchecked for the end of the head. takeHead returns the number of bytes searched so far and whether the head is
// complete. Its error is a requestError.
func (c *clientConn) takeHead(searched int) (int, bool, error) {
	if c.overflowed {
		return searched, false, badRequest("more came before its time than there is room for")
	}
	from := max(searched-len(headEnd)+1, 0)
	if at := bytes.Index(c.unchecked[from:], headEnd); at >= 0 {
		end := from + at + len(headEnd)
		c.checked, c.unchecked = c.unchecked[:end:end], c.unchecked[end:]
		if rejection := c.checkHead(c.checked); rejection != nil {
			return searched, true, rejection
		}
		return searched, true, nil
	}
	if len(c.unchecked) > c.listener.limits.HeadBytes {
		return len(c.unchecked), false, &requestError{http.StatusRequestHeaderFieldsTooLarge, "the head is too large"}
	}
	if !mayBecomeHead(c.unchecked) {
		return len(c.unchecked), false, badRequest("this is no request")
	}
	return len(c.unchecked), false, nil
}

// receive reads more of a head. Its error is a requestError if the head cannot become complete, io.EOF if the
// connection has been closed as requested, or the error of the socket.
func (c *clientConn) receive() error {
	buffer := make([]byte, readBytes)
	n, err := c.Conn.Read(buffer)
	if n > 0 && len(c.unchecked) == 0 && c.headDeadline.IsZero() {
		c.setHeadDeadline(time.Now().Add(c.listener.limits.ReadTimeout))
	}
	c.unchecked = append(c.unchecked, buffer[:n]...)
	if n > 0 {
		return nil
	}
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	if timedOut && c.isInterrupted() {
		idle := c.listener.stageOf(c) == stageIdle
		if !c.closeAsRequested() {
			return nil
		}
		if !idle || len(c.unchecked) > 0 {
			c.reject()
		} // else no answer is due: if a request crosses the close, the client sends it again elsewhere
		return io.EOF
	}
	switch {
	case len(c.unchecked) == 0 && timedOut && !c.hasNoInput():
		// After a pause of the process, the time-out and the data are seen at once. The data arrived first.
		c.SetReadDeadline(time.Time{})
		c.setHeadDeadline(time.Now().Add(c.listener.limits.ReadTimeout))
		return nil
	case len(c.unchecked) == 0:
	case timedOut && c.headDeadlinePassed():
		return &requestError{http.StatusRequestTimeout, "the head did not come in time"}
	case err == io.EOF:
		return badRequest("the head broke off")
	}
	return err
}

// mayBecomeHead reports whether data may be the beginning of a head, which starts with a method in capital letters and
// a space. It returns false at the first byte that rules this out.
func mayBecomeHead(data []byte) bool {
	for i, b := range data[:min(len(data), methodBytes)] {
		switch {
		case b == ' ' && i > 0:
			return true
		case b < 'A' || b > 'Z':
			return false
		case i == len(data)-1 && i < methodBytes-1:
			return true
		}
	}
	return len(data) == 0
}

// checkHead accepts a head only if it is unambiguous: every line ends with CRLF, field names are valid, no line is
// folded, and at most one field states the length of the body (RFC 9112, sections 2.2, 5 and 6.3). It records the
// framing of the body.
func (c *clientConn) checkHead(head []byte) *requestError {
	lines := strings.Split(string(head[:len(head)-len(headEnd)]), "\r\n")
	requestLine := strings.Split(lines[0], " ")
	if len(requestLine) != 3 || requestLine[1] == "" || requestLine[2] != "HTTP/1.1" && requestLine[2] != "HTTP/1.0" {
		return badRequest("the request line cannot be read")
	}
	for _, line := range lines {
		if strings.ContainsFunc(line, isControl) {
			return badRequest("a control character stands in the head")
		}
	}
	var length, coding string
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsFunc(name, isInvalidNameCharacter) {
			return badRequest("a header line cannot be read")
		}
		var framing *string
		switch {
		case strings.EqualFold(name, "content-length"):
			framing = &length
		case strings.EqualFold(name, "transfer-encoding"):
			framing = &coding
		default:
			continue
		}
		value = strings.Trim(value, " \t")
		if *framing != "" || value == "" {
			return badRequest("%s is empty or stands more than once", strings.ToLower(name))
		}
		*framing = value
	}
	return c.setFraming(requestLine[2], length, coding)
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func isInvalidNameCharacter(r rune) bool {
	return r <= ' ' || r > '~' || strings.ContainsRune(delimiters, r)
}

// setFraming records the framing of the body that Content-Length or Transfer-Encoding states.
func (c *clientConn) setFraming(version, length, coding string) *requestError {
	switch {
	case length != "" && coding != "":
		return badRequest("Content-Length and Transfer-Encoding stand together")
	case coding != "" && (!strings.EqualFold(coding, "chunked") || version != "HTTP/1.1"):
		return &requestError{http.StatusNotImplemented, "the transfer coding is unknown"}
	case coding != "":
		c.chunked = true
	case length != "":
		if strings.ContainsFunc(length, func(r rune) bool { return r < '0' || r > '9' }) {
			return badRequest("Content-Length is not a number")
		}
		n, err := strconv.ParseInt(length, 10, 64)
		if err != nil || n > c.listener.limits.BodyBytes {
			return bodyTooLarge(c.listener.limits.BodyBytes)
		}
		c.bodyLeft = n
	}
	return nil
}
