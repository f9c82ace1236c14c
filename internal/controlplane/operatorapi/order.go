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

// order is an operator's call that replaces or updates the configuration.
type order struct {
	digest string
	base   uint64 // the version of the configuration that it builds on
	update bool
	body   []byte
}

// takeOrder carries out one order. Orders are taken one after the other.
func (a *API) takeOrder(ctx context.Context, call cluster.OperatorRequest, update bool, body []byte) (Response, error) {
	base, err := strconv.ParseUint(strings.TrimSpace(call.BaseVersion), 10, 64)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "the header X-If-Base-Version must be a version"), nil
	}
	digest, err := orderDigest(call, base, body)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "the body is not JSON: "+trace.UserMessage(err)), nil
	}
	if err := a.orders.Acquire(ctx); err != nil {
		return Response{}, trace.Wrap(err)
	}
	defer a.orders.Release()
	return a.decideOrder(ctx, &order{digest: digest, base: base, update: update, body: body})
}

// decideOrder checks an order and proposes it. Any other response is given only by a process that is the primary for
// sure, on what enough disks hold: one that has been replaced may lack the configuration on which the order builds, and
// an order that was sent again may have been taken while too few disks were there to acknowledge it.
func (a *API) decideOrder(ctx context.Context, order *order) (Response, error) {
	response, document := a.checkOrder(order)
	if document == nil {
		if err := a.options.Group.DurableBarrier(ctx); err != nil {
			return Response{}, err
		}
		response, document = a.checkOrder(order)
	}
	if document == nil {
		return response, nil
	}
	return a.proposeOrder(ctx, order, document)
}

// checkOrder returns either a final response or the configuration that the order leads to.
func (a *API) checkOrder(order *order) (Response, *configuration.Document) {
	if a.options.State.Accepted(order.digest) {
		return emptyResponse(http.StatusOK), nil
	}
	current := a.options.State.Current()
	if order.base != current.ConfigVersion() {
		return checkOutdated(current, order), nil
	}
	document, err := controlstate.NextDocument(current.Document, order.update, order.body)
	if err != nil {
		return invalidResponse(err), nil
	}
	if err := configuration.CheckVersion(document.Version(), current.ConfigVersion()); err != nil {
		return checkRepeated(current, order, invalidResponse(err)), nil
	}
	return Response{}, document
}

// checkOutdated answers an order that builds on another version than the current one. One that is older than all orders
// that are remembered may have been taken, and is not refused.
func checkOutdated(current *controlstate.State, order *order) Response {
	otherwise := errorResponse(http.StatusPreconditionFailed, fmt.Sprintf("version %d is current", current.ConfigVersion()))
	if order.base < current.ForgottenBelow {
		otherwise = errorResponse(http.StatusServiceUnavailable, "too old to tell whether it was taken")
	}
	return checkRepeated(current, order, otherwise)
}

// checkRepeated acknowledges an order that replaces the configuration by what is in force already. Any other order gets
// the other response.
func checkRepeated(current *controlstate.State, order *order, otherwise Response) Response {
	if order.update || current.Document == nil {
		return otherwise
	}
	document, err := configuration.ParseAfter(current.Document, order.body)
	if err != nil || !document.Equal(current.Document) {
		return otherwise
	}
	return emptyResponse(http.StatusOK)
}

// proposeOrder has the group take an order that was found valid.
func (a *API) proposeOrder(ctx context.Context, order *order, document *configuration.Document) (Response, error) {
	change := &controlstate.ConfigChange{Digest: order.digest, Base: order.base, Update: order.update, Body: order.body}
	record, err := (&controlstate.Change{Config: change}).Encode()
	if err != nil {
		return Response{}, err
	}
	a.options.State.Prepare(change, document)
	if err := a.options.Group.Propose(ctx, record); err != nil {
		return Response{}, err
	}
	if !a.options.State.Accepted(order.digest) {
		return errorResponse(http.StatusPreconditionFailed, "another order was taken first"), nil
	}
	a.options.Logger.Info("configuration taken", zap.Uint64("version", document.Version()))
	return emptyResponse(http.StatusOK), nil
}
