// Package ops is the HTTP server for operators: metrics, liveness, readiness and the daemon's status.
//
//	GET /metrics       Prometheus text format
//	GET /metrics.json  the same metrics as JSON, with percentiles
//	GET /healthz       200 while the process is running
//	GET /readyz        200 if the daemon is ready to receive packets, else 503 with the reason
//	GET /status        the daemon's status as JSON
//	GET /debug/pprof/  runtime profiles, if Config.EnablePprof is set
//
// Invariant: no request changes the daemon's state.
package ops
