package settings

// decodeSettings decodes the whole file. It reports findings in the order in which it reads the keys.
func decodeSettings(top section) *Settings {
	settings := &Settings{
		Node:              top.text("node"),
		Role:              top.text("role"),
		Class:             top.text("class"),
		Serves:            top.textList("serves"),
		IP:                top.text("ip"),
		Zone:              top.text("zone"),
		Region:            top.text("region"),
		InternalPorts:     decodePorts(top, "internal-ports"),
		Seeds:             top.textList("seeds"),
		Bootstrap:         top.boolean("bootstrap"),
		CountsForQuorum:   top.boolean("counts-for-quorum"),
		DataDir:           top.text("data-dir"),
		Discovery:         top.text("discovery"),
		Entry:             top.text("entry"),
		HeartbeatInterval: top.milliseconds("heartbeat-ms", defaultHeartbeatInterval),
		Contracts:         top.textList("contracts"),
		Zones:             top.textTable("zones"),
		ListenAddresses:   decodeListenAddresses(top.table("listen-addrs")),
		Limits:            decodeLimits(top.table("limits")),
		FaultTolerance:    decodeFaultTolerance(top.table("fault-tolerance")),
		Bounds:            decodeBounds(top.table("bounds")),
		Cloud:             decodeCloud(top.table("cloud")),
	}
	if settings.Region == "" {
		settings.Region = settings.Zones[settings.Zone]
	}
	return settings
}

// decodePorts decodes a range of ports from a list of two numbers. A list of another length yields an empty range,
// which Settings.check reports.
func decodePorts(from section, key string) PortRange {
	ports := from.integerList(key)
	if len(ports) != 2 {
		return PortRange{}
	}
	return PortRange{First: ports[0], Last: ports[1]}
}

// decodeListenAddresses decodes the addresses that the process listens on.
func decodeListenAddresses(from section) ListenAddresses {
	return ListenAddresses{
		Front:   from.text("front"),
		Ready:   from.text("ready"),
		Control: from.text("control"),
	}
}

// decodeLimits decodes the resources of the process.
func decodeLimits(from section) Limits {
	return Limits{
		CPUShare: from.number("cpu-share", defaultCPUShare),
		Cores:    from.integer("cores", defaultCores),
		MemoryMB: from.integer("memory-mb", defaultMemoryMB),
		MaxFDs:   from.integer("max-fds", defaultMaxFDs),
		LinkMbps: from.number("link-mbps", defaultLinkMbps),
		DiskMB:   from.integer("disk-mb", 0),
	}
}

// decodeFaultTolerance decodes how many machines, zones and regions may fail at once.
func decodeFaultTolerance(from section) FaultTolerance {
	return FaultTolerance{
		Machines: from.integer("machines", 0),
		Zones:    from.integer("zones", 0),
		Regions:  from.integer("regions", 0),
	}
}

// decodeBounds decodes the bounds that the contracts set.
func decodeBounds(from section) Bounds {
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
		RateLimitWindow:    from.seconds("ceiling-window-s", defaultRateLimitWindow),
		RateLimitOvershoot: from.number("ceiling-overshoot", defaultRateLimitOvershoot),
	}
}

// decodeCloud decodes how to reach the platform's list of workers.
func decodeCloud(from section) Cloud {
	return Cloud{
		Address:       from.text("address"),
		RatePerSecond: from.number("rate-per-s", defaultCloudRatePerSecond),
		Duties:        from.textList("duties"),
		Lag:           from.milliseconds("lag-ms", defaultCloudLag),
	}
}
