package root

// This file defines the settings command.

import (
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/jacinthstile/jacinthstile/internal/settings/config"
	"github.com/jacinthstile/jacinthstile/internal/settings/file"
	"github.com/jacinthstile/jacinthstile/platform"
)

const settingsCheckLong = `Check the settings file of a daemon without starting it, and name every value at fault.

A file whose name ends in .toml is taken for that of an instance on the users'
platform, any other for that of jacinthstiled --settings.

Exit codes: 0 when the settings are valid, 1 when the file could not be read,
2 when there are values at fault.`

func newSettings() *cobra.Command {
	c := &cobra.Command{Use: "settings", Short: "Check the settings of a daemon"}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Validate settings and name every value at fault",
		Long:  settingsCheckLong,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := checkSettings(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "settings are valid")
			return err
		},
	})
	return c
}

// checkSettings returns an exitError if values are at fault.
func checkSettings(path string) error {
	data, err := file.Read(path)
	if err != nil {
		return err
	}
	if filepath.Ext(path) == ".toml" {
		_, err = platform.ParseSettings(data)
	} else {
		_, err = config.Parse(data)
	}
	if err != nil {
		return exitError{code: exitNegative, text: err.Error()}
	}
	return nil
}
