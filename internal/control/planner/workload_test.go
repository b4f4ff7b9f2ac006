package planner_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/entry/specifier"
)

// workload is what one simulation runs: a fleet, jobs and scheduled events.
type workload struct {
	fleet           specifier.Ticket
	jobs            []jobArrival
	events          []scheduledEvent
	badWorkers      map[string]bool // workers on which each attempt fails
	durationLimitMS int64
}

// jobArrival is a job, its time of submission and its actual run time.
type jobArrival struct {
	atMS          int64 // from the start of the workload
	actualRunMS   int64
	cancelAfterMS int64 // after the submission; 0 for never
	spec          specifier.Job
}

// scheduledEvent is a failure or change of the fleet at a time of the workload.
type scheduledEvent struct {
	atMS int64
	run  func(*simulator)
}

// site holds the sizes of one deployment.
type site struct {
	name                   string
	domains                int
	racks                  int // with accelerators, per domain
	workersPerRack         int
	cpuRacks               int // without accelerators, per domain
	cores                  int
	memoryMB               int
	workspaces             int
	jobs                   int
	maxGang                int
	meanRun                time.Duration
	guarantee              specifier.Guarantee
	guaranteesPerWorkspace int
}

// sites are the simulated deployments; "letter" has the required size.
var sites = []site{
	{"pescados", 4, 2, 6, 0, 128, 262144, 4, 420, 6, 60 * time.Minute, specifier.Guarantee{Name: "g", Tasks: 4, Accelerators: 8, Within: specifier.WithinRack, Count: 1}, 1},
	{"arrieta", 3, 2, 8, 0, 64, 131072, 4, 420, 8, 60 * time.Minute, specifier.Guarantee{Name: "g", Tasks: 6, Accelerators: 8, Within: specifier.WithinRack, Count: 1}, 1},
	{"letter", 8, 3, 8, 9, 64, 131072, 28, 650, 8, 150 * time.Minute, specifier.Guarantee{Name: "g", Tasks: 2, Accelerators: 8, Within: specifier.WithinRack, Count: 2}, 1},
}

// fleet returns the ticket that configures the site: racks with accelerators,
// CPU-only racks and the guarantees of the workspaces.
func (s site) fleet() specifier.Ticket {
	t := specifier.Ticket{Number: 1, Operator: "op"}
	n := 0
	for d := range s.domains {
		domain := fmt.Sprintf("d%d", d)
		t.Domains = append(t.Domains, specifier.Domain{Name: domain, Region: fmt.Sprintf("r%d", d%2), State: specifier.DomainIn})
		for r := range s.racks + s.cpuRacks {
			g := specifier.WorkerGroup{Name: fmt.Sprintf("%s-%d", domain, r), Domain: domain, Rack: fmt.Sprintf("%s-%d", domain, r)}
			for w := range s.workersPerRack {
				n++
				spec := specifier.Worker{
					Name: fmt.Sprintf("%s-%d-%d", domain, r, w), Address: fmt.Sprintf("10.%d.%d.%d:1", d, r, w+1), Processors: s.cores, MemoryMB: s.memoryMB, Accelerators: 8,
				}
				if r >= s.racks {
					spec.Accelerators = 0
				}
				g.Workers = append(g.Workers, spec)
			}
			t.WorkerGroups = append(t.WorkerGroups, g)
		}
	}
	for w := range s.workspaces {
		t.Workspaces = append(t.Workspaces, specifier.Workspace{Name: fmt.Sprintf("ws%d", w), Guarantees: []specifier.Guarantee{s.guarantee}})
	}
	return t
}

// generate makes a random workload from a seed: bursts of small and of large
// jobs, inaccurate declared run times, cancellations, workers on which each job
// fails, a failure domain that goes out of service and returns, and a rack that
// fails for a time.
func (s site) generate(seed uint64) workload {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := workload{fleet: s.fleet(), badWorkers: map[string]bool{}, durationLimitMS: (72 * time.Hour).Milliseconds()}
	day := (20 * time.Hour).Milliseconds()
	burst, burstAt, burstLarge := 0, int64(0), false
	for n := range s.jobs {
		if burst == 0 {
			burst, burstAt, burstLarge = 1+rng.IntN(30), rng.Int64N(day), rng.IntN(3) == 0
		}
		burst--
		w.jobs = append(w.jobs, s.generateJob(rng, n, burstAt+rng.Int64N(60*1000), burstLarge))
	}
	for range 2 {
		d, r, i := rng.IntN(s.domains), rng.IntN(s.racks), rng.IntN(s.workersPerRack)
		w.badWorkers[fmt.Sprintf("d%d-%d-%d", d, r, i)] = true
	}
	w.addOutages(s, rng)
	return w
}

// generateJob draws one job: a gang of whole workers if large, else mostly a
// single task.
func (s site) generateJob(rng *rand.Rand, n int, at int64, large bool) jobArrival {
	run := time.Duration(float64(s.meanRun) * math.Exp(rng.NormFloat64()*1.2-0.72))
	run = min(max(run, 20*time.Second), 10*time.Hour)
	j := specifier.Job{
		Key: fmt.Sprint(n), Name: fmt.Sprintf("job-%d", n), Workspace: fmt.Sprintf("ws%d", rng.IntN(s.workspaces)), Tasks: 1,
		Accelerators: []int{1, 1, 2, 4, 8}[rng.IntN(5)], Within: specifier.WithinRack,
		Checkpointable: rng.IntN(10) < 6, NonIdempotent: rng.IntN(10) == 0, Urgent: rng.IntN(12) == 0,
	}
	if large {
		j.Tasks, j.Accelerators = 2+rng.IntN(s.maxGang-1), 8
	}
	if rng.IntN(40) == 0 {
		j.Tasks, j.Accelerators, j.Within = s.maxGang, 8, specifier.WithinRack
	}
	if j.Urgent {
		run = min(run, 5*time.Minute)
		j.Tasks, j.Accelerators, j.NonIdempotent = 1, min(j.Accelerators, 4), false
	}
	j.Processors, j.MemoryMB = max(j.Accelerators*s.cores/8, 1), max(j.Accelerators*s.memoryMB/8, 1)
	j.RunTime = specifier.Duration(float64(run) * math.Exp(rng.NormFloat64()*0.8))
	if rng.IntN(200) == 0 {
		j.Tasks, j.Within = 64, specifier.WithinWorker
	}
	p := jobArrival{atMS: at, actualRunMS: run.Milliseconds(), spec: j.Normalize()}
	if rng.IntN(15) == 0 {
		p.cancelAfterMS = 1 + rng.Int64N(20*60*1000)
	}
	return p
}

// addOutages schedules a failure domain that goes out of service, fails after its
// stop deadline and returns, and later a rack that fails and returns.
func (w *workload) addOutages(s site, rng *rand.Rand) {
	domain := fmt.Sprintf("d%d", rng.IntN(s.domains))
	outAt := (4 * time.Hour).Milliseconds() + rng.Int64N((4 * time.Hour).Milliseconds())
	backAt := outAt + (3 * time.Hour).Milliseconds()
	stopAfter := 10 * time.Minute
	inDomain := func(n placer.Node) bool { return n.Domain == domain }
	w.events = append(w.events,
		scheduledEvent{outAt, func(sim *simulator) {
			sim.monitor.outSinceMS[domain] = sim.nowMS
			sim.setDomain(domain, 2, specifier.DomainOut, stopAfter)
		}},
		scheduledEvent{outAt + stopAfter.Milliseconds() + 60*1000, func(sim *simulator) { sim.failWorkers(inDomain) }},
		scheduledEvent{backAt, func(sim *simulator) {
			sim.restoreWorkers(inDomain)
			delete(sim.monitor.outSinceMS, domain)
			sim.setDomain(domain, 3, specifier.DomainIn, 0)
		}})
	rack := fmt.Sprintf("d%d-%d", rng.IntN(s.domains), rng.IntN(s.racks))
	failAt := backAt + (2 * time.Hour).Milliseconds()
	inRack := func(n placer.Node) bool { return n.Rack == rack }
	w.events = append(w.events,
		scheduledEvent{failAt, func(sim *simulator) { sim.failWorkers(inRack) }},
		scheduledEvent{failAt + (2 * time.Hour).Milliseconds(), func(sim *simulator) { sim.restoreWorkers(inRack) }})
}
