// Package updates answers what a process lacks of the control state: the configuration, the cluster table and the list
// of workers.
//
// A process names the versions that it holds; Source.Since returns what leads from them to the newest ones, as changes
// where they are known and shorter, else as a whole. Many processes hold the same versions and ask at the same moment,
// so each part is encoded, and the configuration compressed, once for all of them. The caches have a mutex each and are
// used concurrently; the package starts no goroutine and waits for nothing. What it reads is immutable. Start reading
// at Source.Since.
package updates

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/workerlist"
)

// Response is an answer to a sync. Its parts that many callers get alike are encoded once for all of them; they stand in
// the place of the fields of SyncResponse with the same names.
type Response struct {
	cluster.SyncResponse
	Table         json.RawMessage `json:"table,omitempty"`
	TableChanges  json.RawMessage `json:"tableChanges,omitempty"`
	Workers       json.RawMessage `json:"workers,omitempty"`
	WorkerChanges json.RawMessage `json:"workerChanges,omitempty"`
}

// HasUpdates tells whether there is anything that the caller does not hold.
func (r *Response) HasUpdates() bool {
	return r.ConfigVersion != 0 || len(r.Table)+len(r.TableChanges)+len(r.Workers)+len(r.WorkerChanges) > 0
}

// Source knows the newest state, and what leads to it.
type Source struct {
	state      *controlstate.Machine
	workers    *workerlist.Cache
	compressor bodyCompressor
	tables     encodeCache[uint64]
	lists      encodeCache[cluster.WorkerVersion]
}

// NewSource returns a source of what a state machine and a list of workers hold.
func NewSource(state *controlstate.Machine, workers *workerlist.Cache) *Source {
	return &Source{state: state, workers: workers}
}

// Changed returns channels that are closed at the next change of the state, and of the list of workers. The second is
// nil for a process that delivers nothing: it does not get the list and waits for no change of it.
func (s *Source) Changed(request *cluster.SyncRequest) (state, workers <-chan struct{}) {
	state = s.state.Changed()
	if request.Node.Store {
		workers = s.workers.Changed()
	}
	return state, workers
}

// Since collects what is newer than what the caller holds. The bytes are the configuration, uncompressed.
func (s *Source) Since(request *cluster.SyncRequest) (*Response, []byte, error) {
	current := s.state.Current()
	response := &Response{}
	if err := s.addTable(response, current, request.TableRevision); err != nil {
		return nil, nil, err
	}
	if err := s.addWorkers(response, request); err != nil {
		return nil, nil, err
	}
	return response, addConfiguration(response, current, request.ConfigVersion), nil
}

// addTable adds what is newer than a revision of the table.
func (s *Source) addTable(response *Response, current *controlstate.State, revision uint64) error {
	newest := current.Table.Revision
	if newest <= revision {
		return nil
	}
	var err error
	changes, known := current.TableChangesSince(revision)
	if !known {
		response.Table, err = s.tables.get(0, newest, current.Table)
		return trace.Wrap(err)
	}
	response.TableChanges, err = s.tables.get(revision, newest, changes)
	return trace.Wrap(err)
}

// addWorkers adds what is newer than the list of workers that the caller holds.
func (s *Source) addWorkers(response *Response, request *cluster.SyncRequest) error {
	workers, readAt := s.workers.Load()
	response.WorkersAgeMS = -1
	if workers == nil {
		return nil
	}
	response.WorkersAgeMS = time.Since(readAt).Milliseconds()
	response.WorkerCount = len(workers.Workers)
	held := cluster.WorkerVersion{Epoch: request.WorkersEpoch, Revision: request.WorkersRevision}
	if !request.Node.Store || !workers.Version().NewerThan(held) {
		return nil
	}
	var err error
	if changes, known := s.workers.ChangesSince(held); known {
		newest := changes[len(changes)-1].To
		response.WorkerChanges, err = s.lists.get(held, newest, changes)
		return trace.Wrap(err)
	}
	response.Workers, err = s.lists.get(cluster.WorkerVersion{}, workers.Version(), workers)
	return trace.Wrap(err)
}

// addConfiguration announces what is newer than a version of the configuration, and returns it.
func addConfiguration(response *Response, current *controlstate.State, version uint64) []byte {
	if current.ConfigVersion() <= version {
		return nil
	}
	response.ConfigVersion = current.ConfigVersion()
	configUpdates, found := current.ConfigUpdatesSince(version)
	if !found {
		return current.Document.JSON()
	}
	var body []byte
	for _, update := range configUpdates {
		response.ConfigUpdates = append(response.ConfigUpdates, len(update.Body))
		body = append(body, update.Body...)
	}
	return body
}

// Compress compresses the body of a response, and notes in the response that it did; where that does not pay, the body
// stays. A configuration of many routes takes long over the links of small machines, and all processes ask for it at once.
func (s *Source) Compress(request *cluster.SyncRequest, response *Response, body []byte) []byte {
	if len(body) == 0 {
		return body
	}
	from := request.ConfigVersion
	if len(response.ConfigUpdates) == 0 {
		from = 0
	}
	compressed, pays := s.compressor.compress(from, response.ConfigVersion, body)
	if !pays {
		return body
	}
	response.Compressed = true
	return compressed
}
