package main

import "daisyhead/internal/entry/presenter"

// Short names for what lists hold.
type (
	workspace = presenter.Workspace
	domain    = presenter.Domain
	worker    = presenter.Worker
	minion    = presenter.Minion
	instance  = presenter.Instance
)
