package controlplane

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/controlplane/controlstate"
)

// order is an operator's call that replaces or updates the configuration.
type order struct {
	digest string
	base   uint64
	update bool
	body   []byte
}

// takeOrder carries out one order. Orders are taken one after the other.
func (p *Plane) takeOrder(ctx context.Context, call cluster.OperatorRequest, update bool, body []byte) (answer, error) {
	base, err := strconv.ParseUint(strings.TrimSpace(call.BaseVersion), 10, 64)
	if err != nil {
		return errorAnswer(http.StatusBadRequest, "the header X-If-Base-Version must be a version"), nil
	}
	digest, err := orderDigest(call, base, body)
	if err != nil {
		return errorAnswer(http.StatusBadRequest, "the body is not JSON: "+trace.UserMessage(err)), nil
	}
	if err := p.orders.Acquire(ctx); err != nil {
		return answer{}, trace.Wrap(err)
	}
	defer p.orders.Release()
	return p.decideOrder(ctx, &order{digest: digest, base: base, update: update, body: body})
}

// decideOrder checks an order and proposes it. Any other answer is given only by a process that is the primary for sure,
// on what enough disks hold: one that has been replaced may lack the configuration on which the order builds, and an
// order that was sent again may have been taken while too few disks were there to acknowledge it.
func (p *Plane) decideOrder(ctx context.Context, order *order) (answer, error) {
	verdict, document := p.checkOrder(order)
	if document == nil {
		if err := p.member.DurableBarrier(ctx); err != nil {
			return answer{}, err
		}
		verdict, document = p.checkOrder(order)
	}
	if document == nil {
		return verdict, nil
	}
	return p.proposeOrder(ctx, order, document)
}

// checkOrder returns either a final answer or the configuration that the order leads to.
func (p *Plane) checkOrder(order *order) (answer, *configuration.Document) {
	if p.state.Accepted(order.digest) {
		return emptyAnswer(http.StatusOK), nil
	}
	current := p.state.Current()
	if order.base != current.ConfigVersion() {
		return checkOutdated(current, order), nil
	}
	document, err := controlstate.NextDocument(current.Document, order.update, order.body)
	if err != nil {
		return invalidAnswer(err), nil
	}
	if err := configuration.CheckVersion(document.Version(), current.ConfigVersion()); err != nil {
		return checkRepeated(current, order, err), nil
	}
	return answer{}, document
}

// checkOutdated answers an order that builds on another version than the current one: it is acknowledged where it
// replaces the configuration by what is in force already. One that is older than all orders that are remembered may have
// been taken, and is not refused.
func checkOutdated(current *controlstate.State, order *order) answer {
	otherwise := errorAnswer(http.StatusPreconditionFailed, fmt.Sprintf("version %d is current", current.ConfigVersion()))
	if order.base < current.ForgottenBelow {
		otherwise = errorAnswer(http.StatusServiceUnavailable, "too old to tell whether it was taken")
	}
	return checkRepeatedOr(current, order, otherwise)
}

// checkRepeated answers an order whose version is not above the current one.
func checkRepeated(current *controlstate.State, order *order, err error) answer {
	return checkRepeatedOr(current, order, invalidAnswer(err))
}

func checkRepeatedOr(current *controlstate.State, order *order, otherwise answer) answer {
	if order.update || current.Document == nil {
		return otherwise
	}
	document, err := configuration.ParseAfter(current.Document, order.body)
	if err != nil || !document.Equal(current.Document) {
		return otherwise
	}
	return emptyAnswer(http.StatusOK)
}

// proposeOrder has the group take an order that was found valid.
func (p *Plane) proposeOrder(ctx context.Context, order *order, document *configuration.Document) (answer, error) {
	change := &controlstate.ConfigChange{Digest: order.digest, Base: order.base, Update: order.update, Body: order.body}
	record, err := (&controlstate.Change{Config: change}).Encode()
	if err != nil {
		return answer{}, err
	}
	p.state.Prepare(change, document)
	if err := p.member.Propose(ctx, record); err != nil {
		return answer{}, err
	}
	if !p.state.Accepted(order.digest) {
		return errorAnswer(http.StatusPreconditionFailed, "another order was taken first"), nil
	}
	p.logger.Info("configuration taken", versionField(document))
	return emptyAnswer(http.StatusOK), nil
}
