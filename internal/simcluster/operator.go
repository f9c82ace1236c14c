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
	operatorIP       = "10.5.0.1"
	orderPatience    = time.Second // with the silence of one front
	firstPause       = 100 * time.Millisecond
	longestPause     = time.Second
	readBackFor      = contact
	headerBase       = "X-If-Base-Version"
	pathReplace      = configurationPath + "replace"
	pathUpdate       = configurationPath + "update"
	pathRead         = configurationPath + "read"
	pathRetire       = "/api/retire/"
	retireCompleted  = "completed"
	statusNoAnswer   = 0
	serverErrorsFrom = 500
)

// Operator stands in for an operator: it sends orders to one front after the other until one answers clearly.
type Operator struct {
	cluster *Cluster
	name    string
	number  int // from 1
	client  *http.Client

	mutex   sync.Mutex
	current Configuration // the newest that it has read or had acknowledged
	lost    float64       // this part of all answers is lost on its way
	avoided *Machine      // a front that is not asked; nil for none
}

// NewOperator makes one more operator.
func (c *Cluster) NewOperator() *Operator {
	c.operators++
	name := fmt.Sprintf("operator-%d", c.operators)
	return &Operator{cluster: c, name: name, number: c.operators, client: c.newHTTPClient(operatorIP)}
}

// Current returns the newest configuration that the operator knows of.
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

// LoseAnswers has a part of all answers to the operator be lost on their way, from now on.
func (o *Operator) LoseAnswers(part float64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lost = part
}

// Avoid has the operator leave a front out, as one that knows of its trouble.
func (o *Operator) Avoid(front *Machine) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.avoided = front
}

// fronts returns the fronts that the operator asks.
func (o *Operator) fronts() []*Machine {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.DeleteFunc(o.cluster.machinesOf(classFront), func(front *Machine) bool { return front == o.avoided })
}

// losesAnswer tells whether an answer is lost.
func (o *Operator) losesAnswer() bool {
	o.mutex.Lock()
	part := o.lost
	o.mutex.Unlock()
	return part > 0 && o.cluster.random.part() < part
}

// ReadAt asks one front for the configuration, once, and notes the answer.
func (o *Operator) ReadAt(front *Machine) {
	from := o.cluster.recorder.now()
	status, body := o.call(front, http.MethodGet, pathRead, nil, nil)
	if status != http.StatusOK {
		return
	}
	read, err := parseConfiguration(body)
	if err != nil {
		o.cluster.t.Errorf("what %s answered is no configuration: %v", front.Name, err)
		return
	}
	o.noteRead(from, read)
}

// ReplaceAt sends a whole configuration to one front, once. It tells whether the answer was clear.
func (o *Operator) ReplaceAt(front *Machine, base uint64, next Configuration) bool {
	header := http.Header{headerBase: {strconv.FormatUint(base, 10)}, "Content-Type": {"application/json"}}
	status := o.noteOrder(base, next, func() int {
		status, _ := o.call(front, http.MethodPost, pathReplace, header, next.replacement())
		if !isClear(status) {
			return statusNoAnswer
		}
		return status
	})
	return status != statusNoAnswer
}

// Replace sends a whole configuration. It tells whether it was acknowledged within a limit.
func (o *Operator) Replace(base uint64, next Configuration, limit time.Duration) bool {
	return o.order(pathReplace, base, next, next.replacement(), limit)
}

// Update sends a configuration as a change of the current one.
func (o *Operator) Update(next Configuration, limit time.Duration) bool {
	current := o.Current()
	return o.order(pathUpdate, current.Version, next, next.update(&current), limit)
}

func (o *Operator) order(path string, base uint64, next Configuration, body []byte, limit time.Duration) bool {
	header := http.Header{headerBase: {strconv.FormatUint(base, 10)}, "Content-Type": {"application/json"}}
	status := o.noteOrder(base, next, func() int {
		status, _ := o.untilClear(http.MethodPost, path, header, body, limit)
		return status
	})
	if status == http.StatusOK {
		o.setCurrent(next)
	}
	return status == http.StatusOK
}

// noteOrder notes an order with its answer, where it gets a clear one.
func (o *Operator) noteOrder(base uint64, next Configuration, send func() int) int {
	recorder := o.cluster.recorder
	position := 0
	recorder.write(func(history *History) {
		position = len(history.Orders)
		history.Orders = append(history.Orders, Order{
			Operator: o.name, Base: base, Configuration: next.clone(), SentAt: recorder.now(),
		})
	})
	status := send()
	recorder.write(func(history *History) {
		history.Orders[position].AnsweredAt = recorder.now()
		history.Orders[position].Status = status
	})
	return status
}

// Move changes the current configuration so that the route "moving" goes to the next service, and waits for the
// acknowledgement.
func (o *Operator) Move(limit time.Duration) bool {
	next := o.nextMove()
	return o.Update(next, limit)
}

// nextMove returns the configuration after the current one. Those of two operators differ.
func (o *Operator) nextMove() Configuration {
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

// Retire has a store emptied, and waits for it. It tells whether that was done within a limit.
func (o *Operator) Retire(store *Machine, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	path := pathRetire + store.Name
	status, _ := o.untilClear(http.MethodPost, path+"/start", nil, []byte(`{"duration-s":10}`), limit)
	if status != http.StatusOK {
		o.cluster.t.Errorf("%v: retiring %s: answer %d", o.cluster.recorder.now(), store.Name, status)
		return false
	}
	for time.Now().Before(deadline) {
		status, body := o.untilClear(http.MethodGet, path+"/read", nil, nil, time.Until(deadline))
		var state stateDocument
		if status == http.StatusOK && json.Unmarshal(body, &state) == nil && state.State == retireCompleted {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// Read returns the configuration as the system has it.
func (o *Operator) Read(limit time.Duration) (Configuration, bool) {
	status, body := o.untilClear(http.MethodGet, pathRead, nil, nil, limit)
	if status != http.StatusOK {
		return Configuration{}, false
	}
	read, err := parseConfiguration(body)
	if err != nil {
		o.cluster.t.Errorf("the configuration that was read back is no configuration: %v", err)
		return Configuration{}, false
	}
	return read, true
}

// readBack asks for the configuration for some time, and notes every answer.
func (o *Operator) readBack() {
	deadline := time.Now().Add(readBackFor)
	for time.Now().Before(deadline) {
		from := o.cluster.recorder.now()
		if read, ok := o.Read(time.Until(deadline)); ok {
			o.noteRead(from, read)
		}
		time.Sleep(longestPause)
	}
}

func (o *Operator) noteRead(from time.Duration, read Configuration) {
	o.cluster.recorder.write(func(history *History) {
		answer := ConfigurationRead{From: from, At: o.cluster.recorder.now(), Configuration: read}
		history.Reads = append(history.Reads, answer)
	})
}

// untilClear sends a call again and again, to any front, until the answer is clear.
func (o *Operator) untilClear(
	method, path string, header http.Header, body []byte, limit time.Duration,
) (int, []byte) {
	deadline := time.Now().Add(limit)
	pause := firstPause
	for time.Now().Before(deadline) {
		fronts := o.fronts()
		front := fronts[o.cluster.random.intN(len(fronts))]
		status, answer := o.call(front, method, path, header, body)
		if isClear(status) {
			return status, answer
		}
		time.Sleep(pause)
		pause = min(2*pause, longestPause)
	}
	return statusNoAnswer, nil
}

func isClear(status int) bool {
	switch status {
	case statusNoAnswer, http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return status < serverErrorsFrom
}

func (o *Operator) call(front *Machine, method, path string, header http.Header, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(o.cluster.ctx, orderPatience)
	defer cancel()
	url := "http://" + front.address(controlPort) + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return statusNoAnswer, nil
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := o.client.Do(request)
	if err != nil {
		return statusNoAnswer, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || o.losesAnswer() {
		return statusNoAnswer, nil
	}
	return response.StatusCode, text
}
