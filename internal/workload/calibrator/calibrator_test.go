package calibrator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/calibrator"
)

func ExampleCalibrator() {
	var c calibrator.Calibrator
	for range 5 {
		c.Add([]calibrator.Sample{{"w1", 1000, 0}, {"w2", 1300, 0}, {"w3", 1010, 0}, {"w4", 990, 0}})
	}
	fmt.Println(c.Level("w2") > c.Level("w1"))
	fmt.Println(c.Level("another worker"))
	// Output:
	// true
	// 0
}

// TestEveryThirdWorkerIsSlow runs steps of 40 tasks, whose work differs by 15 %, on 120
// workers of which every third one takes 1.3 times as long. After a few steps the slow
// ones must be told from the others, and a step on slow workers only must not make them
// pass for fast ones.
func TestEveryThirdWorkerIsSlow(t *testing.T) {
	const workers = 120
	name := func(i int) string { return fmt.Sprintf("w%d", i) }
	rng := rand.New(rand.NewPCG(1, 1))
	took := func(i int, workMS float64) int64 {
		if i%3 == 0 {
			workMS *= 1.3
		}
		return int64(workMS * (1 + 0.15*rng.NormFloat64()))
	}
	var c calibrator.Calibrator
	for range 30 {
		workMS := 2000 + 8000*rng.Float64()
		var samples []calibrator.Sample
		for _, i := range rng.Perm(workers)[:40] {
			samples = append(samples, calibrator.Sample{Worker: name(i), TookMS: took(i, workMS)})
		}
		c.Add(samples)
	}
	for range 10 {
		var samples []calibrator.Sample
		for i := 0; i < workers; i += 3 {
			samples = append(samples, calibrator.Sample{Worker: name(i), TookMS: took(i, 5000)})
		}
		c.Add(samples)
	}
	wrong := 0
	for i := range workers {
		if slow := c.Level(name(i)) > 0; slow != (i%3 == 0) {
			wrong++
		}
	}
	if wrong > workers/20 {
		t.Errorf("%d of %d workers are told wrongly, want at most one in 20", wrong, workers)
	}
}

// TestOneOutlier lets one task take a hundred times as long as the others of its step.
// Its worker must not stay slow once its tasks take as long as all others.
func TestOneOutlier(t *testing.T) {
	var c calibrator.Calibrator
	samples := func(firstMS int64) []calibrator.Sample {
		return []calibrator.Sample{{"w1", firstMS, 0}, {"w2", 1000, 0}, {"w3", 1000, 0}, {"w4", 1000, 0}, {"w5", 1000, 0}}
	}
	c.Add(samples(100_000))
	for range 5 {
		c.Add(samples(1000))
	}
	got := map[string]int{"w1": c.Level("w1"), "w2": c.Level("w2")}
	if diff := cmp.Diff(map[string]int{"w1": 0, "w2": 0}, got); diff != "" {
		t.Errorf("levels (-want +got):\n%s", diff)
	}
}

// TestFewTasksSayNothing compares three tasks, too few for a level.
func TestFewTasksSayNothing(t *testing.T) {
	var c calibrator.Calibrator
	for range 50 {
		c.Add([]calibrator.Sample{{"w1", 1000, 0}, {"w2", 2000, 0}, {"w3", 1000, 0}})
	}
	if got := c.Level("w2"); got != 0 {
		t.Errorf("level %d, want 0", got)
	}
}

// TestForget drops a slow worker.
func TestForget(t *testing.T) {
	var c calibrator.Calibrator
	for range 10 {
		c.Add([]calibrator.Sample{{"w1", 1000, 0}, {"w2", 2000, 0}, {"w3", 1000, 0}, {"w4", 1000, 0}})
	}
	if c.Level("w2") <= 0 {
		t.Error("the slow worker is not told from the others")
	}
	c.Forget("w2")
	if got := c.Level("w2"); got != 0 {
		t.Errorf("level %d after Forget, want 0", got)
	}
}

// TestRestore passes levels on to another calibrator, which has to know them at once, keep
// what it knows itself, and still learn.
func TestRestore(t *testing.T) {
	levels := map[string]int{"w1": -3, "w2": -1, "w3": 1, "w4": 2, "w5": 3}
	var c calibrator.Calibrator
	c.Restore(levels)
	c.Restore(map[string]int{"w1": 3})
	if diff := cmp.Diff(levels, c.Levels()); diff != "" {
		t.Errorf("levels (-want +got):\n%s", diff)
	}
	for range 50 {
		c.Add([]calibrator.Sample{{"w5", 1000, 0}, {"w6", 1000, 0}, {"w7", 1000, 0}, {"w8", 1000, 0}})
	}
	if got := c.Level("w5") - c.Level("w6"); got > 1 {
		t.Errorf("a worker that is as fast as the others is still %d levels slower", got)
	}
}
