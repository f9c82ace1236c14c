package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

// zones of the deployment. The machines of a role are spread over them.
var zones = []string{"zone-1", "zone-2", "zone-3", "zone-4"}

// Parts of the addresses in a deployment's network.
const (
	partFronts   = 1
	partStores   = 2
	partWorkers  = 3
	partPlatform = 9
)

// ports are alike on all machines.
type ports struct{ Internal, Front, Ready, Control int }

// deployment is a number of fronts and stores, each a process with a loopback address of its own.
type deployment struct {
	program  string // path of gladepick-system
	folder   string // of settings, disks and logs
	network  int    // second byte of the addresses
	recorder *recorder
	ports    ports
	platform string // address of the platform's list of workers
	fronts   []*machine
	stores   []*machine
}

// newDeployment prepares the machines of a plan. Nothing runs yet.
func newDeployment(options Options, plan *Plan, recorder *recorder) (*deployment, error) {
	d := &deployment{program: options.Program, folder: options.Folder, network: options.Network, recorder: recorder}
	var err error
	if d.ports, err = freePorts(d.ip(partPlatform, 1)); err != nil {
		return nil, trace.Wrap(err)
	}
	d.fronts = d.newMachines(roleFront, partFronts, plan.Fronts)
	d.stores = d.newMachines(roleStore, partStores, plan.Stores)
	return d, nil
}

// ip returns an address in the deployment's network.
func (d *deployment) ip(part, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.network, part, number)
}

func (d *deployment) newMachines(role string, part, count int) []*machine {
	var machines []*machine
	for i, name := range machineNames(role, count) {
		machines = append(machines, &machine{
			deployment: d, name: name, role: role, zone: zones[i%len(zones)], ip: d.ip(part, i+1),
		})
	}
	return machines
}

// freePorts returns four ports that are free at an address.
func freePorts(ip string) (ports, error) {
	var found [4]int
	for i := range found {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return ports{}, trace.Wrap(err)
		}
		defer func() { _ = listener.Close() }()
		found[i] = listener.Addr().(*net.TCPAddr).Port
	}
	return ports{found[0], found[1], found[2], found[3]}, nil
}

// machines returns all machines, the fronts first.
func (d *deployment) machines() []*machine {
	return append(append([]*machine{}, d.fronts...), d.stores...)
}

// machine returns the machine with a name, or nil.
func (d *deployment) machine(name string) *machine {
	for _, m := range d.machines() {
		if m.name == name {
			return m
		}
	}
	return nil
}

// startAll starts every process, the fronts first.
func (d *deployment) startAll() error {
	for _, m := range d.machines() {
		if err := m.start(); err != nil {
			return trace.Wrap(err, "starting %s", m.name)
		}
	}
	return nil
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, m := range d.machines() {
		m.signal(syscall.SIGCONT, false)
		m.kill()
	}
}

// removeDisks removes the disks, which are large, and keeps the logs.
func (d *deployment) removeDisks() {
	for _, m := range d.machines() {
		_ = os.RemoveAll(filepath.Clean(m.disk()))
	}
}
