// Package logsink writes log lines without ever blocking the caller: lines that the output cannot take are dropped and counted.
package logsink
