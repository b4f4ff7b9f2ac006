package main

import "daisyhead/internal/entry/presenter"

// Short names for the items of the list commands.
type (
	workspace = presenter.Workspace
	domain    = presenter.Domain
	worker    = presenter.Worker
	minion    = presenter.Minion
	instance  = presenter.Instance
)
