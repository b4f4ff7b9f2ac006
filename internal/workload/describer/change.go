package describer

// Change is a change that operators have published. Either Configuration or
// Domain is set; neither is set for a record that can't be decoded, which has no
// effect.
type Change struct {
	Configuration *Configuration
	// Domain is the failure domain that is closed or opened.
	Domain string
	// Closed is the new state of Domain.
	Closed bool
}

// WorkerChange is a change to one entry in the platform's list of workers.
// Worker is nil if the entry was removed. ID is empty if the entry can't be
// decoded.
type WorkerChange struct {
	ID     string
	Worker *Worker
}

// Apply returns the configuration after a change, and whether the change had
// an effect. A version that is not newer than the current one has none. A newer
// version keeps the failure domains closed that are closed now.
func (c *Configuration) Apply(change Change) (next *Configuration, changed bool) {
	switch {
	case change.Configuration != nil:
		if change.Configuration.Version <= c.Version {
			return c, false
		}
		next = change.Configuration
		next.Closed = c.Closed
		next.BuildIndex()
		return next, true
	case change.Domain != "" && c.Closed[change.Domain] != change.Closed:
		copied := *c
		copied.Closed = map[string]bool{}
		for d := range c.Closed {
			copied.Closed[d] = true
		}
		delete(copied.Closed, change.Domain)
		if change.Closed {
			copied.Closed[change.Domain] = true
		}
		return &copied, true
	}
	return c, false
}
