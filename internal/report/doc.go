// Package report renders the logs of instances as a self-contained HTML page with charts and tables.
package report
