package replication

// Names of the group's calls.
const (
	methodPrepare   = "group.promise"   // prepareRequest -> prepareResponse
	methodAccept    = "group.accept"    // acceptRequest -> acceptResponse
	methodAttach    = "group.attach"    // attachRequest, with a body where it carries the state -> attachResponse
	methodAppend    = "group.append"    // appendRequest, records in the body -> appendResponse
	methodHeartbeat = "group.heartbeat" // heartbeatRequest, payload in the body -> heartbeatResponse, payload in the body
	methodStatus    = "group.status"    // nothing -> statusResponse
)

// prepareRequest asks a witness to promise an epoch to a candidate.
type prepareRequest struct {
	Target    string `json:"target"` // the witness's disk id
	Epoch     uint64 `json:"epoch"`
	Candidate string `json:"candidate"`          // disk id
	View      View   `json:"view"`               // the newest view the candidate knows
	PreVote   bool   `json:"trial,omitempty"`    // only asks whether the witness would promise
	Bootstrap bool   `json:"founding,omitempty"` // the view is the one a new group begins with
}

type prepareResponse struct {
	Granted  bool   `json:"granted"`
	Promised uint64 `json:"promised"`           // the highest epoch the witness has promised
	Accepted *View  `json:"accepted,omitempty"` // the newest view it has accepted
}

// acceptRequest asks a witness to accept a view.
type acceptRequest struct {
	Target    string `json:"target"`
	View      View   `json:"view"`
	Bootstrap bool   `json:"founding,omitempty"` // the view begins a new group
}

type acceptResponse struct {
	Accepted bool   `json:"accepted"`
	Promised uint64 `json:"promised"`
}

// attachRequest makes a process follow the log of an epoch's primary. Without a body it succeeds only where the
// process already has the same log.
type attachRequest struct {
	Target      string   `json:"target"`
	Epoch       uint64   `json:"epoch"`
	Primary     string   `json:"primary"`
	Last        position `json:"last"`               // the end of the primary's log
	HasSnapshot bool     `json:"complete,omitempty"` // the body is the primary's whole state
}

type attachResponse struct {
	Attached bool   `json:"attached"`
	Promised uint64 `json:"promised"`
}

// appendRequest carries records to a backup. One without records asks only whether the epoch still holds.
type appendRequest struct {
	Target  string   `json:"target"`
	Epoch   uint64   `json:"epoch"`
	Primary string   `json:"primary"`
	After   position `json:"after"` // where the records join the log
	Commit  uint64   `json:"commit"`
}

type appendResponse struct {
	Attached bool   `json:"attached"` // the backup follows this epoch and has synced the records
	Promised uint64 `json:"promised"`
}

type heartbeatRequest struct {
	Target  string `json:"target"`
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	Commit  uint64 `json:"commit"`
	Leading bool   `json:"leading"` // the primary's lease runs
	// Echo is the number of the member's newest response that the primary has received; 0 where it has none. It tells the
	// member that this heartbeat was sent after that answer, however long it was on its way.
	Echo uint64 `json:"echo,omitempty"`
}

type heartbeatResponse struct {
	Supported bool   `json:"heard"`    // the witness stands by this primary
	Promised  uint64 `json:"promised"` // the highest epoch it has promised
	Accepted  uint64 `json:"accepted"` // the epoch of the newest view it has accepted
	Attached  bool   `json:"attached"` // it follows the primary's log
	Number    uint64 `json:"number"`   // of this response; no other answer of any process of this member has it
}

type statusResponse struct {
	DiskID  string `json:"diskId"`
	Leading bool   `json:"leading"`
	Epoch   uint64 `json:"epoch"`
}
