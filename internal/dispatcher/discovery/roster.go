// Package discovery keeps the watch on discovery's list of workers. It owns the
// one call that is under way, the address it goes to, the version last heard of
// there, and the watchdog that ends a watch gone silent. The first call comes when the module asks, or at once where lists
// are pushed: there nobody asks. After a broken one this package calls again by itself, ever more rarely. It must never
// have two calls out, judge a worker, or hide that a call has failed.
package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// Roster watches discovery.
type Watcher struct {
	// Listed gets what discovery says, and ListFailed once for each call that ends.
	OnList func(decision.ListKind, []config.Worker)
	// Dial opens a connection; tests put their own in its place.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	node   *config.Node
	lim    config.Limits
	odd    [3]sync.Once // foreign and old lists, and entries that cannot be read, are logged once
	client *http.Client
	asked  chan struct{}
	pushed bool // an agent on this machine holds what it was sent, and gives it to whoever calls

	mu         sync.Mutex
	address    string
	generation int64                   // at this address; another's versions mean nothing here
	moves      int                     // addresses so far
	moved      chan struct{}           // something to call has been named anew
	hangUp     context.CancelCauseFunc // ends the call that is out
}

// New makes a roster; the list that the node knows gives the version to go on from.
func New(n *config.Node) *Watcher {
	r := &Watcher{node: n, address: n.Discovery, lim: n.Limits, generation: n.Known.Generation, asked: make(chan struct{}, 1),
		pushed: n.Module.Discovery == decision.DiscoveryPush,
		moved:  make(chan struct{}, 1), hangUp: func(error) {}, Dial: (&net.Dialer{Timeout: n.Limits.DiscoveryCallTimeout, KeepAlive: -1}).DialContext}
	// Each call has a connection of its own: nothing is left for a library to send again.
	r.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxConnsPerHost: n.Limits.DiscoveryConns,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return r.Dial(ctx, network, address)
		},
		MaxResponseHeaderBytes: int64(n.Limits.HeadBytes)}}
	return r
}

// Watch asks for a watch. While one is up or being called, asking again changes nothing.
func (r *Watcher) Watch(on bool) {
	if on {
		select {
		case r.asked <- struct{}{}:
		default:
		}
	}
}

// Move names another address of discovery. The watch goes over to it at once and asks for everything.
func (r *Watcher) SetAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address == r.address {
		return
	}
	r.address, r.generation, r.moves = address, 0, r.moves+1
	select {
	case r.moved <- struct{}{}:
	default:
	}
	r.hangUp(errMoved)
}

// called gives the address to call, and the version and the number of the move that belong to it.
func (r *Watcher) called(hangUp context.CancelCauseFunc) (address string, generation int64, moves int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hangUp = hangUp
	return r.address, r.generation, r.moves
}

// reached notes a version, unless the address has changed since.
func (r *Watcher) reached(generation int64, moves int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moves == moves {
		r.generation = generation
	}
	return r.moves == moves
}

// Run serves the calls until ctx ends.
func (r *Watcher) Run(ctx context.Context) {
	first := r.asked
	if address, _, _ := r.called(r.hangUp); address == "" { // no discovery: the list is what the operator's file says
		r.OnList(decision.ListFull, nil)
		first = nil
	} else if r.pushed { // the module waits for lists that come unasked
		r.Watch(true)
	}
	select {
	case <-ctx.Done():
		return
	case <-first:
	case <-r.moved:
	}
	for pause := r.lim.DiscoveryBackoff; ; {
		began := time.Now()
		up, err := r.watch(ctx)
		select { // what was asked for while the call was out was that same call
		case <-r.asked:
		default:
		}
		if ctx.Err() != nil {
			return
		}
		log.Printf("the watch on the roster has ended: %v", err)
		r.OnList(decision.ListFailed, nil)
		// Spread, lest all dispatchers call together when discovery comes back: it takes calls in turn. The module asks
		// again by itself, but later than a drain may wait that was told meanwhile.
		after := pause/2 + rand.N(pause)
		if up || errors.Is(err, errMoved) {
			// Discovery answers, and what it wrote when the watch broke off counts as told: there is no time to lose. A
			// pause that grew with each watch that broke outlasted the grace of a drain.
			pause = r.lim.DiscoveryBackoff
			if after = rand.N(pause / 4); time.Since(began) < pause {
				after += pause / 4
			}
		}
		wait := time.NewTimer(after)
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-r.asked:
			wait.Stop()
		case <-r.moved: // nothing has gone wrong there yet
			wait.Stop()
			pause = r.lim.DiscoveryBackoff
			continue
		case <-wait.C:
		}
		if !up {
			pause = min(2*pause, r.lim.DiscoveryBackoffMax)
		}
	}
}

var (
	errSilent = errors.New("discovery has gone silent")
	errMoved  = errors.New("discovery is at another address now")
)

// watch makes one call and follows it to its end; up tells whether discovery said anything.
func (r *Watcher) watch(ctx context.Context) (up bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A machine that is cut off says nothing and closes nothing: without this a watch would stand for ever.
	dog := time.AfterFunc(r.lim.DiscoveryCallTimeout, func() { cancel(errSilent) })
	defer dog.Stop()
	address, generation, moves := r.called(cancel)
	defer func() {
		if cause := context.Cause(ctx); cause == errMoved || err != nil && cause == errSilent {
			err = cause
		}
	}()
	url := fmt.Sprintf("http://%s/discovery/hosts?watch=1&after=%d", address, generation)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("discovery answered %d", resp.StatusCode)
	}
	// The call has been taken: from here on it is the silence that counts.
	dog.Reset(r.lim.DiscoverySilenceTimeout)
	heard := &heard{Reader: resp.Body, most: r.lim.WorkerListBytes, each: func() { dog.Reset(r.lim.DiscoverySilenceTimeout); up = true }}
	heard.left = heard.most
	in := json.NewDecoder(heard) // objects may be spread over lines, and lines may be blank
	newest := int64(0)           // of this watch: what stands at its start is what discovery holds, whatever was known before
	for {
		var text json.RawMessage
		err := in.Decode(&text)
		heard.left = heard.most
		if err == nil {
			err = r.take(text, &newest, moves)
		}
		switch {
		case err == io.EOF:
			return up, nil
		case err == nil:
			continue
		case err == errMoved:
			return up, err
		}
		rest, _ := io.ReadAll(io.MultiReader(bytes.NewReader(text), in.Buffered()))
		if len(bytes.TrimSpace(rest)) == 0 { // it broke off between two objects
			return up, err
		}
		if !r.reached(0, moves) { // what changed is unknown now: the next call asks for everything
			return up, errMoved
		}
		// What stands whole in an object that broke off has been told all the same. Who is not in it has not left.
		if told := whole(rest); len(told) > 0 {
			r.OnList(decision.ListDelta, told)
		}
		return up, err
	}
}

// heard passes on what a watch says, tells of each sign of life, and bounds what one object may take.
type heard struct {
	io.Reader
	each       func()
	left, most int
}

func (h *heard) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, errors.New("a list is larger than the limits allow")
	}
	n, err := h.Reader.Read(p[:min(len(p), h.left)])
	if h.left -= n; n > 0 {
		h.each()
	}
	if len(bytes.TrimSpace(p[:n])) == 0 { // blank lines come as long as nothing changes
		h.left += n
	}
	return n, err
}

// take passes on one object of a watch; an error ends that watch.
func (r *Watcher) take(text []byte, newest *int64, moves int) error {
	var list struct {
		config.WorkerList
		Workers []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	kind, generation, workers := decision.ListDelta, list.Generation, make([]config.Worker, 0, len(list.Workers))
	for _, entry := range list.Workers {
		var w config.Worker
		if err := json.Unmarshal(entry, &w); err != nil || w.ID == "" {
			r.odd[2].Do(func() { log.Printf("an entry of a list cannot be read, and counts as gone: %.200s (%v)", entry, err) })
			var named struct {
				ID string `json:"instanceId"`
			}
			if json.Unmarshal(entry, &named) != nil || named.ID == "" {
				continue
			}
			w = config.Worker{ID: named.ID, State: "gone"} // where it stands or whether it leaves is not known
		}
		workers = append(workers, w)
	}
	leavers := func() { workers = slices.DeleteFunc(workers, func(w config.Worker) bool { return w.State == "ready" }) }
	switch {
	case r.foreign(workers): // but one of ours may drain in a line that does not say where it stands
		r.odd[0].Do(func() {
			log.Printf("a list of %d workers, none of them of this deployment, is passed over: only who leaves counts", len(workers))
		})
		leavers()
		for i := range workers {
			workers[i].State = "gone" // of strangers nothing is kept
		}
		generation = *newest
	case generation < *newest:
		// The newer one stays in use. Who was to leave may be told so twice, but never be spared for it.
		r.odd[1].Do(func() {
			log.Printf("a list of version %d came after version %d: only who leaves counts", generation, *newest)
		})
		leavers()
	case list.Reset:
		kind = decision.ListFull
	}
	if *newest = max(*newest, generation); !r.reached(*newest, moves) { // an old address has no say any more
		return errMoved
	}
	r.OnList(kind, workers)
	return nil
}

// foreign tells whether a list has workers, and none of a kind and zone that the settings name.
func (r *Watcher) foreign(workers []config.Worker) bool {
	return len(workers) > 0 && len(r.node.Zones) > 0 && len(r.node.Kinds) > 0 && !slices.ContainsFunc(workers, func(w config.Worker) bool {
		return w.State == "gone" || slices.Contains(r.node.Zones, w.Zone) && slices.Contains(r.node.Kinds, w.Kind)
	})
}

// whole gives the entries that stand whole in a line, as far as it can be read.
func whole(text []byte) (out []config.Worker) {
	in := json.NewDecoder(bytes.NewReader(text))
	in.Token() // the brace
	for in.More() {
		key, err := in.Token()
		if err != nil {
			break
		} else if key != "instances" {
			var other json.RawMessage
			if in.Decode(&other) != nil {
				break
			}
			continue
		}
		in.Token() // the bracket
		for in.More() {
			var w config.Worker
			if in.Decode(&w) != nil || w.ID == "" {
				return out
			}
			out = append(out, w)
		}
		break
	}
	return out
}
