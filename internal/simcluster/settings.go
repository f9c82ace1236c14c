package simcluster

import (
	"time"

	"gladepick/internal/settings"
)

// settings returns the settings of the machine's process.
func (m *Machine) settings() *settings.Settings {
	result := &settings.Settings{
		Node: m.Name, Role: m.class, Class: m.class, Serves: []string{settings.ServesStore},
		IP: m.ip, Zone: m.Zone, Region: "region",
		InternalPorts:     settings.PortRange{First: internalPort, Last: internalPort + 15},
		Seeds:             m.cluster.seeds,
		Bootstrap:         m.bootstrap,
		CountsForQuorum:   m.disk != nil,
		HeartbeatInterval: 1200 * time.Millisecond,
		Limits:            settings.Limits{CPUShare: 0.7, Cores: 1, MemoryMB: 284, MaxFDs: 4100, LinkMbps: 1000, DiskMB: 64},
		FaultTolerance:    settings.FaultTolerance{Machines: m.cluster.options.Tolerated},
		Bounds:            bounds,
		Cloud:             settings.Cloud{Address: platformAddress, RatePerSecond: platformRate, Lag: platformLag},
	}
	if m.disk != nil {
		result.DataDir = "data"
	}
	if m.class == classFront {
		result.Serves = []string{settings.ServesFront, settings.ServesControl}
		result.ListenAddresses = settings.ListenAddresses{
			Front: m.address(frontPort), Ready: m.address(readyPort), Control: m.address(controlPort),
		}
	}
	return result
}

// bounds are the time limits and slacks that all processes of a cluster have in their settings.
var bounds = settings.Bounds{
	SeedLag: 3 * time.Second, ReuseAfter: 2 * time.Second, Contact: faultGrace, Acknowledge: 5 * time.Second,
	CatchUp: 4400 * time.Millisecond, Drain: drainBound, Grace: terminationGrace, LossSlack: 200 * time.Millisecond,
	ConfigurationLag: configurationBound, RevertSlack: revertSlack, MaxSkew: 12 * time.Second,
	Recovery: 12 * time.Second, Finish: finishTimeout, Status: 2 * time.Minute, Callback: 5 * time.Second,
	Visibility: 3 * time.Second, Early: earlySlack, RateLimitWindow: rateLimitWindow, RateLimitOvershoot: rateLimitOvershoot,
}
