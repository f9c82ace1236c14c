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

// errListTooLarge is returned for a list that is larger than Limits.WorkerListBytes.
var errListTooLarge = errors.New("a list of workers exceeds the size limit")

// watch makes one call and reads its response to the end. gotData reports whether any response data arrived.
func (w *Watcher) watch(ctx context.Context) (gotData bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A machine that loses its network sends nothing and closes nothing. Without the watchdog the call would never end.
	watchdog := time.AfterFunc(w.limits.DiscoveryCallTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	call := w.currentTarget(cancel)
	defer func() {
		if cause := context.Cause(ctx); cause == errAddressChanged || err != nil && cause == errSilent {
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
		return false, fmt.Errorf("discovery answered with status %d", resp.StatusCode)
	}
	// Discovery has accepted the call. From here on the watchdog bounds the time between two pieces of data.
	watchdog.Reset(w.limits.DiscoverySilenceTimeout)
	body := &limitedReader{Reader: resp.Body, limit: w.limits.WorkerListBytes, onData: func() {
		watchdog.Reset(w.limits.DiscoverySilenceTimeout)
		gotData = true
	}}
	err = w.readLists(body, call.addressVersion)
	return gotData, err
}

// readLists reads the objects of a watch until the response ends. It returns nil if the response ended between two
// objects.
func (w *Watcher) readLists(body *limitedReader, addressVersion int) error {
	body.nextObject()
	decoder := json.NewDecoder(body) // an object may span several lines, and lines may be blank
	// The newest version of this watch. It starts at 0 because the first object states what discovery holds, whatever
	// version was known before.
	newest := int64(0)
	for {
		var text json.RawMessage
		err := decoder.Decode(&text)
		body.nextObject()
		if err == nil {
			err = w.applyList(text, &newest, addressVersion)
		}
		switch {
		case err == io.EOF:
			return nil
		case err == nil:
			continue
		case err == errAddressChanged:
			return err
		}
		rest, _ := io.ReadAll(io.MultiReader(bytes.NewReader(text), decoder.Buffered()))
		return w.applyBroken(rest, err, addressVersion)
	}
}

// applyBroken applies the rest of a watch that broke off with err. Discovery counts the complete entries of a truncated
// object as delivered, so they are applied as a change; a worker that is missing from the object has not left.
func (w *Watcher) applyBroken(rest []byte, err error, addressVersion int) error {
	if len(bytes.TrimSpace(rest)) == 0 { // the watch broke off between two objects
		return err
	}
	if !w.setGeneration(0, addressVersion) { // the rest of the change is unknown: the next call requests the complete list
		return errAddressChanged
	}
	if complete := completeEntries(rest); len(complete) > 0 {
		w.OnList(decision.ListDelta, complete)
	}
	return err
}

// limitedReader reads the response of a watch. It calls onData whenever data arrives and bounds the size of one object.
type limitedReader struct {
	io.Reader
	onData           func()
	remaining, limit int // remaining and maximum size of the current object in bytes
}

// nextObject resets the bound for the next object.
func (r *limitedReader) nextObject() { r.remaining = r.limit }

// Read reads from the underlying reader. It returns errListTooLarge once the object exceeds the limit.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errListTooLarge
	}
	n, err := r.Reader.Read(p[:min(len(p), r.remaining)])
	if r.remaining -= n; n > 0 {
		r.onData()
	}
	if len(bytes.TrimSpace(p[:n])) == 0 { // discovery sends blank lines while nothing changes
		r.remaining += n
	}
	return n, err
}
