package replication

import (
	"context"
	"time"
)

// stragglerGrace is how long a round waits for further responses once a majority has responded.
const stragglerGrace = 150 * time.Millisecond

// memberResponse is a member's response in a round.
type memberResponse[Response any] struct {
	member   Member
	response Response
	err      error
}

// broadcast calls each member concurrently. The channel has a buffer for all responses, so that the caller need not
// read all of them.
func broadcast[Response any](members []Member, call func(Member) (Response, error)) <-chan memberResponse[Response] {
	responses := make(chan memberResponse[Response], len(members))
	for _, member := range members {
		go func() {
			response, err := call(member)
			responses <- memberResponse[Response]{member, response, err}
		}()
	}
	return responses
}

// awaitRound passes the responses of a round to add. It returns when add has reported that they suffice and, in
// addition, either all awaited members have responded or stragglerGrace has passed. It also returns when all members
// have responded, or when the context ends.
func awaitRound[Response any](
	ctx context.Context, responses <-chan memberResponse[Response], members []Member, awaited map[string]bool,
	add func(Member, Response) bool,
) {
	var grace <-chan time.Time
	var timer *time.Timer
	defer func() {
		if timer != nil {
			timer.Stop()
		}
	}()
	for range members {
		select {
		case reply := <-responses:
			delete(awaited, reply.member.DiskID)
			sufficient := grace != nil
			if reply.err == nil {
				sufficient = add(reply.member, reply.response)
			}
			if sufficient && len(awaited) == 0 {
				return
			}
			if sufficient && timer == nil {
				timer = time.NewTimer(stragglerGrace)
				grace = timer.C
			}
		case <-grace:
			return
		case <-ctx.Done():
			return
		}
	}
}
