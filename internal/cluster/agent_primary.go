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
	primaryTimeout        = 900 * time.Millisecond // for a call to the primary, including all attempts
	primaryAttemptTimeout = 500 * time.Millisecond // for one attempt
	primaryRetryDelay     = 50 * time.Millisecond  // between two rounds through all known members
	bodyBytesPerExtraMS   = 200                    // both time limits grow by 1 ms per this many bytes of the body
	maxExtraTimeout       = 5 * time.Second        // limit of that growth
)

// The methods that are retried at the next member if a response is lost. Each comment says why a repetition is safe.
const (
	// A configuration change names its base version, and the control plane stores the digests of accepted changes.
	idempotentOperator rpc.Idempotent = MethodOperator
	// A partition request names the epoch that it changes.
	idempotentPartitionRequest rpc.Idempotent = MethodPartitionRequest
	// The control plane checks the reported process itself.
	idempotentFailureReport rpc.Idempotent = MethodFailureReport
)

// ForwardOperatorRequest forwards a request to the operator's API to the control group's primary. Repeating such a
// request is safe, so it is retried if a response is lost. It returns ErrNoPrimary or ErrOutcomeUnknown if no primary
// responds in time.
func (a *Agent) ForwardOperatorRequest(
	ctx context.Context, request OperatorRequest, body []byte,
) (OperatorResponse, []byte, error) {
	var response OperatorResponse
	responseBody, err := a.callPrimary(ctx, idempotentOperator, request, body, &response)
	return response, responseBody, trace.Wrap(err)
}

// RequestPartitionChange asks the control plane to change a replica group whose primary is this process. An error with
// the code rpc.CodeConflict means that the caller's view is not the current one.
func (a *Agent) RequestPartitionChange(ctx context.Context, request PartitionRequest) error {
	_, err := a.callPrimary(ctx, idempotentPartitionRequest, request, nil, nil)
	return trace.Wrap(err)
}

// ReportFailure reports to the control plane that a process could not be reached.
func (a *Agent) ReportFailure(ctx context.Context, report FailureReport) error {
	_, err := a.callPrimary(ctx, idempotentFailureReport, report, nil, nil)
	return trace.Wrap(err)
}

// callPrimary calls a method of the control group's primary. It tries the members in turn until one of them gives a
// definite response or the time limit expires.
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

// primarySearch iterates over the members of the control group in rounds, and follows their redirects to the primary.
type primarySearch struct {
	agent   *Agent
	queue   []string // addresses to try in this round
	tried   []string // addresses tried in this round
	started bool     // a round is in progress
	outcome error    // the error to return if no member gives a definite response
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

// handleResult processes the result of an attempt, and reports whether the result is definite and ends the search.
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

// followRedirect puts the primary that a CodeNotLeader error names at the head of the queue.
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

// primaryCandidates returns the addresses of all known members, with the most likely primary first.
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

// tablePrimary returns the address of the primary according to the cluster table, or "".
func (a *Agent) tablePrimary() string {
	table := a.table.Load()
	if table == nil {
		return ""
	}
	for _, member := range table.ControlGroup {
		if member.Name == table.Primary {
			return member.Address
		}
	}
	return ""
}
