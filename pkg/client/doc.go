// Package client provides clients for the callers' API and the operators' API, and the request and reply types of both.
package client
