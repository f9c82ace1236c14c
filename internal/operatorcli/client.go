package operatorcli

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/ctxtime"
)

const (
	headerBaseVersion = "X-If-Base-Version"
	contentTypeJSON   = "application/json"

	initialBackoff   = 200 * time.Millisecond // after the first failure of all addresses; doubles each time
	maxBackoff       = 2 * time.Second
	attemptTimeout   = 10 * time.Second // of one call to one address
	maxResponseBytes = 64 << 20
	maxRedirects     = 2
)

// Client sends a request to one front after another until a front responds conclusively or the context ends. It retries
// without knowing whether an earlier attempt took effect, so every request must be idempotent.
type Client struct {
	addresses []string
	http      *http.Client
	sleep     func(ctx context.Context, duration time.Duration)
}

// Request is an HTTP request to a front.
type Request struct {
	Method      string
	Path        string // escaped path, with the query
	Host        string // value of the Host header; empty for the address
	BaseVersion string // value of X-If-Base-Version; empty for none
	Body        []byte
}

// NewClient returns a client of the fronts at the given addresses, each in the form "ip:port". If transport is nil, the
// client uses http.DefaultTransport.
func NewClient(addresses []string, transport http.RoundTripper) *Client {
	return &Client{
		addresses: addresses,
		http:      &http.Client{Transport: transport, Timeout: attemptTimeout, CheckRedirect: limitRedirects},
		sleep:     func(ctx context.Context, duration time.Duration) { ctxtime.Sleep(ctx, duration) },
	}
}

// limitRedirects returns an error after maxRedirects redirects. http.Client calls it before it follows a redirect.
func limitRedirects(_ *http.Request, via []*http.Request) error {
	if len(via) > maxRedirects {
		return errors.New("too many redirects")
	}
	return nil
}

// Do sends a request and returns the body of the response. If a front refuses the request, the error is a
// *RefusedError. If no front responds conclusively before the context ends, the error joins the failures of the last
// attempt at each address.
func (c *Client) Do(ctx context.Context, request Request) ([]byte, error) {
	backoff := initialBackoff
	for {
		body, err := c.attemptAll(ctx, request)
		if err == nil || isRefusal(err) {
			return body, err
		}
		c.sleep(ctx, backoff)
		if ctx.Err() != nil {
			return nil, err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// attemptAll sends the request to each address in turn until a response is conclusive.
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

// attempt sends the request to one address.
func (c *Client) attempt(ctx context.Context, address string, request Request) ([]byte, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path,
		bytes.NewReader(request.Body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	httpRequest.Host = request.Host
	if len(request.Body) > 0 {
		httpRequest.Header.Set("Content-Type", contentTypeJSON)
	}
	if request.BaseVersion != "" {
		httpRequest.Header.Set(headerBaseVersion, request.BaseVersion)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, trace.Wrap(err, "reading the response of %s", address)
	}
	return body, responseError(address, response.StatusCode, body)
}

// responseError returns nil for status 200, a *RefusedError for a conclusive status, and an *UnavailableError for any
// other status.
func responseError(address string, status int, body []byte) error {
	switch {
	case status == http.StatusOK:
		return nil
	case isConclusive(status):
		return newRefusedError(status, body)
	}
	return trace.Wrap(&UnavailableError{Address: address, Status: status, Text: strings.TrimSpace(string(body))})
}

// isConclusive reports whether a status other than 200 refuses the request permanently, so that no other front need be
// called. These are the client errors (4xx) except 408 and 429.
func isConclusive(status int) bool {
	isClientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return isClientError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}
