// Package gateway serves the callers' API: chat completions, calls to plain services, health and metrics.
package gateway
