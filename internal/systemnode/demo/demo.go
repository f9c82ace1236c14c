// Package demo runs a small but complete system in one operating system process, for trying it out. The fronts and
// stores are real. They use loopback addresses and keep their files in one directory. The workers and the platform's
// worker list are simulated.
//
// Run owns all goroutines and waits for them. If one front or store fails, the whole demonstration ends with its error.
// Start reading at Run. The file machine.go assigns addresses, ports and settings.
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

// Values of the initial configuration.
const (
	RouteHost  = "demo.example"
	RoutePath  = "/echo/"
	service    = "echo"
	healthPath = "/health"
)

const (
	startTimeout       = 30 * time.Second
	pathReady          = "/api/ready"
	initialBaseVersion = "0" // base version of the first configuration
	settingsName       = "settings.toml"
	dataName           = "data"
	directoryMode      = 0o755
	fileMode           = 0o644
)

// Options configure the size of the demonstration and the resources that it uses.
type Options struct {
	Fronts          int
	Stores          int
	ToleratedLosses int // number of machine losses that the system tolerates
	FirstPort       int // first port; the same consecutive ports are used on each address
	Directory       string
	// Network returns the network of the machine with the given IP address.
	Network func(ip string) network.Network
	// Logger returns the logger of the front or store with the given name.
	Logger func(process string) (*zap.Logger, error)
}

// Addresses are the client addresses and the control addresses of a running system, one of each for each front.
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

// Run runs a system until the context ends or a front or store fails, and returns the error of the one that failed. It
// calls ready once the system accepts messages.
func Run(ctx context.Context, options Options, ready func(Addresses)) error {
	ctx, fail := context.WithCancelCause(ctx)
	s := &system{options: options, machines: planMachines(options), fail: fail}
	defer s.running.Wait()
	defer fail(nil)
	if err := s.start(ctx); err != nil {
		return trace.Wrap(err)
	}
	if err := s.awaitReady(ctx); err != nil {
		return trace.Wrap(failureCause(ctx, err))
	}
	ready(s.addresses())
	<-ctx.Done()
	return trace.Wrap(failureCause(ctx, nil))
}

// failureCause returns the error with which ctx was cancelled if a front or store failed, and nil if the caller of Run
// ended the demonstration. If ctx has not ended, it returns fallback.
func failureCause(ctx context.Context, fallback error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	if ctx.Err() != nil {
		return nil
	}
	return fallback
}

// start starts the simulated platform and then all fronts and stores.
func (s *system) start(ctx context.Context) error {
	if err := s.startPlatform(ctx); err != nil {
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

// process is a systemnode.Front or a systemnode.Store.
type process interface {
	Run(ctx context.Context) error
}

// newProcess writes the settings file of a machine and returns its front or store, which is not started.
func (s *system) newProcess(machine machine) (process, error) {
	directory := filepath.Join(s.options.Directory, machine.name)
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, trace.Wrap(err)
	}
	path := filepath.Join(directory, settingsName)
	data := filepath.Join(directory, dataName)
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

// awaitReady applies the initial configuration and waits until the first front accepts messages.
func (s *system) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	body, err := json.Marshal(initialConfiguration())
	if err != nil {
		return trace.Wrap(err)
	}
	transport := workerlist.NewPlatformClient(s.options.Network(hostIP)).Transport
	operator := operatorcli.NewClient(s.addresses().Control, transport)
	replace := operatorcli.Request{
		Method: http.MethodPost, Path: operatorcli.PathConfigReplace, BaseVersion: initialBaseVersion, Body: body,
	}
	if _, err := operator.Do(ctx, replace); err != nil {
		return trace.Wrap(err, "applying the initial configuration")
	}
	probe := operatorcli.NewClient([]string{s.machines[0].readyAddress(s.options.FirstPort)}, transport)
	_, err = probe.Do(ctx, operatorcli.Request{Method: http.MethodGet, Path: pathReady})
	return trace.Wrap(err, "waiting until a front is ready")
}

func (s *system) addresses() Addresses {
	var addresses Addresses
	for _, machine := range s.machines {
		if machine.class == classFront {
			addresses.Clients = append(addresses.Clients, machine.clientAddress(s.options.FirstPort))
			addresses.Control = append(addresses.Control, machine.controlAddress(s.options.FirstPort))
		}
	}
	return addresses
}
