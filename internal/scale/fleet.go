package scale

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"ivyfold/internal/cluster"
	"ivyfold/internal/network"
	"ivyfold/internal/rpc"
)

const (
	startBatch     = 50 // hollow dispatchers that are started at a time
	startPause     = 100 * time.Millisecond
	awaitInterval  = 50 * time.Millisecond
	restartAbsence = time.Second // from the end of a dispatcher to its next start
)

// NetworkOf returns the network as the machine at an address has it.
type NetworkOf func(ip string) network.Network

// fleet is a set of hollow dispatchers with an operator.
type fleet struct {
	entry     Entry
	networkOf NetworkOf
	zones     int
	regions   int
	hollows   []*hollow
	traffic   traffic
	tracker   *tracker
	operator  *operator
	close     func() // ends the operator
}

// newFleet makes a fleet without dispatchers. The operator's calls are not counted as traffic.
func newFleet(entry Entry, networkOf NetworkOf, zones, regions, routes int) (*fleet, error) {
	f := &fleet{entry: entry, networkOf: networkOf, zones: zones, regions: regions, tracker: newTracker()}
	pool := rpc.NewPool(networkOf(operatorIP))
	info := cluster.NodeInfo{Name: "operator", Class: "front", Zone: zoneName(0), Address: operatorIP + ":0", Incarnation: "1"}
	agent, err := cluster.NewAgent(cluster.AgentOptions{
		Info: func() cluster.NodeInfo { return info }, Pool: pool, Seeds: entry.Seeds, InternalPort: entry.InternalPort,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	agent.Subscribe(func() {
		if table := agent.Table(); table != nil {
			f.tracker.observe(table, time.Now())
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		agent.Run(ctx)
		close(ended)
	}()
	f.close = func() {
		cancel()
		pool.Close()
		<-ended
	}
	f.operator = &operator{agent: agent, tracker: f.tracker, routes: routes}
	return f, nil
}

const operatorIP = "127.15.0.1"

// grow starts dispatchers until there are as many as wanted, a few at a time.
func (f *fleet) grow(ctx context.Context, count int) error {
	for len(f.hollows) < count && ctx.Err() == nil {
		for range min(startBatch, count-len(f.hollows)) {
			if err := f.add(); err != nil {
				return err
			}
		}
		pause(ctx, startPause)
	}
	return ctx.Err()
}

func (f *fleet) add() error {
	number := len(f.hollows)
	added := &hollow{
		info: hollowInfo(number, f.zones, f.regions), entry: f.entry, tracker: f.tracker,
		network: countingNetwork{Network: f.networkOf(hollowIP(number)), traffic: &f.traffic},
	}
	f.hollows = append(f.hollows, added)
	return added.start()
}

// awaitCurrent waits until every running dispatcher has the newest configuration.
func (f *fleet) awaitCurrent(ctx context.Context) error {
	for f.tracker.behind(f.operator.version) > 0 {
		if ctx.Err() != nil {
			return trace.LimitExceeded("%d dispatchers lack the newest configuration", f.tracker.behind(f.operator.version))
		}
		pause(ctx, awaitInterval)
	}
	return nil
}

// awaitDeclared waits until the control group has declared all losses.
func (f *fleet) awaitDeclared(ctx context.Context) error {
	for f.tracker.undeclared() > 0 {
		if ctx.Err() != nil {
			return trace.LimitExceeded("%d losses were not declared", f.tracker.undeclared())
		}
		pause(ctx, awaitInterval)
	}
	return nil
}

// restart ends dispatchers and starts them again after a while.
func (f *fleet) restart(ctx context.Context, chosen []*hollow) error {
	for _, each := range chosen {
		each.kill()
	}
	pause(ctx, restartAbsence)
	for _, each := range chosen {
		if err := each.start(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// lose ends a dispatcher, waits until that is declared, and starts it again.
func (f *fleet) lose(ctx context.Context, chosen *hollow) error {
	f.tracker.lost(chosen.info.Name, time.Now())
	chosen.kill()
	if err := f.awaitDeclared(ctx); err != nil {
		return err
	}
	return chosen.start()
}

// stop ends all dispatchers and the operator.
func (f *fleet) stop() {
	for _, each := range f.hollows {
		each.kill()
	}
	f.close()
}
