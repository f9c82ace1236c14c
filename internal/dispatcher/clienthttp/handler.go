package clienthttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"gladepick/internal/dispatcher/dispatch"
)

// ServeHTTP answers one request: a job of a client, or a GET request of an operator or the platform.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(2 * s.limits.ReadTimeout))
	conn := connOf(r.Context())
	if conn.rejection != nil {
		s.rejectMalformed(w, conn.rejection)
		return
	}
	if conn.chunked { // the listener does not know where the body ends
		w.Header().Set("Connection", "close")
	}
	if r.Method == http.MethodGet {
		s.closeIfDraining(w, conn)
		s.serveGet(w, r)
		return
	}
	s.serveJob(w, r, control, conn)
}

// serveJob creates a job from a request, submits it and answers the request.
func (s *Server) serveJob(w http.ResponseWriter, r *http.Request, control *http.ResponseController, conn *clientConn) {
	reservedBytes := r.ContentLength
	if reservedBytes < 0 {
		reservedBytes = s.limits.BodyBytes
	}
	defer s.bodyBytes.Add(-reservedBytes)
	if s.bodyBytes.Add(reservedBytes) > s.limits.AllBodiesBytes {
		s.core.Counters.Overflow.Add(1)
		w.Header().Set("Connection", "close")
		writeRejected(w, s.limits.RetryAfter)
		return
	}
	job, err := s.readJob(w, r)
	if err != nil {
		s.rejectMalformed(w, err)
		return
	}
	// The body has been read. From here on only a disconnect of the client ends the request early.
	control.SetReadDeadline(time.Time{})
	s.shortenTimeout(job)
	if conn.hasDisconnected() { // the client disconnected while its request waited to be read
		s.core.Counters.Abandoned.Add(1)
		writeAbandoned(w)
		return
	}
	answers := make(chan dispatch.Answer, 1)
	job.Reply = func(a dispatch.Answer) { answers <- a }
	switch err := s.Jobs.Submit(job); {
	case errors.Is(err, dispatch.ErrDuplicateID):
		s.rejectMalformed(w, &requestError{http.StatusConflict, err.Error()})
		return
	case err != nil:
		s.closeIfDraining(w, conn)
		writeRejected(w, s.limits.RetryAfter)
		return
	}
	disconnected := s.watchChunkedClient(conn)
	select {
	case a := <-answers:
		s.closeIfDraining(w, conn)
		control.SetWriteDeadline(time.Now().Add(s.limits.ReadTimeout))
		writeAnswer(w, a)
	case <-r.Context().Done():
		s.Jobs.Abandon(job)
		writeAbandoned(w)
	case <-disconnected:
		s.Jobs.Abandon(job)
		writeAbandoned(w)
	}
}

// rejectMalformed answers a malformed request and closes the connection, because the data that follows is not reliable.
func (s *Server) rejectMalformed(w http.ResponseWriter, e *requestError) {
	s.core.Counters.Malformed.Add(1)
	w.Header().Set("Connection", "close")
	writeText(w, e.status, e.text)
}

// shortenTimeout shortens the time-out of a job that arrives more than DrainDelay after the drain began. The process
// may be terminated after LastAnswerWindow.
func (s *Server) shortenTimeout(job *dispatch.Job) {
	start := s.drainStart.Load()
	if start == nil {
		return
	}
	if elapsed := time.Since(*start); elapsed > s.limits.DrainDelay {
		job.Timeout = max(min(job.Timeout, s.limits.LastAnswerWindow-elapsed), time.Millisecond)
	}
}

// watchChunkedClient returns a channel that is closed when the client of a chunked request disconnects; it returns nil
// for any other request. For a chunked request clientConn does not watch for the close itself, because it passes on
// all data that follows a chunked body, and net/http reads only one byte of that data.
func (s *Server) watchChunkedClient(conn *clientConn) chan struct{} {
	if !conn.chunked {
		return nil
	}
	disconnected := make(chan struct{})
	go func() {
		// Ends when the client disconnects, when the answer interrupts reads, or after LingerBytes.
		io.Copy(io.Discard, io.LimitReader(conn.Conn, s.limits.LingerBytes))
		close(disconnected)
	}()
	return disconnected
}

// closeIfDraining makes an answer close its connection during a drain. It is called once the answer is known, because
// the drain may begin while the job waits.
func (s *Server) closeIfDraining(w http.ResponseWriter, conn *clientConn) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
		conn.stopWatching()
	}
}

// serveGet answers GET requests for readiness, counters and status.
func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/up":
		if s.draining.Load() {
			writeText(w, http.StatusServiceUnavailable, "leaving")
			return
		}
		writeText(w, http.StatusOK, "up")
	case "/counters":
		writeJSON(w, s.core.Counts())
	case "/members":
		writeStatus(w, r, "the membership", s.Members)
	case "/leases":
		var status func(context.Context) (any, bool)
		if s.Leases != nil {
			key := r.URL.Query().Get("key")
			status = func(ctx context.Context) (any, bool) { return s.Leases(ctx, key) }
		}
		writeStatus(w, r, "taking jobs for keeps", status)
	default:
		writeText(w, http.StatusNotFound, "jobs come by POST")
	}
}

// writeStatus answers with the status of a component as JSON: 404 if the component is off, 503 if it has ended.
func writeStatus(w http.ResponseWriter, r *http.Request, component string, status func(context.Context) (any, bool)) {
	if status == nil {
		writeText(w, http.StatusNotFound, component+" is off")
		return
	}
	v, ok := status(r.Context())
	if !ok {
		writeText(w, http.StatusServiceUnavailable, component+" has ended")
		return
	}
	writeJSON(w, v)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
