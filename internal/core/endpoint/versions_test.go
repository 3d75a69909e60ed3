package endpoint

import (
	"slices"
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

// TestListedVersionAfterReport guards against an engine that gets no requests for a version for as long as its last report takes
// precedence, although it has loaded the version since and the list says so.
func TestListedVersionAfterReport(t *testing.T) {
	instances := engineInstances(1, 1)
	instances[0].Versions = []string{"m@0"}
	table := newTestTable(instances)
	handle := table.Handle(instances[0].ID)
	tickUntilProbe := func(now time.Time) (time.Time, bool) {
		for end := now.Add(time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
			if len(table.Apply(now, Tick{})) > 0 {
				return now, true
			}
		}
		return now, false
	}
	now := epoch.Add(time.Second)
	table.Apply(now, RequestAnswered{Endpoint: handle, Started: now, Report: Report{Time: now, Versions: []string{"m@0"}}})
	now = now.Add(time.Second)
	table.Apply(now, InstancesListed{instances})
	if _, ok := tickUntilProbe(now); ok {
		t.Fatal("a probe although the list has not changed")
	}
	now = now.Add(time.Second)
	instances = slices.Clone(instances)
	instances[0].Versions = []string{"m@1", "m@0"}
	table.Apply(now, InstancesListed{instances})
	if n := table.View().VersionSize("m@1"); n != 0 {
		t.Fatal("the list, which may be out of date, took precedence")
	}
	for range 2 { // the first probe fails
		var ok bool
		if now, ok = tickUntilProbe(now); !ok {
			t.Fatal("no probe after the list changed")
		}
		table.Apply(now, ProbeFinished{Endpoint: handle})
		now = now.Add(table.settings.ProbeInterval)
	}
	if _, ok := tickUntilProbe(now); !ok {
		t.Fatal("no probe after the second one failed")
	}
	// A report from before the change, which arrives late, doesn't settle it.
	late := epoch.Add(2 * time.Second)
	table.Apply(now, RequestAnswered{Endpoint: handle, Started: late, Report: Report{Time: late, Versions: []string{"m@0"}}})
	if n := table.View().VersionSize("m@1"); n != 0 {
		t.Fatal("the list took precedence")
	}
	table.Apply(now, ProbeFinished{Endpoint: handle, OK: true, Report: Report{Time: now, Versions: []string{"m@0", "m@1"}}})
	if n := table.View().VersionSize("m@1"); n != 1 {
		t.Error("the version that the probe reports gets no requests")
	}
	now = now.Add(table.settings.ProbeInterval)
	if _, ok := tickUntilProbe(now); ok {
		t.Error("a further probe after the engine has reported")
	}
	now = now.Add(time.Second)
	table.Apply(now, RequestAnswered{Endpoint: handle, Started: now, Report: Report{Time: now, Versions: []string{"m@1"}}})
	now = now.Add(time.Second)
	instances = slices.Clone(instances)
	instances[0].Versions = []string{"m@1"}
	table.Apply(now, InstancesListed{instances})
	if _, ok := tickUntilProbe(now); ok {
		t.Error("a probe although the list has only come to what the engine had reported")
	}
}
