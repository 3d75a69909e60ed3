// Package gateway serves the HTTP API of callers: chat completions, calls to plain services, health checks and metrics.
package gateway
