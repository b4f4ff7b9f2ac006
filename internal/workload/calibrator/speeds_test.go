package calibrator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/calibrator"
)

// fleet simulates workers of known factors.
type fleet struct {
	rng     *rand.Rand
	factors []float64
}

func newFleet(workers int, factors ...float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(7, 7))}
	for i := range workers {
		f.factors = append(f.factors, factors[i%len(factors)])
	}
	return f
}

func (f *fleet) name(i int) string { return fmt.Sprintf("w%d", i) }

// gang returns the samples of a gang on the given workers with the noise.
func (f *fleet) gang(noise float64, workers ...int) (samples []calibrator.Sample) {
	workMS := 1000 + 5000*f.rng.Float64()
	for _, i := range workers {
		samples = append(samples, calibrator.Sample{Worker: f.name(i), TookMS: int64(workMS * f.factors[i] * math.Exp(noise*f.rng.NormFloat64())), Noise: noise})
	}
	return samples
}

// tasks returns the samples of a step of single tasks, of which 3 % take 7 times as long.
func (f *fleet) tasks(noise float64, workers ...int) (samples []calibrator.Sample) {
	for _, i := range workers {
		workMS := 4000 * math.Exp(noise*f.rng.NormFloat64())
		if f.rng.Float64() < 0.03 {
			workMS *= 7
		}
		samples = append(samples, calibrator.Sample{Worker: f.name(i), TookMS: int64(workMS * f.factors[i])})
	}
	return samples
}

// confused counts the workers of which the level is further than that from their factor.
func (f *fleet) confused(c *calibrator.Calibrator, levels float64) (wrong int) {
	mean := 0.0
	for _, factor := range f.factors {
		mean += math.Log(factor) / float64(len(f.factors))
	}
	for i, factor := range f.factors {
		if want := (math.Log(factor) - mean) / calibrator.LevelWidth; math.Abs(float64(c.Level(f.name(i)))-want) > levels {
			wrong++
		}
	}
	return wrong
}

// TestGangsTellSpeedsQuickly runs small gangs on 350 workers of factors 0.6, 1.0 and 1.6,
// four for each worker on average. Nearly all workers must then be told from those of the
// next factor, which are four levels away: with a noise that was taken from the step, half
// of them took a day.
func TestGangsTellSpeedsQuickly(t *testing.T) {
	f := newFleet(350, 1, 0.6, 1.6, 1, 1)
	var c calibrator.Calibrator
	for range 350 {
		c.AddGang(f.gang(0.05, f.rng.Perm(350)[:4]...))
	}
	if wrong := f.confused(&c, 2); wrong > 18 {
		t.Errorf("%d of 350 workers are off by more than two levels, want at most one in 20", wrong)
	}
}

// TestGangOfTwo tells the slower one of two workers by a few runs.
func TestGangOfTwo(t *testing.T) {
	f := newFleet(2, 1, 1.6)
	var c calibrator.Calibrator
	for range 3 {
		c.AddGang(f.gang(0.04, 0, 1))
	}
	if got := c.Level("w1") - c.Level("w0"); got < 3 {
		t.Errorf("the slow worker is %d levels above the other, want at least 3", got)
	}
}

// TestEqualWorkersStayEqual runs gangs and single tasks with noise, heavy tails and a few
// faults on equal workers. A level or a caution other than 0 would change the placement.
func TestEqualWorkersStayEqual(t *testing.T) {
	f := newFleet(100, 1)
	var c calibrator.Calibrator
	for step := range 600 {
		gang := f.gang(0.05, f.rng.Perm(100)[:2+step%6]...)
		if step%20 == 0 {
			gang[0].TookMS *= 4 + 8*int64(step%40/20)
		}
		c.AddGang(gang)
		c.Add(f.tasks(0.3, f.rng.Perm(100)[:4+step%30]...))
		got := map[string]int{}
		for i := range f.factors {
			if level, cautious := c.Level(f.name(i)), c.CautiousLevel(f.name(i)); level != 0 || cautious != 0 {
				got[f.name(i)] = level
			}
		}
		if diff := cmp.Diff(map[string]int{}, got); diff != "" {
			t.Fatalf("distinguished workers after %d steps (-want +got):\n%s", step+1, diff)
		}
	}
	if got := c.Levels(); len(got) > 0 {
		t.Errorf("levels of equal workers would be recorded: %v", got)
	}
}

// TestHeavyTailsDistinguishNobody runs single tasks with heavy tails on workers of three
// speeds. Workers with a few long tasks must not pass for slow ones.
func TestHeavyTailsDistinguishNobody(t *testing.T) {
	f := newFleet(60, 0.6, 1, 1.6)
	var c calibrator.Calibrator
	for range 40 {
		c.Add(f.tasks(0.25, f.rng.Perm(60)[:30]...))
	}
	if wrong := f.confused(&c, 2); wrong > 3 {
		t.Errorf("%d of 60 workers are off by more than two levels, want at most 3", wrong)
	}
}

// TestChangeOfSpeedIsFollowed makes an ordinary worker slow and lets it recover. Old
// evidence must not outweigh a few samples.
func TestChangeOfSpeedIsFollowed(t *testing.T) {
	f := newFleet(40, 1, 1, 1.3)
	var c calibrator.Calibrator
	for range 200 {
		c.AddGang(f.gang(0.04, f.rng.Perm(40)[:4]...))
	}
	for _, factor := range []float64{1.6, 1} {
		f.factors[0] = factor
		for range 4 {
			c.AddGang(f.gang(0.04, 0, 1, 3, 4))
		}
		if wrong := f.confused(&c, 1); wrong > 0 {
			t.Errorf("%d workers are off by more than one level after four gangs with factor %.1f", wrong, factor)
		}
	}
}

// TestUnknownWorkersAreARisk ranks a worker without samples between ordinary and slow ones
// on a fleet of different speeds, and restores the known ordinary ones as known.
func TestUnknownWorkersAreARisk(t *testing.T) {
	f := newFleet(30, 0.6, 1, 1.6)
	var c calibrator.Calibrator
	for range 60 {
		c.AddGang(f.gang(0.04, f.rng.Perm(30)[:4]...))
	}
	var successor calibrator.Calibrator
	successor.Restore(c.Levels())
	for name, c := range map[string]*calibrator.Calibrator{"the holder": &c, "its successor": &successor} {
		ordinary, unknown, slow := c.CautiousLevel("w1"), c.CautiousLevel("new"), c.CautiousLevel("w2")
		if ordinary >= unknown || unknown >= slow {
			t.Errorf("%s: levels of an ordinary, an unknown and a slow worker are %d, %d, %d, want them to rise", name, ordinary, unknown, slow)
		}
	}
}

// TestTasksOfOneWorkerSayNothing runs gangs with two tasks on each of two slow workers. The
// tasks of one worker agree with each other, which must not pass for evidence that the worker
// is an ordinary one.
func TestTasksOfOneWorkerSayNothing(t *testing.T) {
	f := newFleet(20, 1.6, 1.6, 1, 1, 0.6)
	var c calibrator.Calibrator
	for range 40 {
		c.AddGang(f.gang(0.04, f.rng.Perm(20)[:4]...))
	}
	var fresh calibrator.Calibrator
	fresh.AddGang(f.gang(0.04, 0, 0, 0, 0))
	fresh.AddGang(f.gang(0.04, 0, 0, 1, 1))
	if fresh.Known("w0") || fresh.Known("w1") {
		t.Error("workers that were compared only with each other count as known")
	}
	c.Forget("w0")
	c.AddGang(f.gang(0.04, 0, 0, 2, 2))
	if got := c.Level("w0") - c.Level("w2"); got < 2 {
		t.Errorf("a slow worker is %d levels above a known ordinary one, want at least 2", got)
	}
}
