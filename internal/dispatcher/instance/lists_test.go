package instance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

const listEntry = `{"instanceId":"s-0000000%d","hostPort":%q,"zone":"montreal","machineType":"std-2c","lifecycle":%q,"weight":1}`

// listText writes a list of the three workers, the first so many draining, in one of the forms that JSON leaves free.
func (r *fixture) listText(form string, generation, draining int) string {
	var entries []string
	for i := range 3 {
		state := "ready"
		if i < draining {
			state = "draining"
		}
		entries = append(entries, fmt.Sprintf(listEntry, i+1, r.node.Known.Workers[0].Address, state))
	}
	text := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, generation, strings.Join(entries, ","))
	if form == "line" {
		return text + "\n"
	}
	text = strings.NewReplacer(`{`, "{\n\t", `,"`, ",\n\t\"", `[`, "[\n\t\t", `}`, "\n\t}").Replace(text)
	if form == "crlf" {
		text = strings.ReplaceAll(text, "\n", "\r\n")
	}
	return text + "\n\n"
}

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func (c *call) send(text string) { io.WriteString(c, chunkOf(text)) }

// waitDraining waits until so many workers are known to drain.
func (r *fixture) waitDraining(n int) {
	r.t.Helper()
	r.waitUntil(fmt.Sprint(n, " draining workers"), func() bool { w := r.core.WorkerCounts(); return w[decision.Draining] == n && w[decision.Ready] == 3-n })
}

// Lists may be spread over lines: the first one, changes, after a move, and where one breaks off in the middle.
func TestListsOverManyLines(t *testing.T) {
	for _, form := range []string{"line", "indented", "crlf"} {
		r := newFixture(t, nil).start()
		r.watcher.Watch(true)
		c := receive(t, "a call", r.calls)
		io.WriteString(c, watchHead)
		c.send(r.listText(form, 8, 1))
		r.waitDraining(1)
		text := r.listText(form, 9, 2)
		for len(text) > 0 { // in pieces that end anywhere
			n := min(7, len(text))
			c.send(text[:n])
			text = text[n:]
		}
		r.waitDraining(2)
		c.send("\n \n")
		c.send(r.listText(form, 10, 0))
		r.waitDraining(0)
		select {
		case c := <-r.calls:
			t.Fatalf("%s: another call, to %s", form, c.target)
		default:
		}
		other := listen(t)
		r.watcher.SetAddress(other.Addr().String())
		o, err := other.Accept()
		if err != nil {
			t.Fatal(err)
		}
		moved := &call{Conn: o}
		http.ReadRequest(bufio.NewReader(o))
		io.WriteString(o, watchHead)
		moved.send(r.listText(form, 3, 1))
		r.waitDraining(1)
		text = r.listText(form, 4, 2)
		moved.send(text[:strings.LastIndex(text, "s-00000003")]) // two whole entries, and no more
		o.Close()
		r.waitDraining(2)
		if o, err = other.Accept(); err != nil {
			t.Fatal(err)
		}
		if req, err := http.ReadRequest(bufio.NewReader(o)); err != nil || !strings.HasSuffix(req.RequestURI, "&after=0") {
			t.Errorf("%s: after the break %v, %v", form, req, err)
		}
		o.Close()
	}
}

// A watch may fall silent at any of these places: the next call goes out, and a drain holds from its answer on.
func TestWatchFallsSilent(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for name, first := range map[string]func(*fixture, *call){
			"never a byte":   func(*fixture, *call) {},
			"after the head": func(_ *fixture, c *call) { io.WriteString(c, watchHead) },
			"after a list": func(r *fixture, c *call) {
				io.WriteString(c, watchHead)
				c.send(r.listText("line", 8, 0))
				r.waitDraining(0)
			},
			"after a blank": func(_ *fixture, c *call) { io.WriteString(c, watchHead); c.send("\n") },
			"in a list":     func(r *fixture, c *call) { io.WriteString(c, watchHead); c.send(r.listText("indented", 9, 1)[:40]) },
			"in a list's tail": func(r *fixture, c *call) {
				io.WriteString(c, watchHead)
				c.send(strings.TrimRight(r.listText("indented", 9, 1), "}\n\t "))
			},
		} {
			r := newFixture(t, func(n *config.Node) {
				if pushed {
					n.Module.Discovery = decision.DiscoveryPush
				}
				n.Limits.DiscoveryCallTimeout, n.Limits.DiscoverySilenceTimeout, n.Limits.DiscoveryBackoff = 300*time.Millisecond, 300*time.Millisecond, 20*time.Millisecond
			}).start()
			r.watcher.Watch(true)
			first(r, receive(t, "a call", r.calls))
			c := receive(t, name+": the next call", r.calls)
			io.WriteString(c, watchHead)
			c.send(r.listText("line", 9, 1))
			r.waitDraining(1)
		}
	}
}

// Discovery moves while a call has no answer, while its watch says nothing, and between two calls: the next call goes to
// the new address at once, whatever time was left, and the list there counts.
func TestDiscoveryMovesInAnyState(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for name, first := range map[string]func(*fixture, *call){
			"a call is out": func(*fixture, *call) {},
			"a watch is silent": func(r *fixture, c *call) {
				io.WriteString(c, watchHead)
				c.send(r.listText("line", 8, 2))
				r.waitDraining(2)
			},
			"between two calls": func(r *fixture, c *call) {
				c.Close()
				r.waitUntil("the failed call", func() bool { return r.counter("roster_failed") == 1 })
			},
		} {
			r := newFixture(t, func(n *config.Node) {
				if pushed {
					n.Module.Discovery = decision.DiscoveryPush
				}
				n.Limits.DiscoveryCallTimeout, n.Limits.DiscoverySilenceTimeout, n.Limits.DiscoveryBackoff = time.Hour, time.Hour, time.Hour
			}).start()
			r.watcher.Watch(true)
			first(r, receive(t, "a call", r.calls))
			other := listen(t)
			r.watcher.SetAddress(other.Addr().String())
			other.(*net.TCPListener).SetDeadline(time.Now().Add(bound))
			o, err := other.Accept()
			if err != nil {
				t.Fatalf("%s, pushed %v: no call to the new address: %v", name, pushed, err)
			}
			defer o.Close()
			if req, err := http.ReadRequest(bufio.NewReader(o)); err != nil || !strings.HasSuffix(req.RequestURI, "&after=0") {
				t.Errorf("%s: the first call there is %v, %v", name, req, err)
			}
			moved := &call{Conn: o}
			io.WriteString(o, watchHead)
			moved.send(r.listText("line", 3, 1))
			r.waitDraining(1)
		}
	}
}

// Bad input: entries that cannot be read, foreign lists, torn ones, huge ones. What is readable of ours counts, who
// leaves is not sent to, everybody else stays, and the watch goes on or is opened anew.
func TestFaultyLists(t *testing.T) {
	for _, k := range []struct {
		name, text string
		want       [3]int // gone, ready, draining
		again      bool   // the watch is opened anew
	}{
		{"an entry of other types", `{"generation":9,"instances":[{"instanceId":"s-00000001","weight":"heavy","lifecycle":"draining"}]}`, [3]int{0, 2, 0}, false},
		{"an entry without a name", `{"generation":9,"instances":[{"hostPort":7},7,null]}`, [3]int{0, 3, 0}, false},
		{"a stranger's list with one of ours that drains", `{"generation":99,"reset":true,"instances":[{"instanceId":"s-00000002","lifecycle":"draining"},{"instanceId":"x-1","zone":"mars","machineType":"rover","lifecycle":"ready"}]}`, [3]int{0, 2, 0}, false},
		{"no object", `[1,2]`, [3]int{0, 3, 0}, true},
		{"no JSON", `<html>`, [3]int{0, 3, 0}, true},
		{"a huge one", `{"generation":9,"more":"` + strings.Repeat("x", 300<<10), [3]int{0, 3, 0}, true},
	} {
		r := newFixture(t, func(n *config.Node) { n.Limits.WorkerListBytes = 256 << 10 }).start()
		r.watcher.Watch(true)
		c := receive(t, "a call", r.calls)
		io.WriteString(c, watchHead)
		c.send(r.listText("line", 8, 0))
		r.waitUntil("the list", func() bool { return r.counter("roster_changes") == 2 })
		c.send(k.text + "\n")
		if k.again {
			receive(t, k.name+": another call", r.calls)
		} else {
			c.send(`{"generation":9,"instances":[]}` + "\n")
			changes := int64(4)
			r.waitUntil(k.name+": the lists", func() bool { return r.counter("roster_changes") == changes })
		}
		if w := r.core.WorkerCounts(); w != k.want {
			t.Errorf("%s: workers by state %v, not %v", k.name, w, k.want)
		}
	}
}
