package operatorcli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/ctxtime"
)

const (
	headerBaseVersion = "X-If-Base-Version"
	contentTypeJSON   = "application/json"

	initialBackoff   = 200 * time.Millisecond // after all addresses have failed; it doubles
	maxBackoff       = 2 * time.Second
	attemptTimeout   = 10 * time.Second // for one call at one address
	maxResponseBytes = 64 << 20
	maxRedirects     = 2
)

// Client calls fronts. It goes on to the next address after a failure, until one gives a clear answer or the context
// ends. Every call may be repeated.
type Client struct {
	addresses []string
	http      *http.Client
	sleep     func(ctx context.Context, duration time.Duration)
}

// Request is a call to make.
type Request struct {
	Method string
	Path   string // with the query, escaped
	Host   string // of the request; empty for that of the address
	Base   string // value of X-If-Base-Version; empty for none
	Body   []byte
}

// NewClient returns a client of the fronts at some addresses, "ip:port". The transport may be nil.
func NewClient(addresses []string, transport http.RoundTripper) *Client {
	return &Client{
		addresses: addresses,
		http:      &http.Client{Transport: transport, Timeout: attemptTimeout, CheckRedirect: limitRedirects},
		sleep:     func(ctx context.Context, duration time.Duration) { ctxtime.Sleep(ctx, duration) },
	}
}

func limitRedirects(_ *http.Request, via []*http.Request) error {
	if len(via) > maxRedirects {
		return errors.New("too many redirects")
	}
	return nil
}

// Do makes a call and returns the body of its answer. An answer that refuses the call is a *RefusedError.
func (c *Client) Do(ctx context.Context, request Request) ([]byte, error) {
	wait := initialBackoff
	for {
		body, err := c.attemptAll(ctx, request)
		if err == nil || isRefusal(err) {
			return body, err
		}
		c.sleep(ctx, wait)
		if ctx.Err() != nil {
			return nil, err
		}
		wait = min(2*wait, maxBackoff)
	}
}

// round tries each address once.
func (c *Client) attemptAll(ctx context.Context, request Request) ([]byte, error) {
	var failures []error
	for _, address := range c.addresses {
		body, err := c.attempt(ctx, address, request)
		if err == nil || isRefusal(err) {
			return body, err
		}
		failures = append(failures, err)
	}
	return nil, trace.NewAggregate(failures...)
}

func (c *Client) attempt(ctx context.Context, address string, request Request) ([]byte, error) {
	call, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path,
		bytes.NewReader(request.Body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	call.Host = request.Host
	if len(request.Body) > 0 {
		call.Header.Set("Content-Type", contentTypeJSON)
	}
	if request.Base != "" {
		call.Header.Set(headerBaseVersion, request.Base)
	}
	response, err := c.http.Do(call)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, trace.Wrap(err, "reading the answer of %s", address)
	}
	return body, responseError(address, response.StatusCode, body)
}

// answerError returns nil for an answer that carried the call out.
func responseError(address string, status int, body []byte) error {
	switch {
	case status == http.StatusOK:
		return nil
	case isConclusive(status):
		return newRefusedError(status, body)
	}
	return trace.ConnectionProblem(nil, "%s answered %d: %s", address, status, strings.TrimSpace(string(body)))
}

// isFinal tells whether trying elsewhere can't help.
func isConclusive(status int) bool {
	isClientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return isClientError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// RefusedError is an answer that refuses a call.
type RefusedError struct {
	Status   int
	Text     string
	Findings []Finding
}

// Finding is one thing that is wrong in what was sent or in a file.
type Finding struct {
	Place   string `json:"place,omitempty"`
	Problem string `json:"problem"`
}

// String returns the problem behind its place.
func (f Finding) String() string {
	if f.Place == "" {
		return f.Problem
	}
	return f.Place + ": " + f.Problem
}

// newRefusedError reads the body of a refusal, which is JSON or a plain text.
func newRefusedError(status int, body []byte) *RefusedError {
	var content struct {
		Error    string    `json:"error"`
		Findings []Finding `json:"findings"`
	}
	if err := json.Unmarshal(body, &content); err != nil {
		content.Error = strings.TrimSpace(string(body))
	}
	if content.Error == "" {
		content.Error = strings.ToLower(http.StatusText(status))
	}
	return &RefusedError{Status: status, Text: content.Error, Findings: content.Findings}
}

// Error implements error.
func (e *RefusedError) Error() string {
	lines := []string{strconv.Itoa(e.Status) + ": " + e.Text}
	for _, finding := range e.Findings {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

func isRefusal(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}
