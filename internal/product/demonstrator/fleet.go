package demonstrator

import (
	"net/http"
	"slices"
	"time"

	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/standin/answerer"
	"daisyhead/internal/standin/observer"
	"daisyhead/internal/standin/taskrunner"
)

// fleet holds the stand-ins for workers and minions.
type fleet struct {
	// ticket is the site's ticket that adds the workers and minions, with the
	// addresses of the stand-ins.
	ticket  specifier.Ticket
	workers []fleetWorker
	minions []*answerer.Answerer
	servers []*http.Server
	// domainOfWorker maps the names of workers to their failure domains.
	domainOfWorker map[string]string
	outages        []observer.Outage
}

// fleetWorker is the stand-in for one worker.
type fleetWorker struct {
	name   string
	runner *taskrunner.Runner
}

// startFleet starts a stand-in for each worker and minion of the ticket and puts
// its address into the ticket.
func startFleet(t specifier.Ticket) (f *fleet, err error) {
	f = &fleet{ticket: t, domainOfWorker: map[string]string{}}
	for g := range t.WorkerGroups {
		group := &t.WorkerGroups[g]
		for w := range group.Workers {
			if err := f.startWorker(group.Domain, &group.Workers[w]); err != nil {
				return nil, err
			}
		}
	}
	for g := range t.MinionGroups {
		for m := range t.MinionGroups[g].Minions {
			if err := f.startMinion(&t.MinionGroups[g].Minions[m]); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

// startWorker starts a stand-in for a worker and stores its address in w.
func (f *fleet) startWorker(domain string, w *specifier.Worker) (err error) {
	r := taskrunner.New(taskrunner.Config{
		Name: w.Name, Processors: w.Processors, MemoryMB: w.MemoryMB, Accelerators: w.Accelerators,
		CheckpointTime: 200 * time.Millisecond, UsageLag: 5 * time.Second,
	})
	server, address, err := serveLoopback(r, nil)
	if err != nil {
		return err
	}
	w.Address = address
	f.servers = append(f.servers, server)
	f.workers = append(f.workers, fleetWorker{w.Name, r})
	f.domainOfWorker[w.Name] = domain
	return nil
}

// startMinion starts a stand-in for a minion and stores its address in m.
func (f *fleet) startMinion(m *specifier.Minion) (err error) {
	a := answerer.New(answerer.Config{Name: m.Name, Slots: m.Slots, Connections: m.Connections})
	server, address, err := serveLoopback(a, a.ConnState)
	if err != nil {
		return err
	}
	m.Address = address
	f.servers = append(f.servers, server)
	f.minions = append(f.minions, a)
	return nil
}

func (f *fleet) stop() {
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// recordDomainOut records when a failure domain was taken out of service.
func (f *fleet) recordDomainOut(name string, at time.Time) {
	f.outages = append(f.outages, observer.Outage{Domain: name, From: at})
}

// recordDomainBack records when a failure domain was put back into service.
func (f *fleet) recordDomainBack(name string, at time.Time) {
	for i := range f.outages {
		if f.outages[i].Domain == name && f.outages[i].To.IsZero() {
			f.outages[i].To = at
		}
	}
}

// events returns the events that all workers have recorded, in time order.
func (f *fleet) events() []observer.Event {
	var all []observer.Event
	for _, w := range f.workers {
		all = append(all, w.runner.Events()...)
	}
	slices.SortStableFunc(all, func(a, b observer.Event) int { return a.At.Compare(b.At) })
	return all
}

// executionsByKey returns how often the minions executed each idempotency key.
func (f *fleet) executionsByKey() map[string]int {
	total := map[string]int{}
	for _, m := range f.minions {
		for key, n := range m.Counts().Executions {
			total[key] += n
		}
	}
	return total
}

// countLimitsExceeded counts the requests and connections that exceeded the limits
// of their minion.
func (f *fleet) countLimitsExceeded() int {
	n := 0
	for _, m := range f.minions {
		c := m.Counts()
		n += c.SlotsExceeded + c.ConnectionsExceeded
	}
	return n
}
