package cluster

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/ctxtime"
	"gladepick/internal/rpc"
)

const (
	primaryTimeout        = 900 * time.Millisecond // for a call to the primary, with all its attempts
	primaryAttemptTimeout = 500 * time.Millisecond // for one attempt
	primaryRetryDelay     = 50 * time.Millisecond  // between two rounds through all known members
	bodyBytesPerExtraMS   = 200                    // a call has a millisecond more for so many bytes of its body
	maxExtraTimeout       = 5 * time.Second
)

// The calls that are retried at the next member where a response is lost.
const (
	idempotentOperator         rpc.Idempotent = MethodOperator         // a configuration change names its base version, and the digests of accepted changes are stored
	idempotentPartitionRequest rpc.Idempotent = MethodPartitionRequest // requests name the epoch that they change
	idempotentFailureReport    rpc.Idempotent = MethodFailureReport    // the control plane checks the process itself
)

// Operator forwards a request to the operator's API to the control group's primary. Repeating such a request is
// safe, so it is retried where a response is lost. It returns ErrNoPrimary or ErrOutcomeUnknown where no primary has
// answered in time.
func (a *Agent) Operator(ctx context.Context, call OperatorRequest, body []byte) (OperatorResponse, []byte, error) {
	var response OperatorResponse
	responseBody, err := a.callPrimary(ctx, idempotentOperator, call, body, &response)
	return response, responseBody, trace.Wrap(err)
}

// RequestPartitionChange asks the control plane for a change of a replica group that this process leads. An error
// with the code rpc.CodeConflict means that the caller's view is not the current one.
func (a *Agent) RequestPartitionChange(ctx context.Context, request PartitionRequest) error {
	_, err := a.callPrimary(ctx, idempotentPartitionRequest, request, nil, nil)
	return trace.Wrap(err)
}

// ReportFailure tells the control plane that a process could not be reached.
func (a *Agent) ReportFailure(ctx context.Context, report FailureReport) error {
	_, err := a.callPrimary(ctx, idempotentFailureReport, report, nil, nil)
	return trace.Wrap(err)
}

// callPrimary makes a call at the control group's primary. It searches the members for it, and retries until one of
// them gives a definite answer or the time limit is over.
func (a *Agent) callPrimary(
	ctx context.Context, method rpc.Idempotent, params any, body []byte, result any,
) ([]byte, error) {
	extra := min(time.Duration(len(body)/bodyBytesPerExtraMS)*time.Millisecond, maxExtraTimeout)
	ctx, cancel := context.WithTimeout(ctx, primaryTimeout+extra)
	defer cancel()
	search := primarySearch{agent: a, outcome: ErrNoPrimary}
	for ctx.Err() == nil {
		address, found := search.next()
		if !found {
			ctxtime.Sleep(ctx, primaryRetryDelay)
			continue
		}
		attemptContext, cancelAttempt := context.WithTimeout(ctx, primaryAttemptTimeout+extra)
		response, err := a.options.Pool.Get(address).Call(attemptContext, string(method), params, body, result)
		cancelAttempt()
		if final := search.handleResult(address, err); final {
			return response, err
		}
	}
	return nil, search.outcome
}

// primarySearch goes through the members of the control group, and follows what they say about their primary.
type primarySearch struct {
	agent   *Agent
	queue   []string
	tried   []string // the addresses tried in this round
	started bool
	outcome error
}

// next returns the address to try next, and false at the end of a round.
func (s *primarySearch) next() (string, bool) {
	if len(s.queue) == 0 {
		if s.started {
			s.started, s.tried = false, nil
			return "", false
		}
		s.started = true
		s.queue = s.agent.primaryCandidates()
	}
	for len(s.queue) > 0 {
		address := s.queue[0]
		s.queue = s.queue[1:]
		if !slices.Contains(s.tried, address) {
			s.tried = append(s.tried, address)
			return address, true
		}
	}
	return "", false
}

// handleResult takes the result of an attempt, and reports whether it ends the search.
func (s *primarySearch) handleResult(address string, err error) bool {
	switch code := rpc.CodeOf(err); {
	case err == nil:
		s.agent.setPrimaryHint(address)
		return true
	case code == rpc.CodeNotLeader:
		s.followRedirect(err)
	case code == rpc.CodeUnavailable || code == rpc.CodeUnknownMethod:
	case code != "":
		return true
	case errors.Is(err, rpc.ErrResponseLost):
		s.outcome = ErrOutcomeUnknown
	}
	return false
}

// followRedirect puts the primary that a member has named at the head of the queue.
func (s *primarySearch) followRedirect(err error) {
	var remote *rpc.Error
	if !errors.As(err, &remote) || remote.Message == "" {
		return
	}
	s.queue = append([]string{remote.Message}, s.queue...)
}

func (a *Agent) setPrimaryHint(address string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.primaryHint = address
}

// primaryCandidates returns the addresses of all known members, the most likely primary first.
func (a *Agent) primaryCandidates() []string {
	a.mutex.Lock()
	hint := a.primaryHint
	a.mutex.Unlock()
	if hint == "" {
		hint = a.tablePrimary()
	}
	addresses := a.candidates()
	if hint == "" {
		return addresses
	}
	return append([]string{hint}, addresses...)
}

// tablePrimary returns the address of the primary by the cluster table, or "".
func (a *Agent) tablePrimary() string {
	table := a.table.Load()
	if table == nil {
		return ""
	}
	for _, member := range table.Core {
		if member.Name == table.Primary {
			return member.Address
		}
	}
	return ""
}
