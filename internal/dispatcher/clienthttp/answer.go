package clienthttp

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"gladepick/internal/dispatcher/dispatch"
)

// writeAnswer writes the core's final answer to a job.
func writeAnswer(w http.ResponseWriter, a dispatch.Answer) {
	switch a.Kind {
	case dispatch.Served:
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Result)))
		w.Write(a.Result)
	case dispatch.Rejected:
		writeRejected(w, a.RetryAfter)
	default:
		writeText(w, http.StatusBadGateway, "the job failed")
	}
}

// writeRejected answers that the job has not run and that the client may retry after a delay.
func writeRejected(w http.ResponseWriter, retryAfter time.Duration) {
	w.Header().Set("Retry-After", formatSeconds(retryAfter))
	writeText(w, http.StatusServiceUnavailable, "refused: try again later")
}

// writeAbandoned answers a request whose client has disconnected. A client that has only closed its sending direction
// receives this answer. Without it net/http would answer with status 200.
func writeAbandoned(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	writeText(w, http.StatusBadGateway, "the client has left")
}

// writeText answers with a status and one line of text.
func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}

// formatSeconds formats a duration in seconds with three decimals, as the platform's protocol defines Retry-After.
// RFC 9110, section 10.2.3, allows only whole seconds.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
