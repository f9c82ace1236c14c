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

	initialBackoff   = 200 * time.Millisecond // after all addresses have failed; it doubles
	maxBackoff       = 2 * time.Second
	attemptTimeout   = 10 * time.Second // for one call at one address
	maxResponseBytes = 64 << 20
	maxRedirects     = 2
)

// Client calls fronts, one after another, until one answers conclusively or the context ends. It repeats calls
// without knowing whether an earlier attempt took effect, so every call must be idempotent.
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

// NewClient returns a client of the fronts at some addresses, "ip:port". A nil transport stands for the default
// one.
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

// Do makes a call and returns the body of the response. Its error is a *RefusedError where a front refuses the
// call; where no front answers conclusively before the context ends, it joins the failures at all addresses.
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

// attemptAll makes one attempt at each address, until one is conclusive.
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

// attempt makes one call at one address.
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

// responseError returns nil for a response that says that the call was carried out.
func responseError(address string, status int, body []byte) error {
	switch {
	case status == http.StatusOK:
		return nil
	case isConclusive(status):
		return newRefusedError(status, body)
	}
	return trace.Wrap(&UnavailableError{Address: address, Status: status, Text: strings.TrimSpace(string(body))})
}

// isConclusive tells whether a status other than 200 refuses the call for good, so that no other front need be
// called.
func isConclusive(status int) bool {
	isClientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return isClientError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}
