package decider

import (
	"slices"

	"daisyhead/internal/ledger/reducer"
)

// viewMS is the least interval at which the view's freshness is renewed.
const viewMS = 100

// View is what traffic goroutines know of the control state. It never changes
// once published.
type View struct {
	Revision   uint64
	Term       uint64
	Holder     string
	IsHolder   bool
	Epoch      uint64
	Members    []string
	ConfigNext uint64
	Next       uint64
	// FreshMS is the monotonic time as of which the fold was up to date.
	FreshMS  int64
	CaughtUp bool
	Leaving  bool
	Services map[string][]Target
	// Workspaces lists the workspaces that take requests.
	Workspaces map[string]bool
	// OutageAgreed is set while no member can read the ledger.
	OutageAgreed bool
	Peers        map[string]PeerView
}

// Target is a minion that may take new requests.
type Target struct {
	Name        string
	Address     string
	Domain      string
	Region      string
	Slots       int
	Connections int
}

// publish hands out a new view when something in it has changed.
func (m *Model) publish() {
	changed := m.viewRev != m.state.Revision
	if !changed && m.at.MonoMS-m.lastViewMS < viewMS {
		return
	}
	m.viewRev, m.lastViewMS = m.state.Revision, m.at.MonoMS
	m.emit(PublishCmd{View: m.view()})
}

func (m *Model) view() *View {
	v := &View{
		Revision: m.state.Revision, Term: m.state.Term, Holder: m.state.Holder, IsHolder: m.holds(),
		Epoch: m.state.Epoch, Members: slices.Clone(m.state.Members), ConfigNext: m.state.ConfigNext,
		Next: m.state.Next, FreshMS: m.freshMS, CaughtUp: m.caughtUp, Leaving: m.leaving,
		Services: map[string][]Target{}, Workspaces: map[string]bool{}, Peers: map[string]PeerView{},
		OutageAgreed: !m.fresh() && m.outageAgreed(),
	}
	for name, w := range m.state.Workspaces {
		v.Workspaces[name] = !w.Spec.Retired
	}
	for name, p := range m.peers {
		v.Peers[name] = PeerView{Heartbeat: p.Heartbeat, HeardAgoMS: m.at.MonoMS - p.heardMS}
	}
	for _, name := range reducer.SortedKeys(m.state.MinionGroups) {
		m.addTargets(v, name)
	}
	return v
}

func (m *Model) addTargets(v *View, group string) {
	g := m.state.MinionGroups[group].Spec
	if _, ok := v.Services[g.Service]; !ok {
		v.Services[g.Service] = nil
	}
	if !m.state.DomainOpen(g.Domain) {
		return
	}
	for _, minion := range g.Minions {
		if minion.Leaving {
			continue
		}
		v.Services[g.Service] = append(v.Services[g.Service], Target{
			Name: minion.Name, Address: minion.Address, Domain: g.Domain, Region: m.state.Domains[g.Domain].Spec.Region,
			Slots: minion.Slots, Connections: minion.Connections,
		})
	}
}
