package scale

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"ivyfold/internal/cluster"
	"ivyfold/internal/network"
	"ivyfold/internal/rpc"
)

// askTimeout bounds a call by which a hollow dispatcher says that a backup is synced.
const askTimeout = time.Second

// hollow is a dispatcher without traffic. It can be stopped and started again.
type hollow struct {
	info    cluster.NodeInfo // without the incarnation
	entry   Entry
	network network.Network
	tracker *tracker
	asking  atomic.Bool

	agent *cluster.Agent // of the present or last run
	stop  func()         // nil while it does not run
}

// Entry says where a control group can be found.
type Entry struct {
	Seeds        []string // control addresses, "ip:port"
	InternalPort int
}

// start starts the dispatcher with a new incarnation.
func (h *hollow) start() error {
	info := h.info
	info.Incarnation = rand.Text()
	pool := rpc.NewPool(h.network)
	agent, err := cluster.NewAgent(cluster.AgentOptions{
		Info: func() cluster.NodeInfo { return info }, Pool: pool, Seeds: h.entry.Seeds, InternalPort: h.entry.InternalPort,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	run := h.tracker.begin(time.Now())
	agent.Subscribe(func() { h.changed(ctx, agent, run) })
	var running sync.WaitGroup
	running.Go(func() { agent.Run(ctx) })
	h.agent = agent
	h.stop = func() {
		cancel()
		pool.Close()
		running.Wait()
		h.tracker.end(run)
	}
	return nil
}

// kill ends the dispatcher without a farewell.
func (h *hollow) kill() {
	if h.stop != nil {
		h.stop()
		h.stop = nil
	}
}

// changed takes new snapshots of the agent in.
func (h *hollow) changed(ctx context.Context, agent *cluster.Agent, run *runOfHollow) {
	if document := agent.Config(); document != nil {
		h.tracker.reached(run, document.Version(), time.Now())
	}
	table := agent.Table()
	if table == nil {
		return
	}
	asks := h.asks(table)
	if len(asks) > 0 && h.asking.CompareAndSwap(false, true) {
		go h.ask(ctx, agent, asks)
	}
}

// asks lists what a primary without messages says of its backups: that they are synced.
func (h *hollow) asks(table *cluster.Table) []cluster.PartitionAsk {
	var asks []cluster.PartitionAsk
	for i := range table.Partitions {
		partition := &table.Partitions[i]
		if primary, found := partition.Primary(); !found || primary.Store != h.info.Name {
			continue
		}
		if ask, wanted := h.askFor(partition); wanted {
			asks = append(asks, ask)
		}
	}
	return asks
}

func (h *hollow) askFor(partition *cluster.Partition) (cluster.PartitionAsk, bool) {
	ask := cluster.PartitionAsk{Partition: partition.ID, Epoch: partition.Epoch, Store: h.info.Name}
	for _, replica := range partition.Replicas[1:] {
		if !replica.Synced {
			ask.Synced = replica.Store
		} else if replica.Store == partition.Wanted {
			ask.Handover = true
		}
	}
	return ask, ask.Synced != "" || ask.Handover
}

func (h *hollow) ask(ctx context.Context, agent *cluster.Agent, asks []cluster.PartitionAsk) {
	defer h.asking.Store(false)
	for _, ask := range asks {
		limited, cancel := context.WithTimeout(ctx, askTimeout)
		_ = agent.PartitionAsk(limited, ask) // the next table shows whether it was granted
		cancel()
	}
}

// hollowInfo is what the hollow dispatcher of a number announces.
func hollowInfo(number, zones, regions int) cluster.NodeInfo {
	zone := number % zones
	name := fmt.Sprintf("hollow-%05d", number)
	return cluster.NodeInfo{
		Name: name, Class: "store", Zone: zoneName(zone), Region: fmt.Sprintf("region-%d", zone%regions),
		Address: fmt.Sprintf("%s:%d", hollowIP(number), hollowPort), DiskID: "disk-" + name, Store: true,
	}
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// hollowIP gives every hollow dispatcher an address of its own. Nothing listens there.
func hollowIP(number int) string {
	return fmt.Sprintf("127.16.%d.%d", number/addressesPerNet, number%addressesPerNet+1)
}

const (
	hollowPort      = 7240
	addressesPerNet = 250
)
