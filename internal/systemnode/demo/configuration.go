package demo

import "gladepick/internal/standin"

// initialConfiguration returns a configuration with one route to one service.
func initialConfiguration() standin.Configuration {
	return standin.Configuration{
		Version: 1,
		Routes: []standin.Route{{
			Name: "echo", Host: RouteHost, PathPrefix: RoutePath, RouteType: "async", TimeoutMS: 1000,
			TargetLatencyMS: 100, TargetStartMS: 1000, Priority: 1, Service: service, MaxAttempts: 5, RetentionS: 60,
		}},
		Services: []standin.Service{{Name: service, HealthCheck: healthPath, MaxConnections: 64, Protocol: "h1"}},
		Limits: standin.Limits{
			MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000,
		},
	}
}
