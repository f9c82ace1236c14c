package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/controlplane/replication"
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

// errorBody is the body of an operator's answer other than 200.
type errorBody struct {
	Error    string        `json:"error"`
	Findings []findingBody `json:"findings,omitempty"`
}

type findingBody struct {
	Place   string `json:"place,omitempty"`
	Problem string `json:"problem"`
}

// answer is an answer to the operator before it is encoded.
type answer struct {
	status int
	body   []byte
}

func emptyAnswer(status int) answer { return answer{status: status, body: []byte("{}")} }

func errorAnswer(status int, text string, findings ...findingBody) answer {
	body, err := json.Marshal(errorBody{Error: text, Findings: findings})
	if err != nil {
		return emptyAnswer(status)
	}
	return answer{status: status, body: body}
}

// invalidAnswer tells everything that is wrong with a configuration.
func invalidAnswer(err error) answer {
	var found configuration.Findings
	if !errors.As(err, &found) {
		return errorAnswer(http.StatusBadRequest, trace.UserMessage(err))
	}
	findings := make([]findingBody, len(found))
	for i, finding := range found {
		findings[i] = findingBody{Place: finding.Path, Problem: finding.Problem}
	}
	return errorAnswer(http.StatusBadRequest, "the configuration is invalid", findings...)
}

// handleOperator serves the operator's API at the primary.
func (p *Plane) handleOperator(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request cluster.OperatorRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	if err := p.member.RequirePrimary(); err != nil {
		return nil, nil, err
	}
	// An order that has begun is carried through also when its caller has gone: it is going to be sent again.
	extra := time.Duration(len(call.Body)/bytesPerExtra) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout+extra)
	defer cancel()
	result, err := p.serveOperator(ctx, request, call.Body)
	if err != nil {
		result, err = p.failedOrder(err)
	}
	if err != nil {
		return nil, nil, err
	}
	return cluster.OperatorResponse{Status: result.status}, result.body, nil
}

// failedOrder turns a failure of the group into an answer. An order that surely was not taken goes to the primary.
func (p *Plane) failedOrder(err error) (answer, error) {
	if errors.Is(err, replication.ErrNotPrimary) {
		return answer{}, p.member.NotLeader()
	}
	if rpc.CodeOf(err) != "" {
		return answer{}, err
	}
	return errorAnswer(http.StatusServiceUnavailable, "the outcome is not known: "+trace.UserMessage(err)), nil
}

func (p *Plane) serveOperator(ctx context.Context, call cluster.OperatorRequest, body []byte) (answer, error) {
	switch {
	case call.Path == pathReplace && call.Method == http.MethodPost:
		return p.takeOrder(ctx, call, false, body)
	case call.Path == pathUpdate && call.Method == http.MethodPost:
		return p.takeOrder(ctx, call, true, body)
	case call.Path == pathRead && call.Method == http.MethodGet:
		return p.readConfiguration(ctx)
	case strings.HasPrefix(call.Path, pathRetire):
		return p.serveRetire(ctx, call)
	}
	return errorAnswer(http.StatusNotFound, "no such call"), nil
}

// readConfiguration returns the newest configuration, after making sure that this process still is the primary.
func (p *Plane) readConfiguration(ctx context.Context) (answer, error) {
	if err := p.member.ReadBarrier(ctx); err != nil {
		return answer{}, err
	}
	document := p.state.Current().Document
	if document == nil {
		return errorAnswer(http.StatusNotFound, "there is no configuration yet"), nil
	}
	return answer{status: http.StatusOK, body: document.JSON()}, nil
}
