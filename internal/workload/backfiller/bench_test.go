package backfiller_test

import (
	"fmt"
	"testing"

	"daisyhead/internal/workload/packer"
)

// BenchmarkChoose measures the choice for a wide gang in a large fleet that is full of small
// tasks.
func BenchmarkChoose(b *testing.B) {
	for _, sameRack := range []bool{false, true} {
		b.Run(fmt.Sprintf("same rack %t", sameRack), func(b *testing.B) {
			var f fixture
			for i := range 1100 {
				var ends []int64
				for k := range 8 {
					ends = append(ends, int64(100+(i*7919+k*104729)%20000))
				}
				f.add(fmt.Sprint(i/20), ends...)
			}
			r := packer.Request{Count: 20, Need: bulk, SameRack: sameRack}
			for b.Loop() {
				if _, ok := f.choose(r); !ok {
					b.Fatal("no choice")
				}
			}
		})
	}
}
