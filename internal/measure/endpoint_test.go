package measure

import (
	"reflect"
	"testing"
)

// TestEndpointIsDeterministic guards the promise that equal seeds give equal tables.
func TestEndpointIsDeterministic(t *testing.T) {
	a, err := Endpoint(1)
	if err != nil {
		t.Fatal(err)
	}
	b, err := Endpoint(1)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs with one seed differ")
	}
}
