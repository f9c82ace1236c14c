// Package operatorapi serves the operator's API at the control group's primary: it replaces, updates and reads the
// configuration, and retires stores.
//
// A configuration request is a call that replaces or updates the configuration. It names the version of the
// configuration that it is based on, and it is applied at most once: its digest identifies it, so a repeated request is
// acknowledged and not applied again. Configuration requests are processed one at a time, under a semaphore; all other
// calls are concurrent. The package owns no state: the configuration, the digests and the retire jobs are in package
// controlstate, and the cluster table is changed through a TableEditor. The package starts no goroutine. Start reading
// at API.Serve.
package operatorapi

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/placement"
	"gladepick/internal/controlplane/replication"
	"gladepick/internal/controlplane/syncutil"
	"gladepick/internal/rpc"
)

// Paths of the operator's API.
const (
	pathReplace = "/api/config/replace"
	pathUpdate  = "/api/config/update"
	pathRead    = "/api/config/read"
	pathRetire  = "/api/retire/" // followed by the store's name and retireStart or retireRead
	retireStart = "/start"
	retireRead  = "/read"
)

const (
	callTimeout              = 3 * time.Second // from the arrival of a call at the primary
	bytesPerExtraMillisecond = 200             // callTimeout grows by 1 ms for each 200 bytes of the body
)

// Group is the part of the control group's API that this package uses.
type Group interface {
	// Propose returns nil after the change is in force and stored on enough disks.
	Propose(ctx context.Context, change []byte) error
	// ReadBarrier returns nil only if this process was still the primary after the call began.
	ReadBarrier(ctx context.Context) error
	// DurableBarrier is a ReadBarrier that also waits until enough disks hold the state that is in force at this
	// process.
	DurableBarrier(ctx context.Context) error
}

// Leadership returns the errors that redirect callers to the primary of the control group.
type Leadership interface {
	// RequirePrimary returns nil if this process is the primary, and otherwise the same error as NotLeader.
	RequirePrimary() error
	// NotLeader returns a CodeNotLeader error that holds the primary's address, if it is known.
	NotLeader() error
}

// TableEditor changes the cluster table.
type TableEditor interface {
	// Edit calls apply on the table that is being built. It returns nil after the change is in force, or an error.
	Edit(ctx context.Context, apply func(*placement.Builder) error) error
}

// Options configures an API.
type Options struct {
	Group           Group
	Leadership      Leadership
	Editor          TableEditor
	State           *controlstate.Machine
	ToleratedLosses int // number of lost disks that the system must survive
	Logger          *zap.Logger
}

// API serves the operator's calls. It is safe for concurrent use.
type API struct {
	options  Options
	requests syncutil.Semaphore // held while a configuration request is processed
}

// New returns an API that serves calls at the primary.
func New(options Options) *API { return &API{options: options, requests: syncutil.NewSemaphore()} }

// Handle serves cluster.MethodOperator at the primary.
func (a *API) Handle(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request cluster.OperatorRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	if err := a.options.Leadership.RequirePrimary(); err != nil {
		return nil, nil, err
	}
	// A call that has begun is completed even if its caller cancels it, because the caller is going to repeat it.
	extra := time.Duration(len(call.Body)/bytesPerExtraMillisecond) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout+extra)
	defer cancel()
	result, err := a.Serve(ctx, request, call.Body)
	if err != nil {
		return nil, nil, err
	}
	return cluster.OperatorResponse{Status: result.Status}, result.Body, nil
}

// Serve handles one call. It returns an error only if the calling process has to send the call to the primary. Any
// other failure is a Response.
func (a *API) Serve(ctx context.Context, call cluster.OperatorRequest, body []byte) (Response, error) {
	result, err := a.route(ctx, call, body)
	if err != nil {
		return a.failedCall(err)
	}
	return result, nil
}

// failedCall converts a failure of the group to a response. If the call was certainly not applied, it returns an error
// instead, and the caller sends the call to the primary.
func (a *API) failedCall(err error) (Response, error) {
	if errors.Is(err, replication.ErrNotPrimary) {
		return Response{}, a.options.Leadership.NotLeader()
	}
	if rpc.CodeOf(err) != "" {
		return Response{}, err
	}
	return errorResponse(http.StatusServiceUnavailable, "the outcome is not known: "+trace.UserMessage(err)), nil
}

func (a *API) route(ctx context.Context, call cluster.OperatorRequest, body []byte) (Response, error) {
	switch {
	case call.Path == pathReplace && call.Method == http.MethodPost:
		return a.handleConfigRequest(ctx, call, false, body)
	case call.Path == pathUpdate && call.Method == http.MethodPost:
		return a.handleConfigRequest(ctx, call, true, body)
	case call.Path == pathRead && call.Method == http.MethodGet:
		return a.readConfiguration(ctx)
	case strings.HasPrefix(call.Path, pathRetire):
		return a.routeRetire(ctx, call)
	}
	return errorResponse(http.StatusNotFound, "no such call"), nil
}

// readConfiguration returns the current configuration after it has checked that this process is still the primary.
func (a *API) readConfiguration(ctx context.Context) (Response, error) {
	if err := a.options.Group.ReadBarrier(ctx); err != nil {
		return Response{}, err
	}
	document := a.options.State.Current().Document
	if document == nil {
		return errorResponse(http.StatusNotFound, "there is no configuration yet"), nil
	}
	return Response{Status: http.StatusOK, Body: document.JSON()}, nil
}
