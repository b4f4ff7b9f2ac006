// Package examples holds the example tickets, jobs and settings of two sites.
//
//	data, err := examples.Files.ReadFile("pescados/001-fleet.yaml")
package examples

import "embed"

// Files are the sites' folders.
//
//go:embed pescados/*.yaml arrieta/*.yaml
var Files embed.FS
