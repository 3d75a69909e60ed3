// Package escalation decides whether to keep the answer of a smaller model or to send the request to the largest model.
package escalation
