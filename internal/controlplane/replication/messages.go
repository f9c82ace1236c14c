package replication

// Methods of the group's calls, with their parameters and results.
const (
	methodPrepare   = "group.promise"   // prepareRequest -> prepareResponse
	methodAccept    = "group.accept"    // acceptRequest -> acceptResponse
	methodAttach    = "group.attach"    // attachRequest, snapshot in the body if HasSnapshot is set -> attachResponse
	methodAppend    = "group.append"    // appendRequest, records in the body -> appendResponse
	methodHeartbeat = "group.heartbeat" // heartbeatRequest, payload in the body -> heartbeatResponse, payload in the body
	methodStatus    = "group.status"    // nothing -> statusResponse
)

// prepareRequest asks a witness to promise an epoch to a candidate. After the promise, the witness accepts no view of a
// lower epoch.
type prepareRequest struct {
	Target    string `json:"target"` // the witness's disk id
	Epoch     uint64 `json:"epoch"`
	Candidate string `json:"candidate"`          // disk id
	View      View   `json:"view"`               // the newest view the candidate knows
	PreVote   bool   `json:"trial,omitempty"`    // asks whether the witness would promise, without effect
	Bootstrap bool   `json:"founding,omitempty"` // the view is the first one of a new group
}

// prepareResponse is the response of a witness to a prepareRequest.
type prepareResponse struct {
	Granted  bool   `json:"granted"`
	Promised uint64 `json:"promised"`           // the highest epoch the witness has promised
	Accepted *View  `json:"accepted,omitempty"` // the newest view it has accepted
}

// acceptRequest asks a witness to accept a view.
type acceptRequest struct {
	Target    string `json:"target"`
	View      View   `json:"view"`
	Bootstrap bool   `json:"founding,omitempty"` // the view is the first one of a new group
}

// acceptResponse is the response of a witness to an acceptRequest.
type acceptResponse struct {
	Accepted bool   `json:"accepted"`
	Promised uint64 `json:"promised"`
}

// attachRequest makes a process follow the log of an epoch's primary. Without a snapshot it succeeds only if the
// process already has the same log.
type attachRequest struct {
	Target      string   `json:"target"`
	Epoch       uint64   `json:"epoch"`
	Primary     string   `json:"primary"`
	Last        position `json:"last"`               // the end of the primary's log
	HasSnapshot bool     `json:"complete,omitempty"` // the body is the primary's snapshot
}

// attachResponse is the response to an attachRequest.
type attachResponse struct {
	Attached bool   `json:"attached"`
	Promised uint64 `json:"promised"`
}

// appendRequest carries records, in the body, to a backup. Without records it only asks whether the backup still
// follows the epoch.
type appendRequest struct {
	Target  string   `json:"target"`
	Epoch   uint64   `json:"epoch"`
	Primary string   `json:"primary"`
	After   position `json:"after"` // the position that the records follow
	Commit  uint64   `json:"commit"`
}

// appendResponse is the response to an appendRequest.
type appendResponse struct {
	Attached bool   `json:"attached"` // the backup follows this epoch and has synced the records
	Promised uint64 `json:"promised"`
}

// heartbeatRequest is the primary's heartbeat. The body is the payload of Options.HeartbeatPayload.
type heartbeatRequest struct {
	Target  string `json:"target"`
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	Commit  uint64 `json:"commit"`
	Leading bool   `json:"leading"` // the primary's lease is valid
	// Echo is the number of the member's newest response that the primary has received, or 0 if there is none. It
	// proves to the member that this heartbeat was sent after that response, however long the heartbeat was in transit.
	Echo uint64 `json:"echo,omitempty"`
}

// heartbeatResponse is the response to a heartbeatRequest. The body is the payload of Options.ResponsePayload.
type heartbeatResponse struct {
	Supported bool   `json:"heard"`    // the witness supports this primary
	Promised  uint64 `json:"promised"` // the highest epoch it has promised
	Accepted  uint64 `json:"accepted"` // the epoch of the newest view it has accepted
	Attached  bool   `json:"attached"` // it follows the primary's log
	Number    uint64 `json:"number"`   // of this response; unique among all responses of this member, also across restarts
}

// statusResponse says whether a process leads.
type statusResponse struct {
	DiskID  string `json:"diskId"`
	Leading bool   `json:"leading"`
	Epoch   uint64 `json:"epoch"`
}
