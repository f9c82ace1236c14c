// Package updates computes the parts of the control state that a process does not hold yet: the configuration, the
// cluster table and the list of workers.
//
// A process names the versions that it holds. Source.Since returns the updates from these versions to the newest ones:
// as changes if they are known and shorter, and otherwise in full. Many processes hold the same versions and sync at
// the same time, so each part is encoded, and the configuration is compressed, once for all of them. Each cache has a
// mutex and is used concurrently. The package starts no goroutine and never blocks on a change. The state that it reads
// is immutable. Start reading at Source.Since.
package updates

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/workerlist"
)

// Response is the response to a sync. Its raw fields hold parts that are encoded once for many callers. They shadow the
// fields of SyncResponse with the same names.
type Response struct {
	cluster.SyncResponse
	Table         json.RawMessage `json:"table,omitempty"`
	TableChanges  json.RawMessage `json:"tableChanges,omitempty"`
	Workers       json.RawMessage `json:"workers,omitempty"`
	WorkerChanges json.RawMessage `json:"workerChanges,omitempty"`
}

// HasUpdates reports whether the response holds anything that the caller does not hold.
func (r *Response) HasUpdates() bool {
	return r.ConfigVersion != 0 || len(r.Table)+len(r.TableChanges)+len(r.Workers)+len(r.WorkerChanges) > 0
}

// Source computes the updates that lead to the newest state. It is safe for concurrent use.
type Source struct {
	state      *controlstate.Machine
	workers    *workerlist.Cache
	compressor bodyCompressor
	tables     encodeCache[uint64]
	lists      encodeCache[cluster.WorkerVersion]
}

// NewSource returns a source of the updates of a state machine and a list of workers.
func NewSource(state *controlstate.Machine, workers *workerlist.Cache) *Source {
	return &Source{state: state, workers: workers}
}

// Changed returns a channel that is closed at the next change of the state, and one that is closed at the next change
// of the list of workers. The second is nil for a process that is not a store, because such a process does not receive
// the list.
func (s *Source) Changed(request *cluster.SyncRequest) (state, workers <-chan struct{}) {
	state = s.state.Changed()
	if request.Node.Store {
		workers = s.workers.Changed()
	}
	return state, workers
}

// Since returns the parts of the state that are newer than the caller's. The returned bytes are the uncompressed body:
// the complete configuration, or the updates of it.
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

// addTable adds the changes of the table since a revision, or the complete table if these changes are not known.
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

// addWorkers adds the age of the list of workers and, if the caller is a store, the changes since the list that it
// holds or the complete list.
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

// addConfiguration returns the updates of the configuration since a version, or the complete configuration if these
// updates are not known. It adds the version and the lengths of the updates to the response.
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

// Compress returns the compressed body of a response and sets Compressed in the response. If the body is small or
// does not shrink, it returns the body unchanged. Compression matters because a configuration with many routes takes
// long over the links of small machines, and all processes fetch it at once.
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
