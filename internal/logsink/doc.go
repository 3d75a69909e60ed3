// Package logsink writes log lines without blocking the caller. Lines that exceed its buffer are dropped and counted.
package logsink
