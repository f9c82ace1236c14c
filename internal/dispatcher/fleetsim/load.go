package fleetsim

// RatePoint is the rate of requests at one time of the day. Between two points the rate changes linearly.
type RatePoint struct {
	AtSeconds float64 `json:"at_s"`
	PerSecond float64 `json:"per_s"`
}

// ClassLoad is a class's share of the jobs and the distribution of their run time on a core of speed 1.
type ClassLoad struct {
	Name   string  `json:"name"`
	Share  float64 `json:"share"`
	WorkMs float64 `json:"work_ms"`
	CV     float64 `json:"cv"` // coefficient of variation: lognormal run times, or constant ones if 0
}

// TenantLoad is a tenant's share of the jobs.
type TenantLoad struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// Burst is a period in which a tenant sends Factor times its usual rate.
type Burst struct {
	Tenant          string  `json:"university"`
	Factor          float64 `json:"times"`
	StartSeconds    float64 `json:"at_s"`
	DurationSeconds float64 `json:"for_s"`
}

// Retries describes how clients retry a request that was rejected or failed.
type Retries struct {
	Max              int     `json:"most"`
	WaitMs           float64 `json:"wait_ms"`
	HonourRetryAfter bool    `json:"honours_retry_after"`
}

// Load describes what clients send on a day.
type Load struct {
	Seconds float64      `json:"seconds"`
	Factor  float64      `json:"times"` // multiplies all rates; 1 if 0
	Rate    []RatePoint  `json:"rate"`
	Classes []ClassLoad  `json:"classes"`
	Tenants []TenantLoad `json:"universities"`
	Bursts  []Burst      `json:"bursts"`
	Retries Retries      `json:"retries"`
}
