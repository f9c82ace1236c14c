package clienthttp

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// maxHeaderSafeBytes is the maximum size in bytes of an idempotency key and of every value that IsHeaderSafe accepts.
const maxHeaderSafeBytes = 256

// requestError describes why a request is not a valid job. It holds the status and the text of the answer.
type requestError struct {
	status int
	text   string
}

// Error returns the text of the answer.
func (e *requestError) Error() string { return e.text }

func badRequest(format string, v ...any) *requestError {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, v...)}
}

// singleHeaders lists the header fields that a request may contain only once.
var singleHeaders = []string{"X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "Idempotency-Key"}

// droppedHeaders lists the header fields that are not forwarded: they apply only to the client's connection (RFC 9110,
// section 7.6.1), or the worker transport sets them itself.
var droppedHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length", "X-Timeout", "X-Request-Id", "Idempotency-Key"}

// readJob reads a request and creates a job from it.
func (s *Server) readJob(w http.ResponseWriter, r *http.Request) (*dispatch.Job, *requestError) {
	if e := checkForm(r); e != nil {
		return nil, e
	}
	j := &dispatch.Job{
		Target:         r.RequestURI,
		ID:             r.Header.Get("X-Request-ID"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Retry:          r.Header.Get("X-Retried") == "1",
	}
	if j.ID == "" || !IsHeaderSafe(j.ID) {
		return nil, badRequest("X-Request-ID is missing or cannot pass on as it is")
	}
	if e := s.readPath(j, r); e != nil {
		return nil, e
	}
	var err error
	if j.Timeout, err = ParseTimeout(r.Header.Get("X-Timeout"), time.Second, s.limits.MaxJobTimeout); err != nil {
		return nil, badRequest("X-Timeout: %v", err)
	}
	if e := parseAttributes(j, r.Header.Get("X-Attrs")); e != nil {
		return nil, e
	}
	j.Header = forwardedHeader(r)
	if j.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.BodyBytes)); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, bodyTooLarge(s.limits.BodyBytes)
		}
		return nil, badRequest("the body broke off")
	}
	return j, nil
}

func bodyTooLarge(limit int64) *requestError {
	return &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("a body holds %d bytes at most", limit)}
}

// checkForm checks the method, the form of the target, and that no header field of singleHeaders is repeated.
func checkForm(r *http.Request) *requestError {
	if r.Method != http.MethodPost {
		return &requestError{http.StatusMethodNotAllowed, "jobs come by POST"}
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return badRequest("the request target must be a path")
	}
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return badRequest("%s stands more than once", name)
		}
	}
	return nil
}

// readPath sets the job's class, its tenant and its affinity key. The subject of the job is the last part of the path.
func (s *Server) readPath(j *dispatch.Job, r *http.Request) *requestError {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	parts := strings.Split(path[1:], "/")
	class := r.Header.Get("X-Priority-Class")
	if class != parts[0] {
		return badRequest("X-Priority-Class %q is not the first part of the path", class)
	}
	if err := AssignClassAndTenant(s.node, j, class, r.Header.Get("X-Tenant-Id")); err != nil {
		return badRequest("%v", err)
	}
	if last := parts[len(parts)-1]; len(parts) > 1 && last != "" {
		j.AffinityKey = dispatch.AffinityKey(last)
	}
	return nil
}

// parseAttributes parses the resources that the job takes at a worker from "name=value, name=value". It ignores unknown
// names.
func parseAttributes(j *dispatch.Job, text string) *requestError {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		switch strings.TrimSpace(name) {
		case "slots":
			j.Slots = v
		case "memory", "ram_units":
			j.Memory = v
		default:
			continue
		}
		if err != nil || !(v >= 0 && v < math.MaxInt32) {
			return badRequest("X-Attrs: %q is not a figure", part)
		}
	}
	return nil
}

// forwardedHeader returns the header fields to forward to the worker: Host first, then the others sorted by name.
func forwardedHeader(r *http.Request) []dispatch.HeaderField {
	fields := []dispatch.HeaderField{{Name: "Host", Value: r.Host}}
	connectionOptions := strings.Split(r.Header.Get("Connection"), ",")
	for _, name := range slices.Sorted(maps.Keys(r.Header)) {
		isConnectionOption := slices.ContainsFunc(connectionOptions, func(s string) bool { return strings.EqualFold(strings.TrimSpace(s), name) })
		if isConnectionOption || slices.Contains(droppedHeaders, name) {
			continue
		}
		for _, v := range r.Header[name] {
			fields = append(fields, dispatch.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}

// AssignClassAndTenant sets a job's class and tenant by their names, and checks its idempotency key. The HTTP and AMQP
// fronts both call it. The text of its error is sent to the client.
func AssignClassAndTenant(n *config.Node, j *dispatch.Job, class, tenant string) error {
	if j.Class = config.Index(n.Classes, class); j.Class < 0 {
		return fmt.Errorf("class %q is unknown", class)
	}
	if j.Tenant = config.Index(n.Tenants, tenant); j.Tenant < 0 && len(n.Tenants) > 0 {
		return fmt.Errorf("university %q is unknown", tenant)
	}
	if n.Module.Classes[j.Class].Idempotency == decision.Deduplicated && j.IdempotencyKey == "" {
		return fmt.Errorf("a job of class %q needs a key", class)
	}
	if len(j.IdempotencyKey) > maxHeaderSafeBytes {
		return errors.New("the key is too long")
	}
	return nil
}

// IsHeaderSafe reports whether a value can be put into a message header unchanged, over HTTP and AMQP alike. It accepts
// at most 256 bytes of visible ASCII.
func IsHeaderSafe(s string) bool {
	return len(s) <= maxHeaderSafeBytes && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

// ParseTimeout parses a client's time-out: a plain decimal number of units, above zero and up to limit. It rejects the
// other forms that strconv.ParseFloat accepts (Inf, hexadecimal, exponents), because no client intends them. The result
// is at least 1 ms.
func ParseTimeout(text string, unit, limit time.Duration) (time.Duration, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0) || len(text) > 24 || strings.Trim(text, "0123456789.") != "" {
		return 0, fmt.Errorf("%.24q is not a time above zero", text)
	}
	if v > float64(limit)/float64(unit) {
		return 0, fmt.Errorf("%s is longer than anybody may wait", text)
	}
	return max(time.Duration(v*float64(unit)), time.Millisecond), nil
}
