package measure

import (
	"context"
	"os"
	"testing"
)

// BenchmarkCapacity prints the tables of docs/CAPACITY.md.
func BenchmarkCapacity(b *testing.B) {
	fleets := map[string]func(o *CapacityOptions){
		"demand": func(*CapacityOptions) {},
		"budget": func(o *CapacityOptions) { o.ControlBudget, o.Sizes = targetControlBytesPerSecond, []int{9, 27, 81} },
	}
	for name, change := range fleets {
		b.Run(name, func(b *testing.B) {
			o := DefaultCapacityOptions()
			change(&o)
			for range b.N {
				ts, err := Capacity(context.Background(), o)
				printTables(b, ts, err)
			}
		})
	}
	b.Run("rebuild", func(b *testing.B) {
		for range b.N {
			t, err := ClaimsRebuild(context.Background(), DefaultRebuildOptions())
			printTables(b, []Table{t}, err)
		}
	})
}

func printTables(b *testing.B, ts []Table, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
	for _, t := range ts {
		if err := t.Print(os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}
