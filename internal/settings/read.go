package settings

import "time"

// maxPort is the highest port.
const maxPort = 65535

// Values of fields that are absent or empty.
const (
	defaultHeartbeat        = time.Second
	defaultCPUShare         = 0.2
	defaultCores            = 1
	defaultMemoryMB         = 184
	defaultMaxFDs           = 1024
	defaultLinkMbps         = 100
	defaultCloudRate        = 1
	defaultCloudLag         = time.Second
	defaultCeilingOvershoot = 1
)

// Bounds that are absent or empty.
const (
	defaultSeedLag          = 3 * time.Second
	defaultReuseAfter       = 2 * time.Second
	defaultContact          = 4 * time.Second
	defaultAcknowledge      = 5 * time.Second
	defaultCatchUp          = 5 * time.Second
	defaultDrain            = 3 * time.Second
	defaultGrace            = 5 * time.Second
	defaultLossSlack        = 200 * time.Millisecond
	defaultConfigurationLag = 3 * time.Second
	defaultRevertSlack      = 250 * time.Millisecond
	defaultMaxSkew          = 12 * time.Second
	defaultRecovery         = 12 * time.Second
	defaultFinish           = 10 * time.Second
	defaultStatus           = 2 * time.Minute
	defaultCallback         = 5 * time.Second
	defaultVisibility       = 3 * time.Second
	defaultEarly            = 0
	defaultCeilingWindow    = time.Second
)

// readSettings converts the whole file.
func readSettings(top section) *Settings {
	settings := &Settings{
		Node:              top.text("node"),
		Role:              top.text("role"),
		Class:             top.text("class"),
		Serves:            top.texts("serves"),
		IP:                top.text("ip"),
		Zone:              top.text("zone"),
		Region:            top.text("region"),
		InternalPorts:     readPorts(top, "internal-ports"),
		Seeds:             top.texts("seeds"),
		Bootstrap:         top.truth("bootstrap"),
		CountsForQuorum:   top.truth("counts-for-quorum"),
		DataDir:           top.text("data-dir"),
		Discovery:         top.text("discovery"),
		Entry:             top.text("entry"),
		HeartbeatInterval: top.milliseconds("heartbeat-ms", defaultHeartbeat),
		Contracts:         top.texts("contracts"),
		Zones:             top.textTable("zones"),
		ListenAddresses:   readListenAddresses(top.table("listen-addrs")),
		Limits:            readLimits(top.table("limits")),
		FaultTolerance:    readFaultTolerance(top.table("fault-tolerance")),
		Bounds:            readBounds(top.table("bounds")),
		Cloud:             readCloud(top.table("cloud")),
	}
	if settings.Region == "" {
		settings.Region = settings.Zones[settings.Zone]
	}
	return settings
}

// readPorts reads a range of ports.
func readPorts(from section, key string) PortRange {
	ports := from.integers(key)
	if len(ports) != 2 {
		return PortRange{}
	}
	return PortRange{First: ports[0], Last: ports[1]}
}

// readListenAddresses reads where the process listens.
func readListenAddresses(from section) ListenAddresses {
	return ListenAddresses{
		Front:   from.text("front"),
		Ready:   from.text("ready"),
		Control: from.text("control"),
	}
}

// readLimits reads the resources of the process.
func readLimits(from section) Limits {
	return Limits{
		CPUShare: from.figure("cpu-share", defaultCPUShare),
		Cores:    from.integer("cores", defaultCores),
		MemoryMB: from.integer("memory-mb", defaultMemoryMB),
		MaxFDs:   from.integer("max-fds", defaultMaxFDs),
		LinkMbps: from.figure("link-mbps", defaultLinkMbps),
		DiskMB:   from.integer("disk-mb", 0),
	}
}

// readFaultTolerance reads how much may be lost at once.
func readFaultTolerance(from section) FaultTolerance {
	return FaultTolerance{
		Machines: from.integer("machines", 0),
		Zones:    from.integer("zones", 0),
		Regions:  from.integer("regions", 0),
	}
}

// readBounds reads the figures of the rules.
func readBounds(from section) Bounds {
	return Bounds{
		SeedLag:            from.seconds("seed-lag-s", defaultSeedLag),
		ReuseAfter:         from.seconds("reuse-after-s", defaultReuseAfter),
		Contact:            from.milliseconds("contact-ms", defaultContact),
		Acknowledge:        from.milliseconds("ack-ms", defaultAcknowledge),
		CatchUp:            from.seconds("catch-up-s", defaultCatchUp),
		Drain:              from.milliseconds("drain-ms", defaultDrain),
		Grace:              from.seconds("grace-s", defaultGrace),
		LossSlack:          from.milliseconds("loss-slack-ms", defaultLossSlack),
		ConfigurationLag:   from.milliseconds("config-apply-ms", defaultConfigurationLag),
		RevertSlack:        from.milliseconds("revert-slack-ms", defaultRevertSlack),
		MaxSkew:            from.milliseconds("max-skew-ms", defaultMaxSkew),
		Recovery:           from.seconds("recovery-s", defaultRecovery),
		Finish:             from.seconds("finish-s", defaultFinish),
		Status:             from.seconds("status-s", defaultStatus),
		Callback:           from.seconds("callback-s", defaultCallback),
		Visibility:         from.milliseconds("visibility-ms", defaultVisibility),
		Early:              from.milliseconds("early-ms", defaultEarly),
		RateLimitWindow:    from.seconds("ceiling-window-s", defaultCeilingWindow),
		RateLimitOvershoot: from.figure("ceiling-overshoot", defaultCeilingOvershoot),
	}
}

// readCloud reads how to reach the platform's list of workers.
func readCloud(from section) Cloud {
	return Cloud{
		Address:       from.text("address"),
		RatePerSecond: from.figure("rate-per-s", defaultCloudRate),
		Duties:        from.texts("duties"),
		Lag:           from.milliseconds("lag-ms", defaultCloudLag),
	}
}
