package suspect

import (
	"math"
	"time"
)

// deathRate estimates the probability that a request meets the death of its endpoint.
type deathRate struct {
	deaths, responses float64 // decayed counts
	updatedAt         time.Time
}

func (d *deathRate) add(now time.Time, death bool, halfLife time.Duration) {
	f := math.Exp2(-float64(now.Sub(d.updatedAt)) / float64(halfLife))
	d.deaths, d.responses, d.updatedAt = d.deaths*f, d.responses*f, now
	if death {
		d.deaths++
	} else {
		d.responses++
	}
}

// minDeathRate is the probability that is assumed at least; instances with few requests can't measure a low one.
const minDeathRate = 0.05

// value returns the probability, between minDeathRate and 1.
func (d *deathRate) value() float64 {
	return max(minDeathRate, d.deaths/max(1, d.deaths+d.responses))
}
