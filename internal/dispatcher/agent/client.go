package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	// clientTimeout limits the duration of one request.
	clientTimeout = 5 * time.Second
	// statusBytes limits a response with statuses, members or leases.
	statusBytes = 1 << 24
	// commandBytes limits the response to a command.
	commandBytes = 1 << 16
)

// Query fetches the JSON document at a path of an instance. If name is given, address is that of the agent, which
// forwards the request to the instance with that name. Otherwise address is that of the dispatcher itself. A key is
// passed on as a parameter of the request.
func Query(ctx context.Context, address, path, name, key string) (answer json.RawMessage, err error) {
	parameters := url.Values{}
	if name != "" {
		parameters.Set("instance", name)
	}
	if key != "" {
		parameters.Set("key", key)
	}
	return answer, fetchJSON(ctx, newClient(), statusBytes, http.MethodGet, "http://"+address+path+"?"+parameters.Encode(), &answer)
}

// InstanceNames returns the names of the instances of the agent at an address.
func InstanceNames(ctx context.Context, address string) (names []string, err error) {
	all, err := fetchStatuses(ctx, newClient(), address)
	for _, s := range all {
		names = append(names, s.Name)
	}
	return names, err
}

// fetchStatuses returns the statuses of all instances of the agent at an address.
func fetchStatuses(ctx context.Context, client *http.Client, address string) (all []Status, err error) {
	return all, fetchJSON(ctx, client, statusBytes, http.MethodGet, "http://"+address+"/status", &all)
}

// newClient returns an HTTP client for one request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clientTimeout}
}

// fetchJSON sends one request and decodes the JSON response, of which it reads at most maxBytes. If the status is not
// 200, it returns the text of the response as the error.
func fetchJSON(ctx context.Context, client *http.Client, maxBytes int, method, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxBytes)))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New(strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, into)
}
