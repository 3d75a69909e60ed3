package ingress

import (
	"fmt"
	"maps"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// registrationCodec decodes each record as a ready endpoint whose identifier is the key, and a record without a value as its
// removal.
type registrationCodec struct{ RecordCodec }

func (registrationCodec) DecodeRegistration(key string, value []byte) (routing.EndpointChange, error) {
	if len(value) == 0 {
		return routing.EndpointChange{ID: key}, nil
	}
	return routing.EndpointChange{ID: key, Endpoint: &routing.Endpoint{
		ID: key, Service: "pool", AvailabilityZone: "a", Version: string(value), Slots: 8, Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}}, nil
}

// TestManyRegistrations guards against a time for new registrations that grows with the square of their number. In a fleet of 3,000
// endpoints an instance with a seventh of a processor was busy with them for seconds, and applied configurations late.
func TestManyRegistrations(t *testing.T) {
	const number = 3000
	apply := func(isSnapshot bool) time.Duration {
		o := Options{Codec: registrationCodec{}, Logger: zap.NewNop(), Placement: placement.DefaultSettings("a")}
		c := newController(o, newBalancer(o), &atomic.Pointer[snapshot]{})
		u := changefeed.Update{Next: changefeed.Position{Offset: number}, IsSnapshot: isSnapshot}
		for i := range number {
			u.Records = append(u.Records, changefeed.Record{Key: fmt.Sprint("endpoint-", i), Value: []byte("v1"), Position: changefeed.Position{Offset: int64(i)}})
		}
		start := time.Now()
		c.applyRegistryRecords(start, topicUpdate{topicRegistry, u})
		d := time.Since(start)
		if n := len(c.balancer.services["pool"]); n != number {
			t.Fatalf("%d endpoints, want %d", n, number)
		}
		return d
	}
	best := func(isSnapshot bool) time.Duration {
		d := apply(isSnapshot)
		for range 4 {
			d = min(d, apply(isSnapshot))
		}
		return d
	}
	whole, changes := best(true), best(false)
	t.Logf("snapshot %v, changes %v", whole, changes)
	// A snapshot sets the endpoints once. Changes that each set all endpoints take hundreds of times as long.
	const limit = 8
	if changes > limit*whole {
		t.Errorf("%d changes took %v, a snapshot of as many %v", number, changes, whole)
	}
}

// TestRegistrationOrder guards against changes of the same endpoint that are lost or swapped when many are applied at once.
func TestRegistrationOrder(t *testing.T) {
	for name, c := range map[string]struct {
		changes []string // an endpoint and its version, or the endpoint alone if it is removed
		want    map[string]string
	}{
		"none":                {nil, nil},
		"removed":             {[]string{"a=v1", "b=v1", "a"}, map[string]string{"b": "v1"}},
		"back":                {[]string{"a=v1", "a", "a=v1"}, map[string]string{"a": "v1"}},
		"new version":         {[]string{"a=v1", "b=v1", "a=v2", "b=v2", "a", "a=v3"}, map[string]string{"a": "v3", "b": "v2"}},
		"removed at the end":  {[]string{"b=v1", "a=v1", "a=v2", "a"}, map[string]string{"b": "v1"}},
		"removed but unknown": {[]string{"a", "b=v1"}, map[string]string{"b": "v1"}},
	} {
		t.Run(name, func(t *testing.T) {
			o := Options{Codec: registrationCodec{}, Logger: zap.NewNop(), Placement: placement.DefaultSettings("a")}
			controller := newController(o, newBalancer(o), &atomic.Pointer[snapshot]{})
			u := changefeed.Update{}
			for i, s := range c.changes {
				id, version, _ := strings.Cut(s, "=")
				u.Records = append(u.Records, changefeed.Record{Key: id, Value: []byte(version), Position: changefeed.Position{Offset: int64(i)}})
			}
			controller.applyRegistryRecords(time.Now(), topicUpdate{topicRegistry, u})
			got := map[string]string{}
			for _, e := range controller.balancer.services["pool"] {
				got[e.ID] = e.Version
			}
			if !maps.Equal(got, c.want) {
				t.Errorf("endpoints %v, want %v", got, c.want)
			}
		})
	}
}
