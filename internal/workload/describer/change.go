package describer

// Change is one thing that operators have published: one of its fields is set,
// or none for a record that is not understood.
type Change struct {
	Configuration *Configuration
	// Domain names a failure domain that is taken out or brought back.
	Domain string
	Closed bool
}

// WorkerChange is what the platform's list tells of one worker. Worker is nil
// when the entry was removed. ID is empty for an entry that is not understood.
type WorkerChange struct {
	ID     string
	Worker *Worker
}

// With returns the configuration after a change, and whether it differs.
func (c *Configuration) With(change Change) (next *Configuration, changed bool) {
	switch {
	case change.Configuration != nil:
		if change.Configuration.Version <= c.Version {
			return c, false
		}
		next = change.Configuration
		next.Closed = c.Closed
		next.Index()
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
