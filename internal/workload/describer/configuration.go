package describer

import (
	"cmp"
	"slices"
	"strings"
)

// Configuration is one version of what operators have put in force.
type Configuration struct {
	Version    uint64
	Queues     []Queue
	Workspaces []Workspace
	// Closed are failure domains that take no new work.
	Closed map[string]bool

	byHost map[string][]int
	byKey  map[string]int
	byName map[string]int
}

// Index prepares the look-ups. It must be called once before the others.
func (c *Configuration) Index() {
	c.byHost, c.byKey, c.byName = map[string][]int{}, map[string]int{}, map[string]int{}
	for i, q := range c.Queues {
		c.byHost[q.Host] = append(c.byHost[q.Host], i)
		c.byName[q.Name] = i
	}
	for _, indexes := range c.byHost {
		slices.SortFunc(indexes, func(a, b int) int {
			return cmp.Compare(len(c.Queues[b].PathPrefix), len(c.Queues[a].PathPrefix))
		})
	}
	for i, w := range c.Workspaces {
		for _, key := range w.Keys {
			c.byKey[key] = i
		}
	}
}

// Route returns the queue with the longest prefix of the path on the host.
func (c *Configuration) Route(host, path string) (Queue, bool) {
	for _, i := range c.byHost[host] {
		if strings.HasPrefix(path, c.Queues[i].PathPrefix) {
			return c.Queues[i], true
		}
	}
	return Queue{}, false
}

// Queue returns the queue of a name.
func (c *Configuration) Queue(name string) (Queue, bool) {
	i, ok := c.byName[name]
	if !ok {
		return Queue{}, false
	}
	return c.Queues[i], true
}

// WorkspaceOfKey returns the workspace that a key belongs to.
func (c *Configuration) WorkspaceOfKey(key string) (Workspace, bool) {
	i, ok := c.byKey[key]
	if !ok || key == "" {
		return Workspace{}, false
	}
	return c.Workspaces[i], true
}

// Guaranteed returns a workspace's guaranteed accelerators.
func (c *Configuration) Guaranteed(workspace string) int {
	for _, w := range c.Workspaces {
		if w.Name == workspace {
			return w.GuaranteedAccelerators
		}
	}
	return 0
}
