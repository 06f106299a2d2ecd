package root

// This file defines the config command.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthstile/jacinthstile/internal/config/finding"
	"github.com/jacinthstile/jacinthstile/internal/config/inspector"
	"github.com/jacinthstile/jacinthstile/internal/config/outline"
	"github.com/jacinthstile/jacinthstile/internal/platform/configclient"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/objectstore"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
	"github.com/jacinthstile/jacinthstile/internal/table/tablediff"
	"github.com/jacinthstile/jacinthstile/internal/table/tableoutline"
	"github.com/jacinthstile/jacinthstile/platform"
)

// Exit codes of config check, besides those of all commands.
const (
	exitConfigErrors   = 2
	exitConfigWarnings = 3
)

// fetchTimeout limits the time to fetch the version in force.
const fetchTimeout = 30 * time.Second

const configCheckLong = `Check a configuration before it is published: a table, or a manifest of the users' platform.

Reports values that are not valid, entries that can never match, limits that
contradict each other, and with --against or --store what differs from the
version in force. A store is a URL of the configuration service for a table,
and IP:port of the metadata store for a manifest.

Exit codes: 0 nothing found, whatever differs; 1 the command could not be
carried out; 2 there are errors; 3 there are warnings only.`

// configReport is the output of config check.
type configReport struct {
	Findings []finding.Finding  `json:"findings"`
	Changes  []tablediff.Change `json:"changes"`
}

func newConfig() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check a configuration before it is published"}
	c.AddCommand(newConfigCheck())
	return c
}

func newConfigCheck() *cobra.Command {
	var against, store string
	var asJSON bool
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Report errors, entries without effect, contradictions, and what differs from the version in force",
		Long:  configCheckLong,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), fetchTimeout)
			defer cancel()
			old, err := readInForce(ctx, platform.IsManifest(data), against, store)
			if err != nil {
				return fmt.Errorf("reading the version in force: %w", err)
			}
			r, err := checkConfig(data, old, time.Now())
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if err := r.print(c.OutOrStdout(), asJSON); err != nil {
				return err
			}
			return r.exit()
		},
	}
	c.Flags().StringVar(&against, "against", "", "file with the version in force")
	c.Flags().StringVar(&store, "store", "", "where to read the version in force")
	c.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	c.MarkFlagsMutuallyExclusive("against", "store")
	return c
}

// readInForce returns the outline of the version in force; nil if neither a file nor a store is given.
func readInForce(ctx context.Context, isManifest bool, file, store string) (*outline.Outline, error) {
	switch {
	case file != "":
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		return outlineOf(data)
	case store != "" && isManifest:
		data, err := platform.FetchManifest(ctx, store)
		if err != nil {
			return nil, err
		}
		return outlineOf(data)
	case store != "":
		t, err := fetchTable(ctx, store)
		if err != nil {
			return nil, err
		}
		return tableoutline.New(t)
	}
	return nil, nil
}

func outlineOf(data []byte) (*outline.Outline, error) {
	if platform.IsManifest(data) {
		return platform.ManifestOutline(data)
	}
	t, err := parseTable(data)
	if err != nil {
		return nil, err
	}
	return tableoutline.New(t)
}

// fetchTable returns the table that a configuration service publishes.
func fetchTable(ctx context.Context, base string) (*fleettable.Table, error) {
	source, closeSource := configclient.New(base)
	defer closeSource()
	v, err := source.Read(ctx, manifest.Key)
	if err != nil {
		return nil, err
	}
	m, err := manifest.Parse(v.Data)
	if err != nil {
		return nil, err
	}
	objects := objectstore.New()
	fetch := func(digests []string) error {
		for _, d := range objects.Missing(digests) {
			part, err := source.Read(ctx, manifest.PartPrefix+d)
			if err == nil {
				err = objects.Put(d, part.Data)
			}
			if err != nil {
				return err
			}
		}
		return nil
	}
	if err := fetch(m.Groups); err != nil {
		return nil, err
	}
	parts, err := m.Parts(objects)
	if err != nil {
		return nil, err
	}
	if err := fetch(parts); err != nil {
		return nil, err
	}
	return m.Join(objects, nil)
}

// checkConfig checks a configuration, and compares it with the version in force unless that is nil.
// Values that are not valid are findings too.
func checkConfig(data []byte, inForce *outline.Outline, now time.Time) (configReport, error) {
	next, err := outlineOf(data)
	var list problem.List
	if errors.As(err, &list) {
		return configReport{Findings: findingsOf(list), Changes: []tablediff.Change{}}, nil
	}
	if err != nil {
		return configReport{}, err
	}
	r := configReport{Findings: inspector.Inspect(next, now), Changes: []tablediff.Change{}}
	if inForce == nil {
		return r, nil
	}
	r.Changes = tablediff.BetweenCells(inForce.Cells, next.Cells)
	if len(r.Changes) > 0 && !next.Revision.After(inForce.Revision) {
		r.Findings = slices.Insert(r.Findings, 0, finding.Finding{
			Severity: finding.Error, Row: "version", Text: fmt.Sprintf("it would be ignored: got %s, want one after %s", next.Revision, inForce.Revision),
		})
	}
	return r, nil
}

func findingsOf(list problem.List) []finding.Finding {
	out := make([]finding.Finding, len(list))
	for i, p := range list {
		out[i] = finding.Finding{Severity: finding.Error, Row: p.Row, Column: p.Column, Text: fmt.Sprintf("got %s, want %s", p.Got, p.Want)}
	}
	return out
}

func (r configReport) print(w io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintln(w, "change:", c); err != nil {
			return err
		}
	}
	return nil
}

// exit returns an error with the exit code of the report; nil if nothing was found.
func (r configReport) exit() error {
	errorCount := 0
	for _, f := range r.Findings {
		if f.Severity == finding.Error {
			errorCount++
		}
	}
	warnings := len(r.Findings) - errorCount
	switch {
	case errorCount > 0:
		return exitError{code: exitConfigErrors, text: fmt.Sprintf("%d errors, %d warnings", errorCount, warnings)}
	case warnings > 0:
		return exitError{code: exitConfigWarnings, text: fmt.Sprintf("%d warnings", warnings)}
	}
	return nil
}
