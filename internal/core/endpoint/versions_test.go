package endpoint

import (
	"testing"
	"time"
)

// TestSameVersionsKeepView guards against a new view, which costs a pass over all endpoints, whenever a list or a report repeats the
// versions of an endpoint in another order than the table's.
func TestSameVersionsKeepView(t *testing.T) {
	instances := engineInstances(1, 1)
	instances[0].Versions = []string{"m@1", "m@0", "m@1"}
	table := newTestTable(instances)
	view := table.View()
	table.Apply(epoch.Add(time.Second), InstancesListed{instances})
	if table.View() != view {
		t.Error("a new view after the same list")
	}
	now := epoch.Add(2 * time.Second)
	table.Apply(now, RequestAnswered{Endpoint: table.Handle(instances[0].ID), Started: now, Report: Report{Time: now, Versions: instances[0].Versions}})
	if table.View() != view {
		t.Error("a new view after a report of the same versions")
	}
	if instances[0].Versions[0] != "m@1" {
		t.Error("the list was changed")
	}
}
