package root

// This file defines the version command.

import (
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

type versionInfo struct {
	Version string `json:"version"`
	Commit  string `json:"commit"`
	Go      string `json:"go"`
}

func newVersion() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v := buildVersion()
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(v)
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "jacinthstile %s, commit %s, %s\n", v.Version, v.Commit, v.Go)
			return err
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return c
}

// buildVersion returns the build information embedded in the program. Fields that
// the build did not set are "unknown".
func buildVersion() versionInfo {
	v := versionInfo{Version: "unknown", Commit: "unknown", Go: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version, v.Go = info.Main.Version, info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Commit = s.Value
		}
	}
	return v
}
