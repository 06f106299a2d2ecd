package root

// This file defines the table commands.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
	"github.com/jacinthstile/jacinthstile/internal/table/tablediff"
)

// exitNegative is the exit code of a command that ran and has a negative result: a
// table has problems, tables differ, or a request is not in the logs.
const exitNegative = 2

const tableLong = `Check, compare and pack tables.

Exit codes: 0 when the table is valid or the tables are equal, 1 when the
command could not be carried out, 2 when the table has problems or the tables
differ.`

func newTable() *cobra.Command {
	c := &cobra.Command{Use: "table", Short: "Check, compare and pack tables", Long: tableLong}
	c.AddCommand(newTableCheck(), newTableDiff(), newTablePack())
	return c
}

func newTableCheck() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a table and name every row and column at fault",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := readTable(args[0])
			var list problem.List
			if err != nil && !errors.As(err, &list) {
				return err
			}
			if asJSON {
				if err := printProblems(c.OutOrStdout(), list); err != nil {
					return err
				}
			}
			if err != nil {
				return exitError{code: exitNegative, text: fmt.Sprintf("%d problems:\n%v", len(list), err)}
			}
			if !asJSON {
				_, err = fmt.Fprintf(c.OutOrStdout(), "table %s is valid: %d endpoints, %d accounts\n",
					s.Revision(), len(s.Endpoints), len(s.Accounts))
			}
			return err
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the problems as JSON")
	return c
}

func printProblems(w io.Writer, list problem.List) error {
	if list == nil {
		list = problem.List{}
	}
	return json.NewEncoder(w).Encode(map[string]problem.List{"problems": list})
}

// readTable reads and validates a table file written by an operator. Unknown columns
// are an error, because most of them are misspelled names.
func readTable(path string) (*fleettable.Table, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := parseTable(data)
	var list problem.List
	if err != nil && !errors.As(err, &list) {
		return nil, fmt.Errorf("parsing %s: %w", path, err)
	}
	return s, err
}

func parseTable(data []byte) (*fleettable.Table, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	s := new(fleettable.Table)
	if err := d.Decode(s); err != nil {
		return nil, err
	}
	return s, s.Freeze()
}

func newTableDiff() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Print the rows and columns that differ, and what that does",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			before, err := readTable(args[0])
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			after, err := readTable(args[1])
			if err != nil {
				return fmt.Errorf("%s: %w", args[1], err)
			}
			changes, err := tablediff.Between(before, after)
			if err != nil {
				return err
			}
			if err := printChanges(c.OutOrStdout(), changes, asJSON); err != nil || len(changes) == 0 {
				return err
			}
			if !after.After(before) {
				return exitError{code: exitNegative, text: fmt.Sprintf(
					"the new table would be ignored: got version %s, want one after %s", after.Revision(), before.Revision())}
			}
			return exitError{code: exitNegative, text: fmt.Sprintf("%d changes", len(changes))}
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the changes as JSON")
	return c
}

func printChanges(w io.Writer, changes []tablediff.Change, asJSON bool) error {
	if asJSON {
		if changes == nil {
			changes = []tablediff.Change{}
		}
		return json.NewEncoder(w).Encode(map[string][]tablediff.Change{"changes": changes})
	}
	for _, c := range changes {
		if _, err := fmt.Fprintln(w, c); err != nil {
			return err
		}
	}
	return nil
}

// packResult is the output of table pack.
type packResult struct {
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	Objects int    `json:"objects"` // number of groups and parts
	Bytes   int    `json:"bytes"`
	New     int    `json:"new"` // number of objects that the folder did not contain before
}

func newTablePack() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "pack FILE FOLDER",
		Short: "Write the manifest and the parts that the platform publishes",
		Long: `Write the manifest and the parts of a valid table under FOLDER.

Each file is one key of the configuration service: FOLDER/table/part/DIGEST is
the key "table/part/DIGEST", FOLDER/table.json the key "table". Publish the parts
first and the manifest last. Parts that no manifest names any more may be deleted
once every instance has the new table in force.`,
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := readTable(args[0])
			var list problem.List
			if errors.As(err, &list) {
				return exitError{code: exitNegative, text: list.Error()}
			}
			if err != nil {
				return err
			}
			p, err := pack(s, args[1])
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(p)
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "table %d.%d: %d parts of %d bytes in all, %d of them new\n",
				p.Epoch, p.Version, p.Objects, p.Bytes, p.New)
			return err
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print figures as JSON")
	return c
}

func pack(table *fleettable.Table, folder string) (packResult, error) {
	m, objects, err := manifest.Pack(table)
	if err != nil {
		return packResult{}, err
	}
	out := packResult{Epoch: table.Epoch, Version: table.Version, Objects: len(objects)}
	parts := filepath.Join(folder, filepath.FromSlash(manifest.PartPrefix))
	if err := os.MkdirAll(parts, 0o755); err != nil {
		return packResult{}, err
	}
	for digest, data := range objects {
		out.Bytes += len(data)
		path := filepath.Join(parts, digest)
		if old, err := os.ReadFile(path); err == nil && bytes.Equal(old, data) {
			continue
		}
		out.New++
		if err := os.WriteFile(path, data, 0o644); err != nil {
			return packResult{}, err
		}
	}
	data, err := json.Marshal(m)
	if err != nil {
		return packResult{}, err
	}
	return out, os.WriteFile(filepath.Join(folder, manifest.Key+".json"), data, 0o644)
}
