// Package operatorapi is the operator's API at the control group's primary: replacing, updating and reading the
// configuration, and decommissioning stores.
//
// An order is a call that replaces or updates the configuration. It builds on a version of the configuration and is
// taken at most once: it is known by its digest, so that an order that is sent again is acknowledged and not carried
// out twice. Orders are decided one after the other, under a semaphore; everything else is concurrent. The package owns
// no state: the configuration, the digests and the retire jobs are in package controlstate, and the cluster table is
// changed through a TableEditor. It starts no goroutine. Start reading at API.Serve.
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
	pathRetire  = "/api/retire/" // followed by the store's name and one of the two below
	retireStart = "/start"
	retireRead  = "/read"
)

const (
	orderTimeout  = 3 * time.Second // for an order, from its arrival at the primary
	bytesPerExtra = 200             // a long configuration gets a millisecond more for so many bytes
)

// Group is what the API needs of the control group.
type Group interface {
	// Propose returns after a change is in force on enough disks.
	Propose(ctx context.Context, change []byte) error
	// ReadBarrier returns nil only where this process has been the primary since the call.
	ReadBarrier(ctx context.Context) error
	// DurableBarrier does the same, and makes sure that enough disks hold what is in force here.
	DurableBarrier(ctx context.Context) error
}

// Leadership tells callers of a process that does not lead the control group who does.
type Leadership interface {
	// RequirePrimary returns an error that tells where the primary is, unless it is here.
	RequirePrimary() error
	// NotLeader returns the error that tells where the primary is.
	NotLeader() error
}

// TableEditor changes the cluster table.
type TableEditor interface {
	// Edit has a function change the table in the making, and returns after the change is in force, or an error.
	Edit(ctx context.Context, apply func(*placement.Builder) error) error
}

// Options holds what an API works with.
type Options struct {
	Group      Group
	Leadership Leadership
	Editor     TableEditor
	State      *controlstate.Machine
	Tolerated  int // how many losses of disks the system must bear
	Logger     *zap.Logger
}

// API serves the operator's calls.
type API struct {
	options Options
	orders  syncutil.Semaphore // held while an order is decided
}

// New returns an API.
func New(options Options) *API { return &API{options: options, orders: syncutil.NewSemaphore()} }

// Handle serves cluster.MethodOperator at the primary.
func (a *API) Handle(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request cluster.OperatorRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	if err := a.options.Leadership.RequirePrimary(); err != nil {
		return nil, nil, err
	}
	// An order that has begun is carried through also when its caller has gone: it is going to be sent again.
	extra := time.Duration(len(call.Body)/bytesPerExtra) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout+extra)
	defer cancel()
	result, err := a.Serve(ctx, request, call.Body)
	if err != nil {
		return nil, nil, err
	}
	return cluster.OperatorResponse{Status: result.Status}, result.Body, nil
}

// Serve answers one call. An error is one for the caller's process, which sends the call to the primary; any other
// failure is a Response.
func (a *API) Serve(ctx context.Context, call cluster.OperatorRequest, body []byte) (Response, error) {
	result, err := a.route(ctx, call, body)
	if err != nil {
		return a.failedCall(err)
	}
	return result, nil
}

// failedCall turns a failure of the group into a response. A call that surely was not carried out goes to the primary.
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
		return a.takeOrder(ctx, call, false, body)
	case call.Path == pathUpdate && call.Method == http.MethodPost:
		return a.takeOrder(ctx, call, true, body)
	case call.Path == pathRead && call.Method == http.MethodGet:
		return a.readConfiguration(ctx)
	case strings.HasPrefix(call.Path, pathRetire):
		return a.routeRetire(ctx, call)
	}
	return errorResponse(http.StatusNotFound, "no such call"), nil
}

// readConfiguration returns the newest configuration, after making sure that this process still is the primary.
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
