package speed

// This file defines model, the time that all engines of a service have in common.

import "time"

const (
	// The time of an engine of which nothing is known.
	defaultStart   = 80.0     // ms, without any work
	defaultToken   = 1 / 60.0 // ms for each token to prefill, those of earlier requests included
	defaultRunning = 1.0      // ms for each other request on the engine

	priorSamples  = 20               // number of samples that the default weighs as much as
	modelHalfLife = 30 * time.Second // time in which the weight of a sample is halved
	minShare      = 0.1              // least share of its default that a coefficient can have
)

// Terms of the model.
const (
	start = iota // also holds for an engine that is slow: it is mostly spent elsewhere
	tokens
	pending
	running
	numTerms
)

// vector holds a value for each term.
type vector [numTerms]float64

// model predicts a time in milliseconds as a linear function of the work, by a least squares fit of
// the relative errors in which old samples lose their weight.
type model struct {
	coefficients vector
	moments      [numTerms]vector // weighted sums of the products of two terms
	products     vector           // weighted sums of the products of a term and the time
	at           time.Time        // of the newest sample
}

func defaults() vector { return vector{defaultStart, defaultToken, defaultToken, defaultRunning} }

func newModel() model { return model{coefficients: defaults()} }

// terms returns the terms of the time on an engine with the given ratio.
func terms(w Work, ratio float64) vector {
	return vector{1, ratio * float64(w.Tokens), ratio * float64(w.Pending), ratio * float64(w.Running)}
}

func (m *model) predict(w Work, ratio float64) float64 {
	sum := 0.0
	for i, x := range terms(w, ratio) {
		sum += m.coefficients[i] * x
	}
	return sum
}

// work returns the part of the time that depends on the speed of the engine, for one with the ratio 1.
func (m *model) work(w Work) float64 { return m.predict(w, 1) - m.coefficients[start] }

// add adds a sample and fits the coefficients again.
func (m *model) add(w Work, ratio, took float64, now time.Time) {
	kept := faded(now.Sub(m.at), modelHalfLife)
	m.at = now
	x := terms(w, ratio)
	predicted := m.predict(w, ratio)
	weight := 1 / (predicted * predicted)
	for i := range numTerms {
		m.products[i] = kept*m.products[i] + weight*x[i]*took
		for k := range numTerms {
			m.moments[i][k] = kept*m.moments[i][k] + weight*x[i]*x[k]
		}
	}
	m.fit()
}

// fit solves the normal equations. The defaults count as priorSamples samples of each term alone, so
// that a term which does not vary keeps its default.
func (m *model) fit() {
	a, b := m.moments, m.products
	for i, d := range defaults() {
		weight := priorSamples / (d * d)
		a[i][i] += weight
		b[i] += weight * d
	}
	for i, c := range solve(a, b) {
		m.coefficients[i] = max(minShare*defaults()[i], c)
	}
}

// solve returns the solution of a system of equations whose matrix is symmetric and positive definite.
func solve(a [numTerms]vector, b vector) vector {
	for i := range numTerms {
		for k := i + 1; k < numTerms; k++ {
			factor := a[k][i] / a[i][i]
			for j := i; j < numTerms; j++ {
				a[k][j] -= factor * a[i][j]
			}
			b[k] -= factor * b[i]
		}
	}
	for i := numTerms - 1; i >= 0; i-- {
		for k := i + 1; k < numTerms; k++ {
			b[i] -= a[i][k] * b[k]
		}
		b[i] /= a[i][i]
	}
	return b
}
