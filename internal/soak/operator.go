package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	operatorTimeout    = 20 * time.Second // of a call, with all tries
	operatorTryTimeout = 3 * time.Second
	operatorPause      = 100 * time.Millisecond
	readyTimeout       = 30 * time.Second
	retireDurationS    = 10
)

// operator is a stand-in of the operator. It sends each call to one front after the other until one gives a clear answer.
type operator struct {
	deployment *deployment
	client     *http.Client

	mutex sync.Mutex // one change of the configuration at a time
	state configurationState
}

func newOperator(d *deployment, fixedAddress string) *operator {
	return &operator{
		deployment: d, client: &http.Client{Timeout: operatorTryTimeout},
		state: configurationState{fixedAddress: fixedAddress},
	}
}

// change changes the configuration and returns when the system has acknowledged it.
func (o *operator) change(ctx context.Context, change func(state *configurationState)) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	next := o.state
	change(&next)
	next.version++
	body, err := json.Marshal(next.document())
	if err != nil {
		return trace.Wrap(err)
	}
	header := http.Header{"X-If-Base-Version": {strconv.FormatUint(o.state.version, 10)}, "Content-Type": {"application/json"}}
	if err := o.call(ctx, "/api/config/replace", header, body); err != nil {
		return trace.Wrap(err, "changing the configuration")
	}
	o.state = next
	return nil
}

// retire has a store emptied.
func (o *operator) retire(ctx context.Context, store string) error {
	body, err := json.Marshal(map[string]int{"duration-s": retireDurationS})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(o.call(ctx, "/api/retire/"+store+"/start", http.Header{"Content-Type": {"application/json"}}, body))
}

// call sends a call until the answer is clear. It returns an error unless the answer is 200.
func (o *operator) call(ctx context.Context, path string, header http.Header, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	for try := 0; ctx.Err() == nil; try++ {
		front := o.deployment.fronts[try%len(o.deployment.fronts)]
		status, text := o.try(ctx, front, path, header, body)
		switch {
		case status == http.StatusOK:
			return nil
		case status != 0 && status < http.StatusInternalServerError && status != http.StatusTooManyRequests:
			return trace.Errorf("%s answered %d: %s", front.name, status, text)
		}
		time.Sleep(operatorPause)
	}
	return trace.Errorf("no front gave a clear answer within %v", operatorTimeout)
}

// try sends a call to one front. The status is 0 without an answer.
func (o *operator) try(ctx context.Context, front *machine, path string, header http.Header, body []byte) (int, string) {
	url := "http://" + front.address(o.deployment.ports.Control) + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Header = header
	response, err := o.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// awaitReady waits until every front is ready.
func (o *operator) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, front := range o.deployment.fronts {
		for !o.isReady(front) {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return trace.Errorf("%s did not become ready within %v", front.name, readyTimeout)
			}
			time.Sleep(operatorPause)
		}
	}
	return nil
}

func (o *operator) isReady(front *machine) bool {
	response, err := o.client.Get("http://" + front.address(o.deployment.ports.Ready) + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
