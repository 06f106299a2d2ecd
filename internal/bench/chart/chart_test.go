package chart_test

// This file tests that charts are drawn in both formats.

import (
	"bytes"
	"image/png"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/bench/chart"
	"github.com/jacinthstile/jacinthstile/internal/bench/loadgen"
)

// TestChart guards against files that do not have the format of their extension, against
// a stage that is missing in the legend, and against an unknown extension being accepted.
func TestChart(t *testing.T) {
	g := NewWithT(t)
	c := chart.Chart{Series: []chart.Series{{Name: "ours", Results: []loadgen.Result{
		{Offered: 10, Attainment: 1, Stages: []loadgen.StageCost{{Name: "encode", MeanBusy: 0.01}, {Name: "generate", MeanBusy: 1}}},
		{Offered: 20, Attainment: 0.9, Stages: []loadgen.StageCost{{Name: "encode", MeanBusy: 0.02}, {Name: "generate", MeanBusy: 1.2}}},
	}}}}
	var image, text bytes.Buffer
	g.Expect(c.Write(&image, "load.png")).To(Succeed())
	_, err := png.Decode(&image)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Write(&text, "load.SVG")).To(Succeed())
	g.Expect(text.String()).To(ContainSubstring("<svg"))
	g.Expect(text.String()).To(ContainSubstring("generate"))
	g.Expect(c.Write(&text, "load.gif")).To(MatchError(ContainSubstring(".gif")))
}
