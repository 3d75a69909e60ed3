// Package placement chooses the endpoint with the lowest estimated cost for a request, mainly the time to the first byte.
// The estimates use the length of the prompt, the prompts cached at each endpoint, and the load.
package placement
