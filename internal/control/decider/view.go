package decider

import (
	"slices"

	"daisyhead/internal/ledger/reducer"
)

// minRepublishIntervalMS is the minimum interval between views that differ only in
// their freshness, not in the state.
const minRepublishIntervalMS = 100

// View is the part of the control state that request routing needs. It is immutable
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
	// StateAsOfMS is the monotonic time as of which the state was up to date.
	StateAsOfMS int64
	CaughtUp    bool
	// Leaving is set once a graceful shutdown has started.
	Leaving  bool
	Services map[string][]Target
	// Workspaces maps each workspace to whether it accepts requests.
	Workspaces map[string]bool
	// LedgerOutageAgreed is set while this instance cannot read the ledger and every
	// other member reports the same.
	LedgerOutageAgreed bool
	Peers              map[string]PeerView
}

// Target is a minion that accepts new requests.
type Target struct {
	Name        string
	Address     string
	Domain      string
	Region      string
	Slots       int
	Connections int
}

// publish publishes a new view when the state has changed, and otherwise at intervals
// so that its freshness stays current.
func (m *Model) publish() {
	changed := m.publishedRevision != m.state.Revision
	if !changed && m.now.MonoMS-m.lastPublishMS < minRepublishIntervalMS {
		return
	}
	m.publishedRevision, m.lastPublishMS = m.state.Revision, m.now.MonoMS
	m.emit(PublishCmd{View: m.buildView()})
}

// buildView copies what request routing needs from the state and the peers.
func (m *Model) buildView() *View {
	v := &View{
		Revision: m.state.Revision, Term: m.state.Term, Holder: m.state.Holder, IsHolder: m.isHolder(),
		Epoch: m.state.Epoch, Members: slices.Clone(m.state.Members), ConfigNext: m.state.ConfigNext,
		Next: m.state.Next, StateAsOfMS: m.stateAsOfMS, CaughtUp: m.caughtUp, Leaving: m.shuttingDown,
		Services: map[string][]Target{}, Workspaces: map[string]bool{}, Peers: map[string]PeerView{},
		LedgerOutageAgreed: !m.stateIsFresh() && m.ledgerOutageAgreed(),
	}
	for name, w := range m.state.Workspaces {
		v.Workspaces[name] = !w.Spec.Retired
	}
	for name, p := range m.peers {
		v.Peers[name] = PeerView{Heartbeat: p.Heartbeat, HeardAgoMS: m.now.MonoMS - p.lastHeardMS}
	}
	for _, name := range reducer.SortedKeys(m.state.MinionGroups) {
		m.addTargets(v, name)
	}
	return v
}

// addTargets adds the group's service, and its minions as targets if its failure
// domain is in service.
func (m *Model) addTargets(v *View, group string) {
	g := m.state.MinionGroups[group].Spec
	if _, ok := v.Services[g.Service]; !ok {
		v.Services[g.Service] = nil
	}
	if !m.state.DomainInService(g.Domain) {
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
