package describer

import (
	"cmp"
	"slices"
	"strings"
)

// Configuration is one version of the configuration that operators publish.
type Configuration struct {
	Version    uint64
	Queues     []Queue
	Workspaces []Workspace
	// Closed holds the failure domains that take no new tasks.
	Closed map[string]bool

	queuesByHost   map[string][]int
	workspaceByKey map[string]int
	queueByName    map[string]int
	workspaceNamed map[string]int
}

// BuildIndex builds the lookup tables. It must be called before Route, Queue,
// Workspace and WorkspaceByKey.
func (c *Configuration) BuildIndex() {
	c.queuesByHost, c.workspaceByKey, c.queueByName, c.workspaceNamed = map[string][]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	for i, q := range c.Queues {
		c.queuesByHost[q.Host] = append(c.queuesByHost[q.Host], i)
		c.queueByName[q.Name] = i
	}
	for _, indexes := range c.queuesByHost {
		slices.SortFunc(indexes, func(a, b int) int {
			return cmp.Compare(len(c.Queues[b].PathPrefix), len(c.Queues[a].PathPrefix))
		})
	}
	for i, w := range c.Workspaces {
		c.workspaceNamed[w.Name] = i
		for _, key := range w.Keys {
			c.workspaceByKey[key] = i
		}
	}
}

// Route returns the queue of the host with the longest matching path prefix.
func (c *Configuration) Route(host, path string) (Queue, bool) {
	for _, i := range c.queuesByHost[host] {
		if strings.HasPrefix(path, c.Queues[i].PathPrefix) {
			return c.Queues[i], true
		}
	}
	return Queue{}, false
}

// Queue returns the queue with the given name.
func (c *Configuration) Queue(name string) (Queue, bool) {
	i, ok := c.queueByName[name]
	if !ok {
		return Queue{}, false
	}
	return c.Queues[i], true
}

// WorkspaceByKey returns the workspace that an API key belongs to.
func (c *Configuration) WorkspaceByKey(key string) (Workspace, bool) {
	i, ok := c.workspaceByKey[key]
	if !ok || key == "" {
		return Workspace{}, false
	}
	return c.Workspaces[i], true
}

// Workspace returns the workspace with the given name.
func (c *Configuration) Workspace(name string) (Workspace, bool) {
	i, ok := c.workspaceNamed[name]
	if !ok {
		return Workspace{}, false
	}
	return c.Workspaces[i], true
}

// Guaranteed returns the number of accelerators that a workspace is guaranteed,
// or 0 if the workspace doesn't exist.
func (c *Configuration) Guaranteed(workspace string) int {
	for _, w := range c.Workspaces {
		if w.Name == workspace {
			return w.GuaranteedAccelerators
		}
	}
	return 0
}
