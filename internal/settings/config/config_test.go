package config_test

// This file tests the validation of settings.

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/examples"
	"github.com/jacinthstile/jacinthstile/internal/settings/config"
	"github.com/jacinthstile/jacinthstile/internal/table/problem"
)

// badCase is an invalid settings file and its expected error.
type badCase struct {
	Name     string          `json:"name"`
	Settings json.RawMessage `json:"settings"`
	Problems problem.List    `json:"problems"` // empty if the file cannot be parsed
	Text     string          `json:"text"`     // part of the error if Problems is empty
}

// TestBadSettings checks that each invalid settings file of testdata/bad.json is
// rejected, with an error that lists all its invalid values.
func TestBadSettings(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "bad.json"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	var cases []badCase
	NewWithT(t).Expect(json.Unmarshal(data, &cases)).To(Succeed())
	NewWithT(t).Expect(len(cases)).To(BeNumerically(">=", 10))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := config.Parse(c.Settings)
			g.Expect(err).To(HaveOccurred())
			if len(c.Problems) == 0 {
				g.Expect(err.Error()).To(ContainSubstring(c.Text))
				return
			}
			var list problem.List
			g.Expect(errors.As(err, &list)).To(BeTrue(), "%v", err)
			g.Expect(list).To(Equal(c.Problems))
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"serikelang", "slamka"} {
		g := NewWithT(t)
		data, err := examples.Files.ReadFile(name + "/settings.json")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = config.Parse(data)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// TestPageNamesEveryField checks that docs/SETTINGS.md documents every field that
// Parse accepts.
func TestPageNamesEveryField(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, v := range []any{config.Config{}, config.Operator{}, config.Listener{}, config.Bounds{}} {
		for _, field := range reflect.VisibleFields(reflect.TypeOf(v)) {
			if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
				g.Expect(string(page)).To(ContainSubstring("`" + name + "`"))
			}
		}
	}
}
