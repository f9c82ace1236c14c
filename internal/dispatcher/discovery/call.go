package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"gladepick/internal/decision"
)

// errListTooLarge is the error of a list that is larger than Limits.WorkerListBytes.
var errListTooLarge = errors.New("a list is larger than the limits allow")

// watch makes one call and follows its answer to the end; up tells whether discovery said anything.
func (w *Watcher) watch(ctx context.Context) (up bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A machine that is cut off says nothing and closes nothing: without this a watch would stand for ever.
	watchdog := time.AfterFunc(w.limits.DiscoveryCallTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	call := w.currentTarget(cancel)
	defer func() {
		if cause := context.Cause(ctx); cause == errMoved || err != nil && cause == errSilent {
			err = cause
		}
	}()
	url := fmt.Sprintf("http://%s/discovery/hosts?watch=1&after=%d", call.address, call.generation)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("discovery answered %d", resp.StatusCode)
	}
	// The call has been taken: from here on it is the silence that counts.
	watchdog.Reset(w.limits.DiscoverySilenceTimeout)
	body := &limitedReader{Reader: resp.Body, limit: w.limits.WorkerListBytes, onData: func() {
		watchdog.Reset(w.limits.DiscoverySilenceTimeout)
		up = true
	}}
	err = w.readLists(body, call.moves)
	return up, err
}

// readLists reads the objects of a watch, one after the other, up to its end. The error is nil where the watch ended
// between two of them.
func (w *Watcher) readLists(body *limitedReader, moves int) error {
	body.nextObject()
	decoder := json.NewDecoder(body) // objects may be spread over lines, and lines may be blank
	newest := int64(0)               // of this watch: what its start says is what discovery holds, whatever was known before
	for {
		var text json.RawMessage
		err := decoder.Decode(&text)
		body.nextObject()
		if err == nil {
			err = w.applyList(text, &newest, moves)
		}
		switch {
		case err == io.EOF:
			return nil
		case err == nil:
			continue
		case err == errMoved:
			return err
		}
		rest, _ := io.ReadAll(io.MultiReader(bytes.NewReader(text), decoder.Buffered()))
		return w.applyBroken(rest, err, moves)
	}
}

// applyBroken uses what is left of a watch that broke off with err. What is complete in an object that broke off has been
// delivered all the same; a worker that is not in it has not left.
func (w *Watcher) applyBroken(rest []byte, err error, moves int) error {
	if len(bytes.TrimSpace(rest)) == 0 { // it broke off between two objects
		return err
	}
	if !w.setGeneration(0, moves) { // what changed is unknown now: the next call asks for the complete list
		return errMoved
	}
	if complete := completeEntries(rest); len(complete) > 0 {
		w.OnList(decision.ListDelta, complete)
	}
	return err
}

// limitedReader passes on what a watch says, reports each sign of life, and bounds what one object may take.
type limitedReader struct {
	io.Reader
	onData      func()
	left, limit int // bytes
}

// nextObject gives the object that follows the whole limit.
func (r *limitedReader) nextObject() { r.left = r.limit }

// Read reads from the reader within, and fails with errListTooLarge beyond the limit.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errListTooLarge
	}
	n, err := r.Reader.Read(p[:min(len(p), r.left)])
	if r.left -= n; n > 0 {
		r.onData()
	}
	if len(bytes.TrimSpace(p[:n])) == 0 { // blank lines come as long as nothing changes
		r.left += n
	}
	return n, err
}
