package root

// This file defines the table commands.

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/jacinthstile/jacinthstile/internal/table/sheet"
)

func newTable() *cobra.Command {
	c := &cobra.Command{Use: "table", Short: "Check, compare and pack tables"}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Validate a table and name every row at fault",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			s, err := sheet.Parse(data)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "table %d.%d is valid: %d endpoints, %d accounts\n",
				s.Epoch, s.Version, len(s.Endpoints), len(s.Accounts))
			return err
		},
	})
	return c
}
