package scale

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"ivyfold/internal/cluster"
	"ivyfold/internal/ctxtime"
	"ivyfold/internal/network"
	"ivyfold/internal/rpc"
)

const (
	startBatch     = 50 // hollow dispatchers that are started at a time
	startPause     = 100 * time.Millisecond
	awaitInterval  = 50 * time.Millisecond
	restartAbsence = time.Second     // from the end of a dispatcher to its next start
	failureAbsence = 3 * time.Second // the same where its loss is to be declared
	restAfter      = 3 * time.Second // without a change of the cluster table
	restPatience   = 90 * time.Second
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
	absent    []absence
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

// absence is a dispatcher that has ended and is to be started again.
type absence struct {
	hollow *hollow
	until  time.Time
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
		ctxtime.Sleep(ctx, startPause)
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
		ctxtime.Sleep(ctx, awaitInterval)
	}
	return nil
}

// awaitDeclared waits until the control group has declared all losses.
func (f *fleet) awaitDeclared(ctx context.Context) error {
	for f.tracker.undeclared() > 0 {
		if ctx.Err() != nil {
			return trace.LimitExceeded("losses were not declared: %s", f.tracker.describeUndeclared(f.operator.agent.Table()))
		}
		ctxtime.Sleep(ctx, awaitInterval)
	}
	return nil
}

// awaitRest waits until the cluster table has not changed for a while, and tells whether that came in time.
func (f *fleet) awaitRest(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, restPatience)
	defer cancel()
	revision, since := uint64(0), time.Now()
	for ctx.Err() == nil {
		if table := f.operator.agent.Table(); table != nil && table.Revision != revision {
			revision, since = table.Revision, time.Now()
		}
		if time.Since(since) >= restAfter {
			return true
		}
		ctxtime.Sleep(ctx, awaitInterval)
	}
	return false
}

// take ends a dispatcher until a time.
func (f *fleet) take(chosen *hollow, until time.Time) {
	chosen.kill()
	f.absent = append(f.absent, absence{hollow: chosen, until: until})
}

// bringBack starts the dispatchers whose absence has ended, but none whose loss has not been declared.
func (f *fleet) bringBack(now time.Time) error {
	var staying []absence
	for _, each := range f.absent {
		if now.Before(each.until) || f.tracker.awaits(each.hollow.info.Name) {
			staying = append(staying, each)
			continue
		}
		if err := each.hollow.start(); err != nil {
			return trace.Wrap(err)
		}
	}
	f.absent = staying
	return nil
}

// restart ends dispatchers and starts them again after a while.
func (f *fleet) restart(ctx context.Context, chosen []*hollow) error {
	for _, each := range chosen {
		each.kill()
	}
	ctxtime.Sleep(ctx, restartAbsence)
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
