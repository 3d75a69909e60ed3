// Package cascade estimates the quality, cost and latency of versions from observed answers and plans which versions
// answer a request. A plan may be a cascade: cheaper versions answer first, and an answer that is rated too low is
// discarded and requested from the next version.
package cascade
