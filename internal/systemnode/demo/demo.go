// Package demo runs a small complete system in one process, to try it out: real fronts and stores on loopback
// addresses, with their files in one folder, and simulated workers and a simulated list of them in place of the
// platform's.
//
// Run owns all goroutines and waits for them. When one process fails, the whole demonstration ends with its error.
// Start reading at Run; machine.go lays out addresses, ports and settings.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/controlplane/workerlist"
	"gladepick/internal/network"
	"gladepick/internal/operatorcli"
	"gladepick/internal/systemnode"
	"gladepick/internal/vfs"
)

// What the system knows of at its start.
const (
	RouteHost  = "demo.example"
	RoutePath  = "/echo/"
	service    = "echo"
	healthPath = "/health"
)

const (
	startTimeout  = 30 * time.Second
	pathReady     = "/api/ready"
	firstBase     = "0" // there is no configuration yet
	settingsName  = "settings.toml"
	dataName      = "data"
	directoryMode = 0o755
	fileMode      = 0o644
)

// Options say how large the system is and where it runs.
type Options struct {
	Fronts    int
	Stores    int
	Tolerated int // losses of machines
	Port      int // the first of some ports that are used on each address
	Folder    string
	// Network returns the network as the machine of an address sees it.
	Network func(ip string) network.Network
	// Logger returns the logger of a process.
	Logger func(process string) (*zap.Logger, error)
}

// Addresses are where a running system can be called, one of each kind for each front.
type Addresses struct {
	Clients []string
	Control []string
}

// system is a running demonstration.
type system struct {
	options  Options
	machines []machine
	running  sync.WaitGroup
	fail     context.CancelCauseFunc
}

// Run runs a system until the context ends or one of its processes fails, whose error it returns. It calls ready
// once messages are accepted.
func Run(ctx context.Context, options Options, ready func(Addresses)) error {
	ctx, fail := context.WithCancelCause(ctx)
	s := &system{options: options, machines: planMachines(options), fail: fail}
	defer s.running.Wait()
	defer fail(nil)
	if err := s.start(ctx); err != nil {
		return trace.Wrap(err)
	}
	if err := s.awaitReady(ctx); err != nil {
		return trace.Wrap(firstCause(ctx, err))
	}
	ready(s.addresses())
	<-ctx.Done()
	return trace.Wrap(firstCause(ctx, nil))
}

// firstCause returns the error of the process that failed, nil after an end that was asked for, or else another
// error.
func firstCause(ctx context.Context, otherwise error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	if ctx.Err() != nil {
		return nil
	}
	return otherwise
}

// start starts the simulated platform and then all processes.
func (s *system) start(ctx context.Context) error {
	if err := s.startSimulated(ctx); err != nil {
		return err
	}
	for _, machine := range s.machines {
		process, err := s.newProcess(machine)
		if err != nil {
			return trace.Wrap(err, "starting %s", machine.name)
		}
		s.running.Go(func() {
			if err := process.Run(ctx); err != nil {
				s.fail(trace.Wrap(err, "%s ended", machine.name))
			}
		})
	}
	return nil
}

// process is a front or a store.
type process interface {
	Run(ctx context.Context) error
}

// newProcess writes a machine's settings file and makes its process.
func (s *system) newProcess(machine machine) (process, error) {
	folder := filepath.Join(s.options.Folder, machine.name)
	if err := os.MkdirAll(folder, directoryMode); err != nil {
		return nil, trace.Wrap(err)
	}
	path := filepath.Join(folder, settingsName)
	data := filepath.Join(folder, dataName)
	if err := os.WriteFile(path, s.settingsText(machine, data), fileMode); err != nil {
		return nil, trace.Wrap(err)
	}
	file, err := systemnode.ReadSettings(path)
	if err != nil {
		return nil, err
	}
	disk, err := vfs.OpenDirectory(data)
	if err != nil {
		return nil, err
	}
	logger, err := s.options.Logger(machine.name)
	if err != nil {
		return nil, err
	}
	options := systemnode.Options{
		Settings:     file.Settings,
		SettingsFile: file,
		Network:      s.options.Network(machine.ip),
		FS:           disk,
		Logger:       logger,
		Seed:         uint64(machine.number),
	}
	if machine.class == classFront {
		return systemnode.NewFront(options)
	}
	return systemnode.NewStore(options)
}

// awaitReady puts the first configuration in force and waits until a front accepts messages.
func (s *system) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	body, err := json.Marshal(firstConfiguration())
	if err != nil {
		return trace.Wrap(err)
	}
	transport := workerlist.NewPlatformClient(s.options.Network(hostIP)).Transport
	operator := operatorcli.NewClient(s.addresses().Control, transport)
	order := operatorcli.Request{
		Method: http.MethodPost, Path: operatorcli.PathConfigReplace, Base: firstBase, Body: body,
	}
	if _, err := operator.Do(ctx, order); err != nil {
		return trace.Wrap(err, "putting the configuration in force")
	}
	probe := operatorcli.NewClient([]string{s.machines[0].readyAddress(s.options.Port)}, transport)
	_, err = probe.Do(ctx, operatorcli.Request{Method: http.MethodGet, Path: pathReady})
	return trace.Wrap(err, "waiting for a front")
}

func (s *system) addresses() Addresses {
	var addresses Addresses
	for _, machine := range s.machines {
		if machine.class == classFront {
			addresses.Clients = append(addresses.Clients, machine.clientAddress(s.options.Port))
			addresses.Control = append(addresses.Control, machine.controlAddress(s.options.Port))
		}
	}
	return addresses
}
