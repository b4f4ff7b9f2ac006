// Package specifier defines and validates what callers and operators submit: jobs
// and numbered change tickets.
//
// A ticket contains the complete new specification of each object that it changes:
//
//	t := specifier.Ticket{
//		Number:   7,
//		Operator: "ines",
//		Domains:  []specifier.Domain{{Name: "itajai-1", Region: "sc", State: specifier.DomainOut}},
//	}
//	err := t.Validate()
package specifier

import (
	"fmt"
	"net"

	"github.com/cockroachdb/errors"
)

// DomainState tells whether a failure domain accepts new work.
type DomainState string

// The states of a failure domain.
const (
	DomainIn  DomainState = "In"  // in service: accepts new work
	DomainOut DomainState = "Out" // out of service: accepts no new work
)

// Ticket is a numbered configuration change by an operator. It replaces the objects
// that it names and leaves all others unchanged.
type Ticket struct {
	Number       uint64
	Operator     string
	Comment      string
	Workspaces   []Workspace
	Domains      []Domain
	WorkerGroups []WorkerGroup
	MinionGroups []MinionGroup
}

// Workspace is a customer with guarantees and a quota.
type Workspace struct {
	Name       string
	Guarantees []Guarantee
	// QuotaAccelerators is the maximum number of accelerators that the workspace may
	// use at the same time; 0 means no limit.
	QuotaAccelerators int
	// Retired workspaces accept no new jobs and have no guarantees.
	Retired bool
}

// Guarantee reserves capacity for Count gangs of the workspace at the same time.
// Each gang has Tasks tasks with Accelerators accelerators each, placed within the
// given adjacency level.
type Guarantee struct {
	Name         string
	Tasks        int
	Accelerators int
	Within       Adjacency
	Count        int
}

// Domain is the specification of a failure domain.
type Domain struct {
	Name   string
	Region string
	State  DomainState
	// StopAfter is how long running work that can't be checkpointed may continue
	// after the domain has been taken out of service; 0 lets it run to its end.
	StopAfter Duration
}

// WorkerGroup is the complete list of workers of one rack.
type WorkerGroup struct {
	Name    string
	Domain  string
	Rack    string
	Workers []Worker
}

// Worker is a machine that runs tasks.
type Worker struct {
	Name         string
	Address      string
	Processors   int
	MemoryMB     int
	Accelerators int
}

// MinionGroup is the complete list of a service's minions in one failure domain.
type MinionGroup struct {
	Name    string
	Service string
	Domain  string
	Minions []Minion
}

// Minion is a machine of a backend server. Slots and Connections are limits on the
// total over all instances, not for each instance. A Leaving minion gets no new
// requests.
type Minion struct {
	Name        string
	Address     string
	Slots       int
	Connections int
	Leaving     bool
}

// Objects returns all objects that the ticket changes, as "Kind/Name", grouped by
// kind and otherwise in the order of the ticket.
func (t Ticket) Objects() []string {
	var names []string
	for _, w := range t.Workspaces {
		names = append(names, "Workspace/"+w.Name)
	}
	for _, d := range t.Domains {
		names = append(names, "Domain/"+d.Name)
	}
	for _, g := range t.WorkerGroups {
		names = append(names, "WorkerGroup/"+g.Name)
	}
	for _, g := range t.MinionGroups {
		names = append(names, "MinionGroup/"+g.Name)
	}
	return names
}

// Validate returns an error, marked with ErrInvalid, for the first invalid field that
// can be detected without the current state.
func (t Ticket) Validate() (err error) {
	defer func() {
		if err != nil {
			err = errors.Mark(errors.Wrapf(err, "ticket %d", t.Number), ErrInvalid)
		}
	}()
	if t.Number == 0 {
		return errors.New("Number is missing")
	}
	if err := validateName("Operator", t.Operator); err != nil {
		return err
	}
	if len(t.Objects()) == 0 {
		return errors.New("it touches nothing")
	}
	if err := t.rejectDuplicates(); err != nil {
		return err
	}
	return t.validateObjects()
}

// rejectDuplicates returns an error if the ticket contains an object twice.
func (t Ticket) rejectDuplicates() error {
	seen := map[string]bool{}
	for _, name := range t.Objects() {
		if seen[name] {
			return errors.Newf("%s stands twice", name)
		}
		seen[name] = true
	}
	return nil
}

func (t Ticket) validateObjects() error {
	for _, w := range t.Workspaces {
		if err := w.validate(); err != nil {
			return errors.Wrapf(err, "Workspace %q", w.Name)
		}
	}
	for _, d := range t.Domains {
		if err := d.validate(); err != nil {
			return errors.Wrapf(err, "Domain %q", d.Name)
		}
	}
	for _, g := range t.WorkerGroups {
		if err := g.validate(); err != nil {
			return errors.Wrapf(err, "WorkerGroup %q", g.Name)
		}
	}
	for _, g := range t.MinionGroups {
		if err := g.validate(); err != nil {
			return errors.Wrapf(err, "MinionGroup %q", g.Name)
		}
	}
	return nil
}

// validate also checks that the guarantees together fit into the quota.
func (w Workspace) validate() error {
	if err := validateName("Name", w.Name); err != nil {
		return err
	}
	if w.QuotaAccelerators < 0 {
		return errors.New("QuotaAccelerators is negative")
	}
	if w.Retired && len(w.Guarantees) > 0 {
		return errors.New("a retired workspace holds no Guarantees")
	}
	total := 0
	names := map[string]bool{}
	for _, g := range w.Guarantees {
		if err := g.validate(); err != nil {
			return errors.Wrapf(err, "Guarantee %q", g.Name)
		}
		if names[g.Name] {
			return errors.Newf("Guarantee %q stands twice", g.Name)
		}
		names[g.Name] = true
		total += g.Tasks * g.Accelerators * g.Count
	}
	if w.QuotaAccelerators > 0 && total > w.QuotaAccelerators {
		return errors.Newf("guarantees of %d accelerators exceed QuotaAccelerators %d", total, w.QuotaAccelerators)
	}
	return nil
}

func (g Guarantee) validate() error {
	if err := validateName("Name", g.Name); err != nil {
		return err
	}
	if g.Tasks < 1 || g.Tasks > MaxTasks {
		return errors.Newf("Tasks is %d, must be 1 to %d", g.Tasks, MaxTasks)
	}
	if g.Accelerators < 1 || g.Accelerators > MaxAccelerators {
		return errors.Newf("Accelerators is %d, must be 1 to %d", g.Accelerators, MaxAccelerators)
	}
	if g.Count < 1 || g.Count > MaxTasks {
		return errors.Newf("Count is %d, must be 1 to %d", g.Count, MaxTasks)
	}
	if !g.Within.Valid() {
		return errors.Newf("Within %q is not one of Worker, Rack, Domain, Region, Any", g.Within)
	}
	return nil
}

func (d Domain) validate() error {
	if err := validateName("Name", d.Name); err != nil {
		return err
	}
	if d.State != DomainIn && d.State != DomainOut {
		return errors.Newf("State %q is not In or Out", d.State)
	}
	if d.StopAfter < 0 {
		return errors.New("StopAfter is negative")
	}
	return nil
}

func (g WorkerGroup) validate() error {
	for _, f := range []struct{ field, value string }{{"Name", g.Name}, {"Domain", g.Domain}, {"Rack", g.Rack}} {
		if err := validateName(f.field, f.value); err != nil {
			return err
		}
	}
	names := map[string]bool{}
	for _, w := range g.Workers {
		if names[w.Name] {
			return errors.Newf("Worker %q stands twice", w.Name)
		}
		names[w.Name] = true
		if err := w.validate(); err != nil {
			return errors.Wrapf(err, "Worker %q", w.Name)
		}
	}
	return nil
}

func (w Worker) validate() error {
	if err := validateName("Name", w.Name); err != nil {
		return err
	}
	if err := validateAddress(w.Address); err != nil {
		return err
	}
	if w.Processors < 1 || w.MemoryMB < 1 || w.Accelerators < 0 || w.Accelerators > MaxAccelerators {
		return errors.Newf("needs Processors and MemoryMB above 0 and 0 to %d Accelerators", MaxAccelerators)
	}
	return nil
}

func (g MinionGroup) validate() error {
	for _, f := range []struct{ field, value string }{{"Name", g.Name}, {"Service", g.Service}, {"Domain", g.Domain}} {
		if err := validateName(f.field, f.value); err != nil {
			return err
		}
	}
	names := map[string]bool{}
	for _, m := range g.Minions {
		if err := validateName("Name", m.Name); err != nil {
			return err
		}
		if names[m.Name] {
			return errors.Newf("Minion %q stands twice", m.Name)
		}
		names[m.Name] = true
		if err := validateAddress(m.Address); err != nil {
			return errors.Wrapf(err, "Minion %q", m.Name)
		}
		if m.Slots < 1 || m.Connections < m.Slots {
			return errors.Newf("Minion %q needs Slots above 0 and at least as many Connections", m.Name)
		}
	}
	return nil
}

// validateAddress requires an IP address, not a host name, and a port other than 0.
func validateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Newf("Address %q is not IP:PORT", address)
	}
	if net.ParseIP(host) == nil || port == "" || port == "0" {
		return errors.Newf("Address %q is not IP:PORT", address)
	}
	return nil
}

// String formats the guarantee with its size, such as "render (2 x 8 within Rack, 1 at once)".
func (g Guarantee) String() string {
	return fmt.Sprintf("%s (%d x %d within %s, %d at once)", g.Name, g.Tasks, g.Accelerators, g.Within, g.Count)
}
