// Package placement chooses the endpoint that can start a request soonest, from token work, cached prompts and load.
package placement
