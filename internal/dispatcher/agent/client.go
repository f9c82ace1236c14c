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
	// clientTimeout bounds a question of the command line.
	clientTimeout = 5 * time.Second
	// statusBytes bounds an answer with statuses, of the members or of leases.
	statusBytes = 1 << 24
	// commandBytes bounds the answer to a command.
	commandBytes = 1 << 16
)

// Query asks for what an instance tells of itself at a path: through the agent at an address, or straight from the
// dispatcher that listens there, where no name is given.
func Query(ctx context.Context, address, path, name, key string) (answer json.RawMessage, err error) {
	question := url.Values{}
	if name != "" {
		question.Set("instance", name)
	}
	if key != "" {
		question.Set("key", key)
	}
	return answer, fetchJSON(ctx, newClient(), statusBytes, http.MethodGet, "http://"+address+path+"?"+question.Encode(), &answer)
}

// InstanceNames returns the names of the instances of the agent at an address.
func InstanceNames(ctx context.Context, address string) (names []string, err error) {
	all, err := fetchStatuses(ctx, newClient(), address)
	for _, s := range all {
		names = append(names, s.Name)
	}
	return names, err
}

// fetchStatuses asks the agent at an address for all instances.
func fetchStatuses(ctx context.Context, client *http.Client, address string) (all []Status, err error) {
	return all, fetchJSON(ctx, client, statusBytes, http.MethodGet, "http://"+address+"/status", &all)
}

// newClient makes a client for one call.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clientTimeout}
}

// fetchJSON makes one call and decodes its JSON answer, of maxBytes at most. The error of any other status than 200 is
// the answer's text.
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
