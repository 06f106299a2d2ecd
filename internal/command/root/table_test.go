package root_test

// This file tests the table commands through the command line.

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/command/root"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
	"github.com/jacinthstile/jacinthstile/internal/table/objectstore"
)

const example = "../../../examples/serikelang/table.json"

func execute(args ...string) (out string, err error) {
	var b bytes.Buffer
	c := root.New()
	c.SetArgs(args)
	c.SetOut(&b)
	err = c.Execute()
	return b.String(), err
}

// codeOf returns the exit code for the error of a command.
func codeOf(err error) int {
	if err == nil {
		return 0
	}
	return root.ExitCode(err)
}

// writeEdited writes a copy of the example table to a file and returns its path.
// The replacements are pairs of an old and a new text; the first occurrence of the
// old text is replaced.
func writeEdited(t *testing.T, replacements ...string) string {
	t.Helper()
	data, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(text, replacements[i]) {
			t.Fatalf("the example does not contain %q", replacements[i])
		}
		text = strings.Replace(text, replacements[i], replacements[i+1], 1)
	}
	path := filepath.Join(t.TempDir(), "table.json")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestCheck guards against a table check that accepts a misspelled column, reports
// only the first of several problems, or mixes up the exit codes for an unreadable
// table (1) and an invalid one (2).
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		status int
		want   []string
	}{
		{"valid", example, 0, nil},
		{"no file", "nothing.json", 1, nil},
		{"unknown column", writeEdited(t, `"weight"`, `"wieght"`), 1, []string{`unknown field "wieght"`}},
		{
			"two problems at once", writeEdited(t, `"kind": "engine"`, `"kind": "motor"`, `"version": 1`, `"version": 0`),
			2, []string{"kind: got motor, want engine, pool or service", "table, version: got 0, want 1 or more"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := execute("table", "check", c.path)
			g.Expect(codeOf(err)).To(Equal(c.status), "%v", err)
			for _, w := range c.want {
				g.Expect(err).To(MatchError(ContainSubstring(w)))
			}
		})
	}
}

// TestDiffDescribesEffect guards against a diff that reports changes between equal
// tables, does not name the effect of a change, or does not warn that instances
// ignore a table whose version was not raised.
func TestDiffDescribesEffect(t *testing.T) {
	g := NewWithT(t)
	out, err := execute("table", "diff", example, example)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(BeEmpty())

	next := writeEdited(t, `"version": 1,`, `"version": 2,`, `"weight": 1`, `"weight": 0`)
	out, err = execute("table", "diff", example, next)
	g.Expect(codeOf(err)).To(Equal(2))
	g.Expect(out).To(MatchRegexp(`(?m)^centre \S+, weight: 1 -> 0 \(drains: no new work within 3 s, what runs there finishes\)$`))
	g.Expect(strings.Count(out, "\n")).To(Equal(1))

	same := writeEdited(t, `"weight": 1`, `"weight": 0`)
	_, err = execute("table", "diff", example, same)
	g.Expect(err).To(MatchError(ContainSubstring("would be ignored")))
}

// TestPackWritesCompleteTable guards against packed files from which instances
// cannot assemble the table, and against parts that are written anew although no
// row has changed.
func TestPackWritesCompleteTable(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	_, err := execute("table", "pack", example, folder)
	g.Expect(err).NotTo(HaveOccurred())
	data, err := os.ReadFile(filepath.Join(folder, manifest.Key+".json"))
	g.Expect(err).NotTo(HaveOccurred())
	m, err := manifest.Parse(data)
	g.Expect(err).NotTo(HaveOccurred())
	objects := objectstore.New()
	files, err := filepath.Glob(filepath.Join(folder, "table", "part", "*"))
	g.Expect(err).NotTo(HaveOccurred())
	for _, f := range files {
		part, err := os.ReadFile(f)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(objects.Put(filepath.Base(f), part)).To(Succeed())
	}
	_, err = m.Join(objects, nil)
	g.Expect(err).NotTo(HaveOccurred())

	out, err := execute("table", "pack", "--json", writeEdited(t, `"version": 1,`, `"version": 2,`), folder)
	g.Expect(err).NotTo(HaveOccurred())
	var got struct{ New int }
	g.Expect(json.Unmarshal([]byte(out), &got)).To(Succeed())
	g.Expect(got.New).To(BeZero(), "no row changed")
}
