// Package examples embeds the settings and tables of two example deployments. The
// demo and the tests use them as input.
package examples

// This file embeds the example files.

import "embed"

// Files contains NAME/table.json and NAME/settings.json of each deployment.
//
//go:embed */*.json
var Files embed.FS
