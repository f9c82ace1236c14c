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

// ServeHTTP answers one request of a client, or one of the questions that operators and the platform ask.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(2 * s.limits.ReadTimeout))
	conn := connOf(r.Context())
	if conn.rejection != nil {
		s.rejectMalformed(w, conn.rejection)
		return
	}
	if conn.chunked { // where its body ends the listener does not know
		w.Header().Set("Connection", "close")
	}
	if r.Method == http.MethodGet {
		s.closeIfDraining(w, conn)
		s.serveQuestion(w, r)
		return
	}
	s.serveJob(w, r, control, conn)
}

// serveJob makes a job of a request, has it taken, and answers it.
func (s *Server) serveJob(w http.ResponseWriter, r *http.Request, control *http.ResponseController, conn *clientConn) {
	held := r.ContentLength
	if held < 0 {
		held = s.limits.BodyBytes
	}
	defer s.bodyBytes.Add(-held)
	if s.bodyBytes.Add(held) > s.limits.AllBodiesBytes {
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
	// The body is read: from here on only the client's leaving ends the request early.
	control.SetReadDeadline(time.Time{})
	s.shortenTimeout(job)
	if conn.hasLeft() { // it left while its request waited to be read
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
	left := s.watchChunkedClient(conn)
	select {
	case a := <-answers:
		s.closeIfDraining(w, conn)
		control.SetWriteDeadline(time.Now().Add(s.limits.ReadTimeout))
		writeAnswer(w, a)
	case <-r.Context().Done():
		s.Jobs.Abandon(job)
		writeAbandoned(w)
	case <-left:
		s.Jobs.Abandon(job)
		writeAbandoned(w)
	}
}

// rejectMalformed answers what is no job, and closes the connection: nothing more is read from one that was misused.
func (s *Server) rejectMalformed(w http.ResponseWriter, e *requestError) {
	s.core.Counters.Malformed.Add(1)
	w.Header().Set("Connection", "close")
	writeText(w, e.status, e.text)
}

// shortenTimeout bounds a job that comes late while draining: whoever ends this process may wait no longer.
func (s *Server) shortenTimeout(job *dispatch.Job) {
	start := s.drainStart.Load()
	if start == nil {
		return
	}
	if late := time.Since(*start); late > s.limits.DrainDelay {
		job.Timeout = max(min(job.Timeout, s.limits.LastAnswerWindow-late), time.Millisecond)
	}
}

// watchChunkedClient returns a channel that is closed when the client of a request in chunks leaves, nil for any other
// request. The listener lets all pass that follows such a body, and net/http reads one byte of it and no more.
func (s *Server) watchChunkedClient(conn *clientConn) chan struct{} {
	if !conn.chunked {
		return nil
	}
	left := make(chan struct{})
	go func() {
		// Up to the client's end, to the answer, which breaks reading off, or to what a client may send too much.
		io.Copy(io.Discard, io.LimitReader(conn.Conn, s.limits.LingerBytes))
		close(left)
	}()
	return left
}

// closeIfDraining makes an answer close its connection while draining. It is called when the answer is there: a job may
// have waited meanwhile.
func (s *Server) closeIfDraining(w http.ResponseWriter, conn *clientConn) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
		conn.stopWatching()
	}
}

// serveQuestion answers what is not a job.
func (s *Server) serveQuestion(w http.ResponseWriter, r *http.Request) {
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

// writeStatus answers with the status of a part of the program: 404 where it is off, 503 where it has ended.
func writeStatus(w http.ResponseWriter, r *http.Request, part string, status func(context.Context) (any, bool)) {
	if status == nil {
		writeText(w, http.StatusNotFound, part+" is off")
		return
	}
	v, ok := status(r.Context())
	if !ok {
		writeText(w, http.StatusServiceUnavailable, part+" has ended")
		return
	}
	writeJSON(w, v)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
