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

// listText encodes a list of the three workers. The first workers are draining; the parameter draining is their number.
// form selects the whitespace: line, indented or crlf.
func (f *fixture) listText(form string, generation, draining int) string {
	var entries []string
	for i := range 3 {
		state := "ready"
		if i < draining {
			state = "draining"
		}
		entries = append(entries, fmt.Sprintf(listEntry, i+1, f.node.KnownWorkers.Workers[0].Address, state))
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

func (c *discoveryCall) send(text string) { io.WriteString(c, chunkOf(text)) }

// waitDraining waits until n workers are draining and the rest of the three are ready.
func (f *fixture) waitDraining(n int) {
	f.t.Helper()
	f.waitUntil(fmt.Sprint(n, " draining workers"), func() bool { w := f.core.WorkerCounts(); return w[decision.Draining] == n && w[decision.Ready] == 3-n })
}

// A worker list may span several lines: the first list, a change, one after the address of discovery has changed, and
// one that breaks off in the middle.
func TestWorkerListSpansSeveralLines(t *testing.T) {
	for _, form := range []string{"line", "indented", "crlf"} {
		f := newFixture(t, nil).start()
		f.watcher.Watch(true)
		call := receive(t, "a call", f.calls)
		io.WriteString(call, watchHead)
		call.send(f.listText(form, 8, 1))
		f.waitDraining(1)
		text := f.listText(form, 9, 2)
		for len(text) > 0 { // in pieces that do not end at a line or token
			size := min(7, len(text))
			call.send(text[:size])
			text = text[size:]
		}
		f.waitDraining(2)
		call.send("\n \n")
		call.send(f.listText(form, 10, 0))
		f.waitDraining(0)
		select {
		case call := <-f.calls:
			t.Fatalf("%s: unexpected call to %s", form, call.target)
		default:
		}
		other := listen(t)
		f.watcher.SetAddress(other.Addr().String())
		conn, err := other.Accept()
		if err != nil {
			t.Fatal(err)
		}
		moved := &discoveryCall{Conn: conn}
		http.ReadRequest(bufio.NewReader(conn))
		io.WriteString(conn, watchHead)
		moved.send(f.listText(form, 3, 1))
		f.waitDraining(1)
		text = f.listText(form, 4, 2)
		moved.send(text[:strings.LastIndex(text, "s-00000003")]) // two complete entries and the start of the third
		conn.Close()
		f.waitDraining(2)
		if conn, err = other.Accept(); err != nil {
			t.Fatal(err)
		}
		if req, err := http.ReadRequest(bufio.NewReader(conn)); err != nil || !strings.HasSuffix(req.RequestURI, "&after=0") {
			t.Errorf("%s: the call after the break is %v, %v", form, req, err)
		}
		conn.Close()
	}
}

// A watch stream stops sending at some point. The watcher makes another call, and a drain in its response takes effect.
func TestSilentWatchIsReopened(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for name, prepare := range map[string]func(*fixture, *discoveryCall){
			"before any byte": func(*fixture, *discoveryCall) {},
			"after the head":  func(_ *fixture, c *discoveryCall) { io.WriteString(c, watchHead) },
			"after a list": func(f *fixture, c *discoveryCall) {
				io.WriteString(c, watchHead)
				c.send(f.listText("line", 8, 0))
				f.waitDraining(0)
			},
			"after a blank line": func(_ *fixture, c *discoveryCall) { io.WriteString(c, watchHead); c.send("\n") },
			"in a list": func(f *fixture, c *discoveryCall) {
				io.WriteString(c, watchHead)
				c.send(f.listText("indented", 9, 1)[:40])
			},
			"in the end of a list": func(f *fixture, c *discoveryCall) {
				io.WriteString(c, watchHead)
				c.send(strings.TrimRight(f.listText("indented", 9, 1), "}\n\t "))
			},
		} {
			f := newFixture(t, func(n *config.Node) {
				if pushed {
					n.Module.Discovery = decision.DiscoveryPush
				}
				n.Limits.DiscoveryCallTimeout, n.Limits.DiscoverySilenceTimeout, n.Limits.DiscoveryBackoff = 300*time.Millisecond, 300*time.Millisecond, 20*time.Millisecond
			}).start()
			f.watcher.Watch(true)
			prepare(f, receive(t, "a call", f.calls))
			c := receive(t, name+": the next call", f.calls)
			io.WriteString(c, watchHead)
			c.send(f.listText("line", 9, 1))
			f.waitDraining(1)
		}
	}
}

// The address of discovery changes while a call has no response, while the watch stream is silent, or between two
// calls. The next call goes to the new address at once, whatever time-out is pending, and its list takes effect.
func TestDiscoveryAddressChangesInAnyState(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for name, prepare := range map[string]func(*fixture, *discoveryCall){
			"a call is pending": func(*fixture, *discoveryCall) {},
			"a watch is silent": func(f *fixture, call *discoveryCall) {
				io.WriteString(call, watchHead)
				call.send(f.listText("line", 8, 2))
				f.waitDraining(2)
			},
			"between two calls": func(f *fixture, call *discoveryCall) {
				call.Close()
				f.waitUntil("the failed call", func() bool { return f.counter("roster_failed") == 1 })
			},
		} {
			f := newFixture(t, func(n *config.Node) {
				if pushed {
					n.Module.Discovery = decision.DiscoveryPush
				}
				n.Limits.DiscoveryCallTimeout, n.Limits.DiscoverySilenceTimeout, n.Limits.DiscoveryBackoff = time.Hour, time.Hour, time.Hour
			}).start()
			f.watcher.Watch(true)
			prepare(f, receive(t, "a call", f.calls))
			other := listen(t)
			f.watcher.SetAddress(other.Addr().String())
			other.(*net.TCPListener).SetDeadline(time.Now().Add(maxWait))
			conn, err := other.Accept()
			if err != nil {
				t.Fatalf("%s, pushed %v: no call to the new address: %v", name, pushed, err)
			}
			defer conn.Close()
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err != nil || !strings.HasSuffix(req.RequestURI, "&after=0") {
				t.Errorf("%s: the first call to the new address is %v, %v", name, req, err)
			}
			moved := &discoveryCall{Conn: conn}
			io.WriteString(conn, watchHead)
			moved.send(f.listText("line", 3, 1))
			f.waitDraining(1)
		}
	}
}

// Discovery sends invalid entries, lists with unknown workers, text that is no list, or a list beyond the size limit.
// Valid parts of entries of known workers take effect: a draining worker receives no job, and all others stay. The
// watch continues or is reopened.
func TestInvalidWorkerLists(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       [3]int // gone, ready, draining
		reopened   bool   // the watch is reopened
	}{
		{"an entry with wrong types", `{"generation":9,"instances":[{"instanceId":"s-00000001","weight":"heavy","lifecycle":"draining"}]}`, [3]int{0, 2, 0}, false},
		{"an entry without a name", `{"generation":9,"instances":[{"hostPort":7},7,null]}`, [3]int{0, 3, 0}, false},
		{"a list with an unknown worker and a known one that drains", `{"generation":99,"reset":true,"instances":[{"instanceId":"s-00000002","lifecycle":"draining"},{"instanceId":"x-1","zone":"mars","machineType":"rover","lifecycle":"ready"}]}`, [3]int{0, 2, 0}, false},
		{"not an object", `[1,2]`, [3]int{0, 3, 0}, true},
		{"not JSON", `<html>`, [3]int{0, 3, 0}, true},
		{"a list beyond the size limit", `{"generation":9,"more":"` + strings.Repeat("x", 300<<10), [3]int{0, 3, 0}, true},
	} {
		f := newFixture(t, func(n *config.Node) { n.Limits.WorkerListBytes = 256 << 10 }).start()
		f.watcher.Watch(true)
		call := receive(t, "a call", f.calls)
		io.WriteString(call, watchHead)
		call.send(f.listText("line", 8, 0))
		f.waitUntil("the list", func() bool { return f.counter("roster_changes") == 2 })
		call.send(tc.text + "\n")
		if tc.reopened {
			receive(t, tc.name+": another call", f.calls)
		} else {
			call.send(`{"generation":9,"instances":[]}` + "\n")
			changes := int64(4)
			f.waitUntil(tc.name+": the lists", func() bool { return f.counter("roster_changes") == changes })
		}
		if got := f.core.WorkerCounts(); got != tc.want {
			t.Errorf("%s: workers by state (gone, ready, draining): got %v, want %v", tc.name, got, tc.want)
		}
	}
}
