// Package examples embeds the example tickets, jobs and settings of two sites.
//
//	data, err := examples.Files.ReadFile("pescados/001-fleet.yaml")
package examples

import "embed"

// Files contains one directory per site.
//
//go:embed pescados/*.yaml arrieta/*.yaml
var Files embed.FS
