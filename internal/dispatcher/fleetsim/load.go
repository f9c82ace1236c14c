package fleetsim

// RatePoint is the rate of requests at a moment. Between two points the rate changes linearly.
type RatePoint struct {
	AtSeconds float64 `json:"at_s"`
	PerSecond float64 `json:"per_s"`
}

// ClassLoad is a class's share of the jobs and their running time on a core of speed 1.
type ClassLoad struct {
	Name   string  `json:"name"`
	Share  float64 `json:"share"`
	WorkMs float64 `json:"work_ms"`
	CV     float64 `json:"cv"` // standard deviation over mean; lognormal, constant at 0
}

// TenantLoad is a tenant's share of the jobs.
type TenantLoad struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// Burst is a tenant that sends more for a while: Factor times its usual rate.
type Burst struct {
	Tenant          string  `json:"university"`
	Factor          float64 `json:"times"`
	StartSeconds    float64 `json:"at_s"`
	DurationSeconds float64 `json:"for_s"`
}

// Retries is what clients do by themselves after a rejection or a failure.
type Retries struct {
	Max              int     `json:"most"`
	WaitMs           float64 `json:"wait_ms"`
	HonourRetryAfter bool    `json:"honours_retry_after"`
}

// Load describes what clients send on a day.
type Load struct {
	Seconds float64      `json:"seconds"`
	Factor  float64      `json:"times"` // all rates
	Rate    []RatePoint  `json:"rate"`
	Classes []ClassLoad  `json:"classes"`
	Tenants []TenantLoad `json:"universities"`
	Bursts  []Burst      `json:"bursts"`
	Retries Retries      `json:"retries"`
}
