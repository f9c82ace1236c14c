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
	primaryTimeout    = 900 * time.Millisecond // for a call to the primary, all tries together
	primaryTryTimeout = 500 * time.Millisecond // for one try
	primaryPause      = 50 * time.Millisecond  // after all known members have been tried
	bytesPerExtraMS   = 200                    // a long body gets a millisecond more for so many bytes
	extraTimeLimit    = 5 * time.Second
)

// The calls that are made again at the next member where an answer is lost.
const (
	repeatableOperator     rpc.Idempotent = MethodOperator         // orders name the version they build on, and their digests are kept
	repeatablePartitionAsk rpc.Idempotent = MethodPartitionRequest // asks name the epoch they build on
	repeatableReport       rpc.Idempotent = MethodFailureReport    // the control plane looks for itself
)

// ErrNoPrimary means that no primary of the control group could be found in time. Nothing was done.
var ErrNoPrimary = errors.New("cluster: no primary of the control group found")

// ErrOutcomeUnknown means that a call was sent and may have been carried out.
var ErrOutcomeUnknown = errors.New("cluster: outcome of the call is unknown")

// Operator passes a call of the operator's API on to the control group's primary. Repeating such a call is safe, so it
// is sent again where an answer is lost.
func (a *Agent) Operator(ctx context.Context, call OperatorRequest, body []byte) (OperatorResponse, []byte, error) {
	var answer OperatorResponse
	answerBody, err := a.callPrimary(ctx, repeatableOperator, call, body, &answer)
	return answer, answerBody, trace.Wrap(err)
}

// RequestPartitionChange asks the control plane for a change of a replica group that this process leads. An error of the code
// rpc.CodeConflict means that the caller's view is not the current one.
func (a *Agent) RequestPartitionChange(ctx context.Context, ask PartitionRequest) error {
	_, err := a.callPrimary(ctx, repeatablePartitionAsk, ask, nil, nil)
	return trace.Wrap(err)
}

// ReportFailure tells the control plane that a process could not be reached.
func (a *Agent) ReportFailure(ctx context.Context, report FailureReport) error {
	_, err := a.callPrimary(ctx, repeatableReport, report, nil, nil)
	return trace.Wrap(err)
}

// callPrimary makes a call at the control group's primary, wherever that is, again and again until one answers clearly.
func (a *Agent) callPrimary(
	ctx context.Context, method rpc.Idempotent, params any, body []byte, result any,
) ([]byte, error) {
	extra := min(time.Duration(len(body)/bytesPerExtraMS)*time.Millisecond, extraTimeLimit)
	ctx, cancel := context.WithTimeout(ctx, primaryTimeout+extra)
	defer cancel()
	search := primarySearch{agent: a, outcome: ErrNoPrimary}
	for ctx.Err() == nil {
		address, found := search.next()
		if !found {
			ctxtime.Sleep(ctx, primaryPause)
			continue
		}
		tryContext, cancelTry := context.WithTimeout(ctx, primaryTryTimeout+extra)
		answer, err := a.options.Pool.Get(address).Call(tryContext, string(method), params, body, result)
		cancelTry()
		if final := search.note(address, err); final {
			return answer, err
		}
	}
	return nil, search.outcome
}

// primarySearch goes through the members of the control group, following what they say about their primary.
type primarySearch struct {
	agent   *Agent
	queue   []string
	tried   []string // in this round
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

// note takes in the outcome of a try, and tells whether the search has ended with it.
func (s *primarySearch) note(address string, err error) bool {
	switch code := rpc.CodeOf(err); {
	case err == nil:
		s.agent.setPrimaryHint(address)
		return true
	case code == rpc.CodeNotLeader:
		s.follow(err)
	case code == rpc.CodeUnavailable || code == rpc.CodeUnknownMethod:
	case code != "":
		return true
	case errors.Is(err, rpc.ErrResponseLost):
		s.outcome = ErrOutcomeUnknown
	}
	return false
}

// follow puts the primary that a member has named at the head of the queue.
func (s *primarySearch) follow(err error) {
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

// primaryCandidates returns all known members, the one that probably is the primary first.
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
