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
	// placeholderRequest stands in for a head that is rejected: net/http reads it, and ServeHTTP answers what is wrong.
	placeholderRequest = "GET /fault HTTP/1.1\r\nHost: -\r\nConnection: close\r\n\r\n"
	// readBytes is how much is read at a time of a head, and while watching for the client's close.
	readBytes = 2 << 10
	// methodBytes is within how many bytes a request's method must have ended.
	methodBytes = 16
	// delimiters may not stand in a field's name (RFC 9110, section 5.6.2).
	delimiters = "\"(),/:;<=>?@[\\]{}"
)

var headEnd = []byte("\r\n\r\n")

// watchForClose reads on while a request is in: only so does it show that the client has left, also behind bytes that
// came early. Those are kept for later, as far as there is room. It ends with the client or when it is broken off.
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
			c.keepEarly(buffer[:n])
		}
		if total += int64(n); err == nil && total > c.listener.limits.LingerBytes {
			err = errors.New("a client floods its connection")
		}
		if err != nil {
			return err
		}
	}
}

// keepEarly keeps bytes that came while a request was in, if there is room for them.
func (c *clientConn) keepEarly(data []byte) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	own, all := len(c.unchecked)+len(data), l.earlyBytes+int64(len(data))
	c.overflowed = own > l.limits.HeadBytes+int(l.limits.BodyBytes) || all > l.limits.AllBodiesBytes/4
	if c.overflowed {
		return
	}
	l.earlyBytes += int64(len(data))
	c.earlyBytes += int64(len(data))
	c.unchecked = append(c.unchecked, data...)
}

// releaseEarly counts early bytes as any others: the request before them has been answered.
func (c *clientConn) releaseEarly() {
	if c.earlyBytes == 0 {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.earlyBytes -= c.earlyBytes
	c.earlyBytes = 0
}

// stopWatching comes before an answer that closes the connection: a request that the client sends upon it must not be
// read any more, for then it would be lost, while one that the close crosses unread comes again elsewhere.
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

// readHead reads up to the end of a head and checks it. A head that is rejected is replaced by placeholderRequest.
func (c *clientConn) readHead() error {
	c.releaseEarly()
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
	return c.enterRequest()
}

// takeHead moves a head that has come completely from unchecked to checked. Up to searched bytes unchecked was searched
// before; it returns how many were now, and whether the head is complete. Its error is a requestError.
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

// receive reads more of a head. Its error is a requestError where the head stays incomplete, io.EOF where the connection
// has been closed as requested, or the socket's.
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
		} // else nothing is owed: a request that crosses the close comes again elsewhere
		return io.EOF
	}
	switch {
	case len(c.unchecked) == 0 && timedOut && !c.isSilent():
		// A process that stood still meets both at once: what has come was there first.
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

// mayBecomeHead returns false as early as it shows that bytes are no beginning of a head: that is a method in capitals
// and a space.
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

// checkHead accepts a head if it has one meaning only: lines that end alike, names that are names, no folded line, and
// one statement of the body's length at most (RFC 9112, sections 2.2, 5 and 6.3). It notes how the body is framed.
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
		if !ok || name == "" || strings.ContainsFunc(name, isNoNameCharacter) {
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
	return c.noteFraming(requestLine[2], length, coding)
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func isNoNameCharacter(r rune) bool {
	return r <= ' ' || r > '~' || strings.ContainsRune(delimiters, r)
}

// noteFraming notes how long the body is, as Content-Length or Transfer-Encoding says.
func (c *clientConn) noteFraming(version, length, coding string) *requestError {
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
