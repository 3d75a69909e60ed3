package config

import (
	"maps"
	"slices"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Zone is an availability zone that operators have evacuated or restored.
type Zone struct {
	Revised
	Evacuated bool   `json:"evacuated"` // its endpoints get no new requests
	Reason    string `json:"reason,omitempty"`
}

// EvacuatedZones returns the names of the evacuated availability zones in order.
func (c *Catalog) EvacuatedZones() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(c.Zones)) {
		if c.Zones[name].Evacuated {
			out = append(out, name)
		}
	}
	return out
}

// changeZone validates a change of an availability zone and applies it. The zone may be unknown to all instances; its endpoints may
// be added later.
func (c *Catalog) changeZone(ch record.Change) error {
	op, evacuate := string(ch.Kind), ch.Kind == record.ZoneEvacuate
	switch {
	case ch.Name == "":
		return newError(op, ErrInvalid, "no availability zone given")
	case c.Zones[ch.Name].Evacuated == evacuate && evacuate:
		return newError(op, ErrWrongState, "availability zone %s is evacuated", ch.Name)
	case c.Zones[ch.Name].Evacuated == evacuate:
		return newError(op, ErrWrongState, "availability zone %s is not evacuated", ch.Name)
	}
	c.Zones = maps.Clone(c.Zones)
	c.Zones[ch.Name] = Zone{Revised: Revised{c.LastRevision()}, Evacuated: evacuate, Reason: ch.Reason}
	return nil
}
