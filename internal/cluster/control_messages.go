package cluster

// Method strings of the control plane's calls, with their parameters and results. See package controlplane. A caller
// may send any of them to any member of the control group. A member that is not the primary rejects the primary's
// methods with rpc.CodeNotLeader and may name the primary.
const (
	// MethodSync is served by any member of the control group that is up to date: SyncRequest -> SyncResponse.
	MethodSync = "control.sync"
	// MethodFailureReport is served by the control group's primary: FailureReport -> empty.
	MethodFailureReport = "control.report"
	// MethodOperator is served by the control group's primary: OperatorRequest with the body -> OperatorResponse with the
	// body.
	MethodOperator = "control.operator"
	// MethodPartitionRequest is served by the control group's primary: PartitionRequest -> empty.
	MethodPartitionRequest = "control.partition.ask"
)

// FailureReport reports to the control plane that a process could not be reached. The control plane checks the process
// itself.
type FailureReport struct {
	Node    string `json:"node"`    // name of the process that seems to have failed
	Address string `json:"address"` // address that was called
	// Refused is set if the connection was refused or reset. It is informative only, as the control group's primary pings
	// the process itself.
	Refused bool `json:"refused"`
}

// PartitionRequest is a request by a partition's primary to change its replica group. The control plane rejects it
// unless the epoch is the current one.
type PartitionRequest struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	Store     string `json:"store"` // name of the primary that makes the request
	// Drop names a backup that does not respond. Another store replaces it if one is available.
	Drop string `json:"drop,omitempty"`
	// Synced names a backup that now has every committed message.
	Synced string `json:"synced,omitempty"`
	// Handover asks for another synced replica to become the primary. The store has stopped delivering.
	Handover bool `json:"handover,omitempty"`
	// Ready names the backups to which the primary may hand over: they certainly have the result of every message. A
	// backup that the control plane knows as synced may still lack the latest results. Empty means any backup.
	Ready []string `json:"ready,omitempty"`
	// Renew asks for a new epoch with the same replicas, because a replica has rejected the current one.
	Renew bool `json:"renew,omitempty"`
}

// OperatorRequest is a request to the operator's API that is forwarded to the control group's primary.
type OperatorRequest struct {
	Method      string `json:"method"`
	Path        string `json:"path"`
	BaseVersion string `json:"base,omitempty"` // value of the header X-If-Base-Version
}

// OperatorResponse is the response to an OperatorRequest.
type OperatorResponse struct {
	Status int `json:"status"` // HTTP status code
}
