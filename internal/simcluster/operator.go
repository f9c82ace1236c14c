package simcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	operatorIP             = "10.5.0.1"
	operatorCallTimeout    = time.Second // limit on a front's response time
	initialBackoff         = 100 * time.Millisecond
	maxBackoff             = time.Second
	readBackDuration       = faultGrace
	headerBase             = "X-If-Base-Version"
	pathReplace            = configurationPath + "replace"
	pathUpdate             = configurationPath + "update"
	pathRead               = configurationPath + "read"
	pathRetire             = "/api/retire/"
	retireCompleted        = "completed"
	statusNoResponse       = 0
	firstServerErrorStatus = 500
)

// Operator simulates an operator. It sends each change to one front after another until one responds conclusively.
type Operator struct {
	cluster *Cluster
	name    string
	number  int // counted from 1
	client  *http.Client

	mutex     sync.Mutex
	current   Configuration // newest configuration that was read or acknowledged
	dropShare float64       // share of the responses that are dropped, from 0 to 1
	excluded  *Machine      // a front that the operator does not call; nil for none
}

// NewOperator adds an operator to the cluster.
func (c *Cluster) NewOperator() *Operator {
	c.operators++
	name := fmt.Sprintf("operator-%d", c.operators)
	return &Operator{cluster: c, name: name, number: c.operators, client: c.newHTTPClient(operatorIP)}
}

// Current returns the newest configuration that the operator has read or has had acknowledged.
func (o *Operator) Current() Configuration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.current.clone()
}

func (o *Operator) setCurrent(configuration Configuration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.current = configuration
}

// DropResponses drops a share of all further responses to the operator, from 0 to 1.
func (o *Operator) DropResponses(share float64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.dropShare = share
}

// Exclude makes the operator avoid a front that is known to be faulty. Nil cancels the exclusion.
func (o *Operator) Exclude(front *Machine) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.excluded = front
}

// fronts returns the fronts that the operator calls.
func (o *Operator) fronts() []*Machine {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.DeleteFunc(o.cluster.machinesOf(classFront), func(front *Machine) bool { return front == o.excluded })
}

// dropsResponse reports, at random, whether to drop a response.
func (o *Operator) dropsResponse() bool {
	o.mutex.Lock()
	share := o.dropShare
	o.mutex.Unlock()
	return share > 0 && o.cluster.random.fraction() < share
}

// ReadAt reads the configuration once, at one front, and records the response.
func (o *Operator) ReadAt(front *Machine) {
	from := o.cluster.recorder.now()
	status, body := o.call(front, http.MethodGet, pathRead, nil, nil)
	if status != http.StatusOK {
		return
	}
	read, err := parseConfiguration(body)
	if err != nil {
		o.cluster.t.Errorf("%s returned an invalid configuration: %v", front.Name, err)
		return
	}
	o.recordRead(from, read)
}

// ReplaceAt sends a complete configuration once, to one front. It reports whether the response was conclusive.
func (o *Operator) ReplaceAt(front *Machine, base uint64, next Configuration) bool {
	header := http.Header{headerBase: {strconv.FormatUint(base, 10)}, "Content-Type": {"application/json"}}
	status := o.recordChange(base, next, func() int {
		status, _ := o.call(front, http.MethodPost, pathReplace, header, next.replacement())
		if !isConclusive(status) {
			return statusNoResponse
		}
		return status
	})
	return status != statusNoResponse
}

// Replace sends a complete configuration. It reports whether the system acknowledged it within the limit.
func (o *Operator) Replace(base uint64, next Configuration, limit time.Duration) bool {
	return o.submit(pathReplace, base, next, next.replacement(), limit)
}

// Update sends a configuration as an update of the current one. It reports whether the system acknowledged it within
// the limit.
func (o *Operator) Update(next Configuration, limit time.Duration) bool {
	current := o.Current()
	return o.submit(pathUpdate, current.Version, next, next.update(&current), limit)
}

// submit sends a change until a response is conclusive or the limit has passed. It reports whether the system
// acknowledged the change.
func (o *Operator) submit(path string, base uint64, next Configuration, body []byte, limit time.Duration) bool {
	header := http.Header{headerBase: {strconv.FormatUint(base, 10)}, "Content-Type": {"application/json"}}
	status := o.recordChange(base, next, func() int {
		status, _ := o.callUntilConclusive(http.MethodPost, path, header, body, limit)
		return status
	})
	if status == http.StatusOK {
		o.setCurrent(next)
	}
	return status == http.StatusOK
}

// recordChange records a change, sends it, and records the status of its response: statusNoResponse if none was
// conclusive.
func (o *Operator) recordChange(base uint64, next Configuration, send func() int) int {
	recorder := o.cluster.recorder
	position := 0
	recorder.write(func(history *History) {
		position = len(history.Changes)
		history.Changes = append(history.Changes, ConfigurationChange{
			Operator: o.name, Base: base, Configuration: next.clone(), SentAt: recorder.now(),
		})
	})
	status := send()
	recorder.write(func(history *History) {
		history.Changes[position].AnsweredAt = recorder.now()
		history.Changes[position].Status = status
	})
	return status
}

// MoveRoute changes the current configuration so that the route "moving" points to the next service, and waits for the
// acknowledgement. It reports whether that arrived within the limit.
func (o *Operator) MoveRoute(limit time.Duration) bool {
	next := o.nextConfiguration()
	return o.Update(next, limit)
}

// nextConfiguration returns the configuration that MoveRoute sends next. It differs between operators.
func (o *Operator) nextConfiguration() Configuration {
	next := o.Current()
	next.Version++
	if route := next.Route("plain"); route != nil {
		route.Timeout = time.Second + time.Duration(o.number)*time.Millisecond
	}
	if route := next.Route("moving"); route != nil {
		route.Service = MovingServices[int(next.Version)%len(MovingServices)]
	}
	return next
}

// Retire starts the retirement of a store and waits for it. It reports whether the retirement completed within the
// limit.
func (o *Operator) Retire(store *Machine, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	path := pathRetire + store.Name
	status, _ := o.callUntilConclusive(http.MethodPost, path+"/start", nil, []byte(`{"duration-s":10}`), limit)
	if status != http.StatusOK {
		o.cluster.t.Errorf("%v: starting to retire %s failed with status %d", o.cluster.recorder.now(), store.Name, status)
		return false
	}
	for time.Now().Before(deadline) {
		status, body := o.callUntilConclusive(http.MethodGet, path+"/read", nil, nil, time.Until(deadline))
		var state stateDocument
		if status == http.StatusOK && json.Unmarshal(body, &state) == nil && state.State == retireCompleted {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// Read returns the configuration that the system reports, and whether there was a valid response within the limit.
func (o *Operator) Read(limit time.Duration) (Configuration, bool) {
	status, body := o.callUntilConclusive(http.MethodGet, pathRead, nil, nil, limit)
	if status != http.StatusOK {
		return Configuration{}, false
	}
	read, err := parseConfiguration(body)
	if err != nil {
		o.cluster.t.Errorf("the system returned an invalid configuration: %v", err)
		return Configuration{}, false
	}
	return read, true
}

// readBack reads the configuration repeatedly for readBackDuration, and records every response.
func (o *Operator) readBack() {
	deadline := time.Now().Add(readBackDuration)
	for time.Now().Before(deadline) {
		from := o.cluster.recorder.now()
		if read, ok := o.Read(time.Until(deadline)); ok {
			o.recordRead(from, read)
		}
		time.Sleep(maxBackoff)
	}
}

func (o *Operator) recordRead(from time.Duration, read Configuration) {
	o.cluster.recorder.write(func(history *History) {
		record := ConfigurationRead{From: from, At: o.cluster.recorder.now(), Configuration: read}
		history.Reads = append(history.Reads, record)
	})
}

// nextFront returns a random front that has not been tried yet, and adds it to those that have. After all of them, it
// begins again.
func (o *Operator) nextFront(tried map[*Machine]bool) *Machine {
	untried := slices.DeleteFunc(o.fronts(), func(front *Machine) bool { return tried[front] })
	if len(untried) == 0 {
		clear(tried)
		untried = o.fronts()
	}
	chosen := untried[o.cluster.random.intN(len(untried))]
	tried[chosen] = true
	return chosen
}

// callUntilConclusive repeats a call at one front after another, in random order, until a response is conclusive or the
// limit has passed.
func (o *Operator) callUntilConclusive(
	method, path string, header http.Header, body []byte, limit time.Duration,
) (int, []byte) {
	deadline := time.Now().Add(limit)
	pause := initialBackoff
	tried := make(map[*Machine]bool)
	for time.Now().Before(deadline) {
		status, responseBody := o.call(o.nextFront(tried), method, path, header, body)
		if isConclusive(status) {
			return status, responseBody
		}
		time.Sleep(pause)
		pause = min(2*pause, maxBackoff)
	}
	return statusNoResponse, nil
}

// isConclusive reports whether a status is the final result of a call. A missing response and a response that asks for
// a retry are not.
func isConclusive(status int) bool {
	switch status {
	case statusNoResponse, http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return status < firstServerErrorStatus
}

// call makes one call. The status is statusNoResponse if no complete response arrives.
func (o *Operator) call(front *Machine, method, path string, header http.Header, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(o.cluster.ctx, operatorCallTimeout)
	defer cancel()
	url := "http://" + front.address(controlPort) + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return statusNoResponse, nil
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := o.client.Do(request)
	if err != nil {
		return statusNoResponse, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || o.dropsResponse() {
		return statusNoResponse, nil
	}
	return response.StatusCode, text
}
