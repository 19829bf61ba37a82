// Package ops serves operators over HTTP: metrics, liveness, readiness and the daemon's status.
//
//	GET /metrics       Prometheus text format
//	GET /metrics.json  the same with percentiles, as JSON
//	GET /healthz       200 while the process runs
//	GET /readyz        200 when the daemon may take packets, else 503 with the reason
//	GET /status        the daemon's status as JSON
//	GET /debug/pprof/  profiles, where the settings allow them
//
// Invariant: no request changes the daemon's state.
package ops
