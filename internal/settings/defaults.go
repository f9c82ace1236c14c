package settings

import "time"

// Values of keys that are absent or empty.
const (
	defaultHeartbeatInterval  = time.Second
	defaultCPUShare           = 0.2 // of a core
	defaultCores              = 1
	defaultMemoryMB           = 184
	defaultMaxFDs             = 1024
	defaultLinkMbps           = 100
	defaultCloudRatePerSecond = 1
	defaultCloudLag           = time.Second
)

// Values of keys of the table bounds that are absent or empty.
const (
	defaultSeedLag            = 3 * time.Second
	defaultReuseAfter         = 2 * time.Second
	defaultContact            = 4 * time.Second
	defaultAcknowledge        = 5 * time.Second
	defaultCatchUp            = 5 * time.Second
	defaultDrain              = 3 * time.Second
	defaultGrace              = 5 * time.Second
	defaultLossSlack          = 200 * time.Millisecond
	defaultConfigurationLag   = 3 * time.Second
	defaultRevertSlack        = 250 * time.Millisecond
	defaultMaxSkew            = 12 * time.Second
	defaultRecovery           = 12 * time.Second
	defaultFinish             = 10 * time.Second
	defaultStatus             = 2 * time.Minute
	defaultCallback           = 5 * time.Second
	defaultVisibility         = 3 * time.Second
	defaultEarly              = 0
	defaultRateLimitWindow    = time.Second
	defaultRateLimitOvershoot = 1
)
