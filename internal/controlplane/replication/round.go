package replication

import (
	"context"
	"time"
)

// stragglerGrace is for how long a round waits for the rest of its responses after a majority has come.
const stragglerGrace = 150 * time.Millisecond

// memberResponse is a member's answer in a round.
type memberResponse[Response any] struct {
	member   Member
	response Response
	err      error
}

// broadcast makes a call to each member at once. The responses come by the channel, which has room for all of them.
func broadcast[Response any](members []Member, call func(Member) (Response, error)) <-chan memberResponse[Response] {
	replies := make(chan memberResponse[Response], len(members))
	for _, member := range members {
		go func() {
			response, err := call(member)
			replies <- memberResponse[Response]{member, response, err}
		}()
	}
	return replies
}

// awaitRound takes the responses of a round. It returns when note has told that enough have come and those that are
// awaited have answered or a grace period is over, and when all have answered.
func awaitRound[Response any](
	ctx context.Context, replies <-chan memberResponse[Response], asked []Member, awaited map[string]bool,
	note func(Member, Response) bool,
) {
	var grace <-chan time.Time
	var timer *time.Timer
	defer func() {
		if timer != nil {
			timer.Stop()
		}
	}()
	for range asked {
		select {
		case received := <-replies:
			delete(awaited, received.member.DiskID)
			enough := grace != nil
			if received.err == nil {
				enough = note(received.member, received.response)
			}
			if enough && len(awaited) == 0 {
				return
			}
			if enough && timer == nil {
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
