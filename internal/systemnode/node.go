package systemnode

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane"
	"gladepick/internal/network"
	"gladepick/internal/rpc"
	"gladepick/internal/settings"
	"gladepick/internal/vfs"
)

// Options configure a process. They contain the network and the disk, so that tests can run whole clusters on
// simulated ones.
type Options struct {
	Settings *settings.Settings
	Network  network.Network
	FS       vfs.FS // the data directory; nil for a process without a disk
	Logger   *zap.Logger
	Seed     uint64 // of the random numbers; the processes of one system should have different seeds
	// SettingsFile is watched for changes. If it is nil, no file is watched.
	SettingsFile *SettingsFile
	// ReloadSignals delivers SIGHUP, which makes the process read its settings file at once. It may be nil.
	ReloadSignals <-chan os.Signal
}

// node is the common part of Front and Store: the identity, the internal server, the connections to other processes,
// and the agent. The agent renews the lease and updates the snapshots of the configuration and the cluster table.
type node struct {
	options  Options
	settings *settings.Settings
	logger   *zap.Logger
	server   *rpc.Server
	pool     *rpc.Pool
	agent    *cluster.Agent
	info     cluster.NodeInfo // the fields that never change; announce adds the others
	draining atomic.Bool      // set when Run starts to drain

	running sync.WaitGroup // the goroutines that close waits for
}

// newNode returns a node without an agent. The caller must call newAgent next.
func newNode(options Options) (*node, error) {
	n := &node{
		options:  options,
		settings: options.Settings,
		logger:   options.Logger,
		server:   rpc.NewServer(options.Logger),
		pool:     rpc.NewPool(options.Network),
	}
	info, err := n.identity()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n.info = info
	return n, nil
}

// identity returns the fields of the node info that never change while the process runs. The incarnation is random,
// so that each start of a process differs from the previous one.
func (n *node) identity() (cluster.NodeInfo, error) {
	info := cluster.NodeInfo{
		Name:        n.settings.Node,
		Class:       n.settings.Class,
		Zone:        n.settings.Zone,
		Region:      n.settings.Region,
		Address:     net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.InternalPorts.First)),
		Incarnation: rand.Text(),
	}
	if n.options.FS == nil {
		return info, nil
	}
	disk, err := controlplane.DiskID(n.options.FS)
	if err != nil {
		return info, trace.Wrap(err, "reading the disk's identity")
	}
	info.DiskID = disk
	info.ControlEligible = n.settings.ServesParty(settings.ServesControl) && n.settings.CountsForQuorum
	info.Store = n.settings.ServesParty(settings.ServesStore)
	return info, nil
}

// newAgent creates the agent, which calls info at every renewal of the lease.
func (n *node) newAgent(info func() cluster.NodeInfo) error {
	agent, err := cluster.NewAgent(cluster.AgentOptions{
		Info:         info,
		Pool:         n.pool,
		Server:       n.server,
		Seeds:        n.settings.Seeds,
		InternalPort: n.settings.InternalPorts.First,
		Register:     n.settings.Bootstrap,
		Disk:         n.options.FS,
		Logger:       n.logger,
	})
	if err != nil {
		return trace.Wrap(err, "settings: seeds")
	}
	n.agent = agent
	return nil
}

// report reports an unreachable process to the control plane, in a goroutine of its own.
func (n *node) report(ctx context.Context, report cluster.FailureReport) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		if err := n.agent.ReportFailure(ctx, report); err != nil {
			n.logger.Debug("reporting an unreachable process failed", zap.String("node", report.Node), zap.Error(err))
		}
	}()
}

// serveInternal opens the internal listener, and starts the internal server and the agent.
func (n *node) serveInternal(ctx context.Context) error {
	listener, err := n.options.Network.Listen(n.info.Address)
	if err != nil {
		return trace.Wrap(err, fmt.Sprintf("listening at %s", n.info.Address))
	}
	n.running.Go(func() {
		if err := n.server.Serve(listener); err != nil && ctx.Err() == nil {
			n.logger.Error("internal server failed", zap.Error(err))
		}
	})
	n.running.Go(func() { n.agent.Run(ctx) })
	return nil
}

// watchSettings starts the watch on the settings file, if the options have one.
func (n *node) watchSettings(ctx context.Context, target settingsTarget) {
	if n.options.SettingsFile == nil {
		return
	}
	watch := newSettingsWatch(n.options.SettingsFile, target, n.logger)
	n.running.Go(func() { watch.run(ctx, n.options.ReloadSignals) })
}

// SetSeeds replaces the control addresses at which the agent looks for the control group. If one of them is not an
// address with a port, SetSeeds returns an error and changes nothing.
func (n *node) SetSeeds(seeds []string) error { return trace.Wrap(n.agent.SetSeeds(seeds)) }

// close closes the internal server and all connections, and waits for the goroutines of the process.
func (n *node) close() {
	n.server.Close()
	n.pool.Close()
	n.running.Wait()
}
