// Package escalation decides whether the answer of a smaller model is kept or a larger model is asked.
package escalation
