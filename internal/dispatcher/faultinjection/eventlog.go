package faultinjection

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gladepick/internal/dispatcher/membership"
	"gladepick/internal/dispatcher/membership/simulation"
)

// readEventLogs merges the event logs of all processes, ordered by the machine's clock, into the world that is audited.
func (r *Runner) readEventLogs() error {
	for i, w := range r.world.Nodes {
		f, err := os.Open(r.events(i))
		if errors.Is(err, os.ErrNotExist) && r.nodes[i].starts == 0 {
			continue
		} else if err != nil {
			return err
		}
		life := uint64(0)
		in := bufio.NewScanner(f)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			var l struct {
				At                 int64
				Life, Start, Of    uint64
				Member, State, Why string
				Notice, Text       string
				View               uint64
				Epoch, Fleet       uint32
				Digest             string
				Members            []string
			}
			if json.Unmarshal(in.Bytes(), &l) != nil {
				continue // a line that a kill truncated
			}
			e := simulation.Entry{At: time.Unix(0, l.At).Sub(r.startedAt), Node: i}
			switch {
			case l.Start > 0:
				life, w.Incarnation = l.Start, l.Start
				continue
			case l.Notice != "":
				e.Notice = &membership.Notice{Kind: l.Notice, Text: l.Text}
			case l.Digest != "":
				d, _ := strconv.ParseUint(l.Digest, 16, 64)
				e.View = &membership.View{ViewID: membership.ViewID{FleetID: l.Fleet, Epoch: l.Epoch, Number: l.View, Digest: d}}
				for _, id := range l.Members {
					name, number, _ := strings.Cut(id, ".")
					v, _ := strconv.ParseUint(number, 10, 64)
					e.View.Members = append(e.View.Members, membership.Record{Name: name, Incarnation: v})
				}
			default:
				state := membership.Alive
				for s := membership.Alive; s <= membership.Failed; s++ {
					if s.String() == l.State {
						state = s
					}
				}
				e.Change = &membership.Change{Name: l.Member, Incarnation: l.Of, State: state, Reason: l.Why}
			}
			e.Incarnation = life
			r.world.Entries = append(r.world.Entries, e)
		}
		f.Close()
	}
	slices.SortStableFunc(r.world.Entries, func(a, b simulation.Entry) int { return int(a.At - b.At) })
	return nil
}
