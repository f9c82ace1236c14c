package operatorapi

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/controlplane/controlstate"
)

// configRequest is an operator's call that replaces or updates the configuration.
type configRequest struct {
	digest string
	base   uint64 // the version of the configuration that the request is based on
	update bool   // body holds changes of the configuration; otherwise, a complete configuration
	body   []byte
}

// handleConfigRequest serves one configuration request. Requests are processed one at a time.
func (a *API) handleConfigRequest(ctx context.Context, call cluster.OperatorRequest, update bool, body []byte) (Response, error) {
	base, err := strconv.ParseUint(strings.TrimSpace(call.BaseVersion), 10, 64)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "the header X-If-Base-Version must be a version"), nil
	}
	digest, err := requestDigest(call, base, body)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "the body is not JSON: "+trace.UserMessage(err)), nil
	}
	if err := a.requests.Acquire(ctx); err != nil {
		return Response{}, trace.Wrap(err)
	}
	defer a.requests.Release()
	return a.applyConfigRequest(ctx, &configRequest{digest: digest, base: base, update: update, body: body})
}

// applyConfigRequest checks a request and proposes its configuration to the group. Before it responds without a
// proposal, it makes sure that this process is still the primary and that enough disks hold its state, and then checks
// the request again. A former primary may lack the configuration that the request is based on. The first copy of a
// repeated request may have been applied while too few disks were available to acknowledge it.
func (a *API) applyConfigRequest(ctx context.Context, request *configRequest) (Response, error) {
	response, document := a.checkConfigRequest(request)
	if document == nil {
		if err := a.options.Group.DurableBarrier(ctx); err != nil {
			return Response{}, err
		}
		response, document = a.checkConfigRequest(request)
	}
	if document == nil {
		return response, nil
	}
	return a.proposeConfig(ctx, request, document)
}

// checkConfigRequest returns either a final response or the configuration that results from the request.
func (a *API) checkConfigRequest(request *configRequest) (Response, *configuration.Document) {
	if a.options.State.Accepted(request.digest) {
		return emptyResponse(http.StatusOK), nil
	}
	current := a.options.State.Current()
	if request.base != current.ConfigVersion() {
		return checkOutdated(current, request), nil
	}
	document, err := controlstate.NextDocument(current.Document, request.update, request.body)
	if err != nil {
		return invalidResponse(err), nil
	}
	if err := configuration.CheckVersion(document.Version(), current.ConfigVersion()); err != nil {
		return checkRepeated(current, request, invalidResponse(err)), nil
	}
	return Response{}, document
}

// checkOutdated returns the response to a request whose base is not the current version. If the base is older than that
// of every remembered request, the request may have been applied and forgotten. It is then not rejected, because its
// outcome is unknown.
func checkOutdated(current *controlstate.State, request *configRequest) Response {
	fallback := errorResponse(http.StatusPreconditionFailed, fmt.Sprintf("version %d is current", current.ConfigVersion()))
	if request.base < current.ForgottenBelow {
		fallback = errorResponse(http.StatusServiceUnavailable, "too old to tell whether it was taken")
	}
	return checkRepeated(current, request, fallback)
}

// checkRepeated acknowledges a request to replace the configuration by one that is equal to the current one. For any
// other request it returns the given response.
func checkRepeated(current *controlstate.State, request *configRequest, fallback Response) Response {
	if request.update || current.Document == nil {
		return fallback
	}
	document, err := configuration.ParseAfter(current.Document, request.body)
	if err != nil || !document.Equal(current.Document) {
		return fallback
	}
	return emptyResponse(http.StatusOK)
}

// proposeConfig proposes a valid configuration request to the group. The document is the resulting configuration.
func (a *API) proposeConfig(
	ctx context.Context, request *configRequest, document *configuration.Document,
) (Response, error) {
	change := &controlstate.ConfigChange{
		Digest: request.digest, Base: request.base, Update: request.update, Body: request.body,
	}
	record, err := (&controlstate.Change{Config: change}).Encode()
	if err != nil {
		return Response{}, err
	}
	a.options.State.Prepare(change, document)
	if err := a.options.Group.Propose(ctx, record); err != nil {
		return Response{}, err
	}
	if !a.options.State.Accepted(request.digest) {
		return errorResponse(http.StatusPreconditionFailed, "another order was taken first"), nil
	}
	a.options.Logger.Info("configuration applied", zap.Uint64("version", document.Version()))
	return emptyResponse(http.StatusOK), nil
}
