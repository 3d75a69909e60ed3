// Package membership keeps the table of peers, chooses whom to probe and judges whether the configuration is fresh.
package membership
