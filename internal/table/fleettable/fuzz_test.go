package fleettable_test

// This file fuzzes the parsing of tables.

import (
	"encoding/json"
	"testing"

	"github.com/jacinthstile/jacinthstile/examples"
	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// FuzzParse guards against accepting a table that is refused once it was written and
// read again, and against weights that are negative or not a number.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"serikelang", "slamka"} {
		data, err := examples.Files.ReadFile(name + "/table.json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"epoch":1,"version":1,"policy":{"ticket":"1m","seats":1}}`))
	f.Add([]byte(`{"version":1,"policy":null,"endpoints":[{"name":"a","weight":-1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := fleettable.Parse(data)
		if err != nil {
			return
		}
		for _, e := range table.Endpoints {
			if w := table.Weight(e.Name); !(w >= 0) {
				t.Errorf("weight of %q: got %v, want 0 or more", e.Name, w)
			}
		}
		again, err := json.Marshal(table)
		if err != nil {
			t.Fatalf("writing an accepted table: %v", err)
		}
		if _, err := fleettable.Parse(again); err != nil {
			t.Errorf("reading an accepted table again: %v", err)
		}
	})
}
