package corrector_test

import (
	"math"
	"testing"

	"daisyhead/internal/workload/corrector"
)

// TestFactor guards against a correction that follows a few tasks or their long tail.
func TestFactor(t *testing.T) {
	for _, c := range []struct {
		name  string
		took  func(i int) int64
		steps int
		want  float64
	}{
		{"nothing is known", nil, 0, 1},
		{"too few steps", func(int) int64 { return 8000 }, 7, 1},
		{"estimates are right", func(int) int64 { return 1000 }, 64, 1},
		{"a heavy tail", func(i int) int64 { return []int64{1000, 1000, 7000}[i%3] }, 63, 1},
		{"all take twice as long", func(int) int64 { return 2000 }, 64, math.Pow(2, 64.0/72)},
		{"the load changes", func(i int) int64 { return []int64{8000, 1000}[i/100] }, 200, 1},
		{"implausible times", func(int) int64 { return 1e9 }, 64, 8},
	} {
		var learned corrector.Corrector
		for i := range c.steps {
			learned.Add("q", 1000, c.took(i))
		}
		if got := learned.Factor("q"); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: factor %g, want %g", c.name, got, c.want)
		}
	}
}
