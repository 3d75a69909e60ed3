package endpoint

// applyEvacuatedZones blocks the endpoints of evacuated availability zones, in old views too, and opens those of restored ones.
func (t *Table) applyEvacuatedZones(zones []string) {
	t.evacuatedZones = make(map[string]bool, len(zones))
	for _, z := range zones {
		t.evacuatedZones[z] = true
	}
	for _, e := range t.entries {
		e.evacuated = t.evacuatedZones[e.zone]
		t.updateGate(e)
	}
}
