package demo

import (
	"fmt"
	"net"
	"strconv"
	"strings"
)

// Classes of machines.
const (
	classFront = "front"
	classStore = "store"
)

// Offsets of the ports from Options.FirstPort. They are the same on all addresses.
const (
	portClient = iota
	portReady
	portControl
	portInternal
	portPlatform
	portWorker
)

// Loopback addresses.
const (
	hostIP       = "127.0.0.1" // of the simulated workers, the platform and the operator
	frontIPStart = 11          // last byte of the first front's address
	storeIPStart = 41          // last byte of the first store's address
)

var zones = []string{"demo-a", "demo-b", "demo-c"}

// machine describes the machine of one front or store.
type machine struct {
	number int
	name   string
	class  string
	ip     string
	zone   string
}

// planMachines returns the machines of a demonstration, fronts first. It distributes each class over the zones.
func planMachines(options Options) []machine {
	var machines []machine
	add := func(class string, count, ipStart int) {
		for i := range count {
			machines = append(machines, machine{
				number: len(machines),
				name:   fmt.Sprintf("%s-%d", class, i+1),
				class:  class,
				ip:     fmt.Sprintf("127.0.0.%d", ipStart+i),
				zone:   zones[i%len(zones)],
			})
		}
	}
	add(classFront, options.Fronts, frontIPStart)
	add(classStore, options.Stores, storeIPStart)
	return machines
}

// address returns the address of a port of the machine.
func (m machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func (m machine) clientAddress(firstPort int) string  { return m.address(firstPort + portClient) }
func (m machine) readyAddress(firstPort int) string   { return m.address(firstPort + portReady) }
func (m machine) controlAddress(firstPort int) string { return m.address(firstPort + portControl) }

// settingsText returns the TOML text of a machine's settings file. data is the path of its data directory.
func (s *system) settingsText(machine machine, data string) []byte {
	firstPort := s.options.FirstPort
	var text strings.Builder
	line := func(format string, arguments ...any) { fmt.Fprintf(&text, format+"\n", arguments...) }
	line("node = %q", machine.name)
	line("role = %q", machine.class)
	line("class = %q", machine.class)
	line("ip = %q", machine.ip)
	line("zone = %q", machine.zone)
	line("internal-ports = [%d, %d]", firstPort+portInternal, firstPort+portInternal)
	line("seeds = [%s]", quoteAll(s.addresses().Control))
	line("bootstrap = true")
	line("data-dir = %q", data)
	if machine.class == classFront {
		line("serves = [%q, %q]", "front", "control")
		line("counts-for-quorum = true")
		line("\n[listen-addrs]")
		line("front = %q", machine.clientAddress(firstPort))
		line("ready = %q", machine.readyAddress(firstPort))
		line("control = %q", machine.controlAddress(firstPort))
	} else {
		line("serves = [%q]", "store")
	}
	line("\n[fault-tolerance]\nmachines = %d", s.options.ToleratedLosses)
	line("\n[cloud]\naddress = %q", s.platformAddress())
	return []byte(text.String())
}

// quoteAll returns the texts as the elements of a TOML array.
func quoteAll(texts []string) string {
	parts := make([]string, len(texts))
	for i, text := range texts {
		parts[i] = strconv.Quote(text)
	}
	return strings.Join(parts, ", ")
}
