// Package examples holds the settings and tables of two deployments, as real
// input for the demo, the tests and a newcomer's first steps.
package examples

// This file embeds the example files.

import "embed"

// Files holds NAME/table.json and NAME/settings.json for each deployment.
//
//go:embed */*.json
var Files embed.FS
