package compat

// This file tests values that two instances compute by themselves and compare.

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/admission/quarantine"
	"github.com/jacinthstile/jacinthstile/internal/edge/origin"
	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/edge/request"
)

// TestKeysStay guards against a key, a hash or a name that an instance of a new build computes in
// another way than those of the build before, so that they speak of different things.
func TestKeysStay(t *testing.T) {
	r := &request.Request{
		Method: "POST", Host: "host", Target: "/path?q=1", Account: "account", Body: []byte("body"),
		Prompt: []request.PromptPart{{ID: "first", Tokens: 3}, {ID: "second", Tokens: 5}, {ID: "last", Tokens: 7}},
	}
	e := &registry.Endpoint{ID: "engine-1", StartTime: 1700000000000}
	loss := quarantine.NewLoss(e.Name(), quarantine.SubjectOf(r), false, true, time.Time{})
	for name, c := range map[string]struct{ got, want string }{
		"OriginQuery.stream":  {fmt.Sprintf("%016x", origin.Key("account", "id")), "3606e3d33423e8a7"},
		"Order.fingerprint":   {fmt.Sprintf("%016x", r.Fingerprint()), "ef90b870ebe9cb36"},
		"Loss.prompt":         {fmt.Sprintf("%016x", loss.Prompt), "4729939f2cd1b8c9"},
		"Loss.parts":          {fmt.Sprint(loss.Parts), "[first second]"},
		"name of an endpoint": {e.Name(), "engine-1@1700000000000"},
	} {
		NewWithT(t).Expect(c.got).To(Equal(c.want), name)
	}
}
