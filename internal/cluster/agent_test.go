package cluster_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/network/simulated"
	"gladepick/internal/rpc"
	"gladepick/internal/vfs"
	"gladepick/internal/vfs/memfs"
)

const port = 7240

// member is a fake member of the control group.
type member struct {
	ip     string
	server *rpc.Server

	mutex    sync.Mutex
	response cluster.SyncResponse
	body     string
	failure  error
	syncs    []cluster.SyncRequest
	calls    int // number of calls of MethodOperator and MethodPartitionRequest
}

func (m *member) address() string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *member) update(change func(*member)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change(m)
}

// testbed is a simulated network with an agent and fake members of the control group.
type testbed struct {
	network *simulated.Network
	members []*member
	pool    *rpc.Pool
	agent   *cluster.Agent
}

func runTestbed(t *testing.T, members int, test func(*testing.T, *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		bed := &testbed{network: simulated.New(1)}
		var wait sync.WaitGroup
		for i := range members {
			m := &member{ip: fmt.Sprintf("10.0.0.%d", i+1), server: rpc.NewServer(zap.NewNop())}
			bed.members = append(bed.members, m)
		}
		for _, m := range bed.members {
			bed.serve(m)
			listener, err := bed.network.Host(m.ip).Listen(m.address())
			assert.NilError(t, err)
			wait.Go(func() { _ = m.server.Serve(listener) })
		}
		bed.pool = rpc.NewPool(bed.network.Host("10.0.1.1"))
		bed.agent = bed.newAgent(t, nil, "10.0.0.1:8046", "10.0.0.2:8046")
		ctx, cancel := context.WithCancel(t.Context())
		wait.Go(func() { bed.agent.Run(ctx) })
		defer func() {
			cancel()
			bed.pool.Close()
			for _, m := range bed.members {
				m.server.Close()
			}
			wait.Wait()
		}()
		test(t, bed)
	})
}

func (bed *testbed) newAgent(t *testing.T, disk vfs.FS, seeds ...string) *cluster.Agent {
	agent, err := cluster.NewAgent(cluster.AgentOptions{
		Info: func() cluster.NodeInfo { return cluster.NodeInfo{Name: "node", Address: "10.0.1.1:7240"} },
		Pool: bed.pool, Seeds: seeds, InternalPort: port, Disk: disk,
	})
	assert.NilError(t, err)
	return agent
}

func (bed *testbed) controlGroup() []cluster.ControlMember {
	var controlGroup []cluster.ControlMember
	for _, m := range bed.members {
		controlGroup = append(controlGroup, cluster.ControlMember{Name: m.ip, Address: m.address()})
	}
	return controlGroup
}

func (bed *testbed) serve(m *member) {
	m.response.WorkersAgeMS = -1
	m.server.Handle(cluster.MethodControlGroup, func(context.Context, *rpc.Call) (any, []byte, error) {
		return cluster.ControlGroupInfo{Members: bed.controlGroup()}, nil, nil
	})
	m.server.Handle(cluster.MethodSync, func(ctx context.Context, call *rpc.Call) (any, []byte, error) {
		var request cluster.SyncRequest
		if err := call.Decode(&request); err != nil {
			return nil, nil, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(request.WaitMS) * time.Millisecond):
		}
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.syncs = append(m.syncs, request)
		return m.response, []byte(m.body), m.failure
	})
	primary := func(context.Context, *rpc.Call) (any, []byte, error) {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.calls++
		if m.failure != nil {
			return nil, nil, m.failure
		}
		return cluster.OperatorResponse{Status: http.StatusOK}, []byte(m.ip), nil
	}
	m.server.Handle(cluster.MethodOperator, primary)
	m.server.Handle(cluster.MethodPartitionRequest, primary)
}

func configurationJSON(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, version)
}

func TestSnapshotsAreNeverReplacedByOlderOnes(t *testing.T) {
	runTestbed(t, 1, func(t *testing.T, bed *testbed) {
		m := bed.members[0]
		m.update(func(m *member) {
			m.response.Table = &cluster.Table{Revision: 5, ControlGroup: bed.controlGroup()}
			m.response.Workers = &cluster.WorkerList{Epoch: 2, Revision: 9}
			m.response.ConfigVersion, m.body = 7, configurationJSON(7)
		})
		time.Sleep(time.Second)
		m.update(func(m *member) {
			m.response.Table = &cluster.Table{Revision: 4, ControlGroup: bed.controlGroup()}
			m.response.Workers = &cluster.WorkerList{Epoch: 1, Revision: 12}
			m.response.ConfigVersion, m.body = 6, configurationJSON(6)
		})
		time.Sleep(time.Second)
		assert.Equal(t, bed.agent.Table().Revision, uint64(5))
		assert.Equal(t, bed.agent.Workers().Epoch, uint64(2))
		assert.Equal(t, bed.agent.Config().Version(), uint64(7))
		assert.Assert(t, bed.agent.LeaseValid())
	})
}

func TestChangesUpdateTheHeldSnapshots(t *testing.T) {
	runTestbed(t, 1, func(t *testing.T, bed *testbed) {
		m := bed.members[0]
		m.update(func(m *member) {
			m.response.Table = &cluster.Table{Revision: 5, ControlGroup: bed.controlGroup(), ReplicationFactor: 2}
			m.response.ConfigVersion, m.body = 7, configurationJSON(7)
		})
		time.Sleep(time.Second)
		updates := []string{`{"version":8,"upsert":{}}`, `{"version":9,"upsert":{}}`}
		m.update(func(m *member) {
			m.response.Table = nil
			m.response.TableChanges = []cluster.TableChange{{Base: 5, ReplicationFactor: 3}, {Base: 6, DeliveringStores: 4}}
			m.response.ConfigVersion, m.body = 9, updates[0]+updates[1]
			m.response.ConfigUpdates = []int{len(updates[0]), len(updates[1])}
		})
		time.Sleep(time.Second)
		assert.Equal(t, bed.agent.Table().Revision, uint64(7))
		assert.Equal(t, bed.agent.Table().ReplicationFactor, 3)
		assert.Equal(t, bed.agent.Table().DeliveringStores, 4)
		assert.Equal(t, bed.agent.Config().Version(), uint64(9))
	})
}

func TestMalformedConfigurationIsNotApplied(t *testing.T) {
	runTestbed(t, 1, func(t *testing.T, bed *testbed) {
		bed.members[0].update(func(m *member) { m.response.ConfigVersion, m.body = 7, `{"version":7` })
		time.Sleep(3 * time.Second)
		assert.Assert(t, bed.agent.Config() == nil)
		assert.Assert(t, !bed.agent.LeaseValid())
	})
}

func TestLeaseSurvivesTheLossOfAMember(t *testing.T) {
	runTestbed(t, 3, func(t *testing.T, bed *testbed) {
		time.Sleep(time.Second)
		for _, lost := range bed.members {
			bed.network.PowerOff(lost.ip)
			for range 60 {
				time.Sleep(50 * time.Millisecond)
				assert.Assert(t, bed.agent.LeaseValid())
			}
			bed.network.PowerOn(lost.ip)
			listener, err := bed.network.Host(lost.ip).Listen(lost.address())
			assert.NilError(t, err)
			go func() { _ = lost.server.Serve(listener) }()
			time.Sleep(time.Second)
		}
	})
}

func TestLeaseExpiresWhenNoMemberServes(t *testing.T) {
	runTestbed(t, 2, func(t *testing.T, bed *testbed) {
		time.Sleep(time.Second)
		assert.Assert(t, bed.agent.LeaseValid())
		for _, m := range bed.members {
			m.update(func(m *member) { m.failure = &rpc.Error{Code: rpc.CodeUnavailable} })
		}
		time.Sleep(cluster.LeaseDuration + 100*time.Millisecond)
		assert.Assert(t, !bed.agent.LeaseValid())
		bed.members[1].update(func(m *member) { m.failure = nil })
		time.Sleep(600 * time.Millisecond)
		assert.Assert(t, bed.agent.LeaseValid())
	})
}

func TestIdleAgentSyncsRarely(t *testing.T) {
	runTestbed(t, 1, func(t *testing.T, bed *testbed) {
		time.Sleep(time.Second)
		bed.members[0].update(func(m *member) { m.syncs = nil })
		time.Sleep(10 * time.Second)
		bed.members[0].update(func(m *member) { assert.Assert(t, len(m.syncs) <= 26, "%d syncs", len(m.syncs)) })
	})
}

func TestCallsFollowRedirectsToThePrimary(t *testing.T) {
	runTestbed(t, 3, func(t *testing.T, bed *testbed) {
		time.Sleep(time.Second)
		last := bed.members[2]
		for _, m := range bed.members[:2] {
			m.update(func(m *member) { m.failure = &rpc.Error{Code: rpc.CodeNotLeader, Message: last.address()} })
		}
		for range 2 {
			response, body, err := bed.agent.ForwardOperatorRequest(t.Context(), cluster.OperatorRequest{}, nil)
			assert.NilError(t, err)
			assert.Equal(t, response.Status, http.StatusOK)
			assert.Equal(t, string(body), last.ip)
		}
		bed.members[0].update(func(m *member) { assert.Assert(t, m.calls <= 1, "the agent forgot the primary") })
	})
}

func TestCallsWithoutAPrimaryReturnInTime(t *testing.T) {
	runTestbed(t, 3, func(t *testing.T, bed *testbed) {
		time.Sleep(time.Second)
		for _, m := range bed.members {
			m.update(func(m *member) { m.failure = &rpc.Error{Code: rpc.CodeNotLeader} })
		}
		begin := time.Now()
		_, _, err := bed.agent.ForwardOperatorRequest(t.Context(), cluster.OperatorRequest{}, nil)
		assert.Assert(t, errors.Is(err, cluster.ErrNoPrimary), "%v", err)
		assert.Assert(t, time.Since(begin) <= time.Second)
		for _, m := range bed.members {
			bed.network.PowerOff(m.ip)
		}
		_, _, err = bed.agent.ForwardOperatorRequest(t.Context(), cluster.OperatorRequest{}, nil)
		assert.Assert(t, errors.Is(err, cluster.ErrOutcomeUnknown), "%v", err)
	})
}

func TestRejectedPartitionRequestIsReported(t *testing.T) {
	runTestbed(t, 1, func(t *testing.T, bed *testbed) {
		time.Sleep(time.Second)
		bed.members[0].update(func(m *member) { m.failure = &rpc.Error{Code: rpc.CodeConflict} })
		err := bed.agent.RequestPartitionChange(t.Context(), cluster.PartitionRequest{})
		assert.Equal(t, rpc.CodeOf(err), rpc.CodeConflict)
	})
}

func TestControlMembersSurviveARestart(t *testing.T) {
	runTestbed(t, 1, func(t *testing.T, bed *testbed) {
		bed.members[0].update(func(m *member) { m.response.Table = &cluster.Table{Revision: 1, ControlGroup: bed.controlGroup()} })
		disk := memfs.New(1)
		ctx, cancel := context.WithCancel(t.Context())
		first := bed.newAgent(t, disk, "10.0.0.1:8046")
		done := make(chan struct{})
		go func() {
			defer close(done)
			first.Run(ctx)
		}()
		time.Sleep(time.Second)
		cancel()
		<-done
		disk.PowerLoss()
		second := bed.newAgent(t, disk)
		assert.DeepEqual(t, second.ControlGroup(), bed.controlGroup())
	})
}

func TestInvalidSeedsAreRejected(t *testing.T) {
	_, err := cluster.NewAgent(cluster.AgentOptions{Seeds: []string{"nowhere", "10.0.0.1"}, InternalPort: port})
	assert.ErrorContains(t, err, `"nowhere"`)
	assert.ErrorContains(t, err, `"10.0.0.1"`)
}
