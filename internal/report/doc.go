// Package report turns the logs of instances into one HTML page with charts, which needs nothing else to be shown.
package report
