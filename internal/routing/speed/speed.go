// Package speed predicts how long the engines of a service take until the first
// event of a request, from the times that they took before.
//
// It is meant for engines that differ from each other for good, and that share
// their hosts with other work, which slows them down for moments. The engines of a
// service have a model of the time in common. The ratio of an engine's work to that
// of the model has a lasting part and a recent one, which fades within seconds, so
// that an engine that was slow is tried again. The package does no I/O; callers
// pass the time and serialize all calls.
package speed

// This file defines Estimator and Work.

import (
	"math"
	"slices"
	"time"
)

const (
	lastingGain    = 1.0 / 32               // least weight of a sample in the lasting part
	recentGain     = 0.3                    // weight of a sample in the recent part
	priorWeight    = 4                      // samples that the assumption of a usual engine weighs as much as
	heldGain       = 1.0 / 32               // weight of a sample in the mean time that a request holds a slot
	recentHalfLife = 2 * time.Second        // time in which half of the recent part is forgotten
	errorGain      = 1.0 / 64               // weight of a sample in the mean error
	latestErrors   = 2                      // mean errors after its prediction at which a first event is still to be expected
	defaultError   = 20 * time.Millisecond  // mean error before there are samples
	maxErrors      = 512                    // predictions whose errors are kept
	maxSampleError = 200 * time.Millisecond // a greater error counts as this one in the mean
	maxDeviation   = 4.0                    // a sample that deviates from its prediction by a greater ratio counts as one of this ratio
	// memory is the time without a sample after which an engine counts as one without samples, so that none is
	// avoided for ever for what it was once.
	memory = 20 * time.Second
)

// Work is what an engine has to do until the first event of a request.
type Work struct {
	Tokens  int // of the prompt that are not cached
	Pending int // tokens that the engine still has to prefill for earlier requests
	Running int // other requests on the engine
	Slots   int // requests that the engine runs at a time; zero if not known
}

// Estimator predicts the times of the engines of one service. It is not safe for
// concurrent use.
type Estimator struct {
	model     model
	engines   map[string]*engine // by name
	lasting   float64            // sum of the lasting parts of all engines
	held      time.Duration      // moving average of the time that a request holds a slot
	meanError time.Duration      // moving average of the absolute errors of predictions
	errors    []time.Duration    // absolute errors of the newest predictions, see Accuracy
}

// engine holds the parts of the ratio of an engine's times to those of the model.
// They are logarithms, so that half and twice the time weigh the same.
type engine struct {
	samples  float64 // sum of their weights
	lasting  float64
	recent   float64 // as of recentAt
	recentAt time.Time
}

// Prediction is what is expected of one engine for some work.
type Prediction struct {
	FirstEvent time.Duration // from the assignment of the request to its first event
	Wait       float64       // see Estimator.Tokens, for the work without the request's own tokens
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{model: newModel(), engines: make(map[string]*engine), meanError: defaultError}
}

// FirstEvent returns the predicted time from the assignment of a request to its
// first event.
func (e *Estimator) FirstEvent(name string, w Work, now time.Time) time.Duration {
	return e.Predict(e.Ratio(name, now), w).FirstEvent
}

// Predict returns all predictions at once for an engine with the given ratio.
func (e *Estimator) Predict(ratio float64, w Work) Prediction {
	m := &e.model
	before := ratio * (m.coefficients[pending]*float64(w.Pending) + m.coefficients[running]*float64(w.Running))
	own := ratio * m.coefficients[tokens] * float64(w.Tokens)
	wait := e.slotWait(w)
	return Prediction{
		FirstEvent: duration(m.coefficients[start]+own+before) + wait,
		Wait:       (before + milliseconds(wait)) / m.coefficients[tokens],
	}
}

// Margin returns the time after its predicted time within which most first events
// come. Work that has to be done before a request must leave it this time too.
func (e *Estimator) Margin() time.Duration { return latestErrors * e.meanError }

// Tokens returns how many tokens of a prompt a usual engine prefills in the time
// that an engine needs for the work, the wait for a slot included.
func (e *Estimator) Tokens(name string, w Work, now time.Time) float64 {
	ratio := e.Ratio(name, now)
	return (ratio*e.model.work(w) + milliseconds(e.slotWait(w))) / e.model.coefficients[tokens]
}

// slotWait returns the predicted time until a request gets a slot.
func (e *Estimator) slotWait(w Work) time.Duration {
	if w.Slots == 0 || w.Running < w.Slots {
		return 0
	}
	return time.Duration(w.Running+1-w.Slots) * e.held / time.Duration(w.Slots)
}

// Ratio returns the predicted ratio of an engine's times for work to those of the
// model. An engine without samples has the mean of the others: it is not left idle because
// they are known to be faster than the model says.
func (e *Estimator) Ratio(name string, now time.Time) float64 {
	eng := e.engines[name]
	if eng == nil {
		return math.Exp(e.meanLasting())
	}
	return math.Exp(eng.lasting + eng.fadedRecent(now))
}

// Record records how long a request took from its assignment to its first event.
func (e *Estimator) Record(name string, w Work, took time.Duration, now time.Time) {
	eng := e.engines[name]
	if eng == nil {
		eng = &engine{lasting: e.meanLasting()}
		e.engines[name] = eng
		e.lasting += eng.lasting
	}
	e.recordError(took - e.FirstEvent(name, w, now))
	ratio := e.Ratio(name, now)
	took -= e.slotWait(w)
	expected := e.model.predict(w, ratio)
	actual := expected * math.Exp(clamp(math.Log(max(1, milliseconds(took))/expected)))
	// The speed of the engine shows only in the part of the time that depends on it.
	work := max(1, ratio*e.model.work(w))
	e.lasting += eng.record(clamp(math.Log(max(work/maxDeviation, work+actual-expected)/work)), work/expected, now)
	e.model.add(w, ratio, actual, now)
}

// meanLasting returns the mean of the lasting parts; zero without engines.
func (e *Estimator) meanLasting() float64 {
	if len(e.engines) == 0 {
		return 0
	}
	return e.lasting / float64(len(e.engines))
}

// record records by what ratio, as a logarithm, a time deviated from its prediction. It returns by how
// much the lasting part changes.
func (eng *engine) record(deviation, weight float64, now time.Time) (change float64) {
	recent := eng.fadedRecent(now)
	eng.samples += weight
	change = weight * max(lastingGain, 1/(priorWeight+eng.samples)) * (recent + deviation)
	eng.lasting += change
	eng.recent = recent + weight*recentGain*deviation
	eng.recentAt = now
	return change
}

// RecordHeld records how long a request held a slot of an engine.
func (e *Estimator) RecordHeld(held time.Duration) {
	if e.held == 0 {
		e.held = held
	}
	e.held += time.Duration(heldGain * float64(held-e.held))
}

// Accuracy returns the median and the 95th percentile of the absolute errors of the
// n newest predictions since the last call.
func (e *Estimator) Accuracy() (n int, median, p95 time.Duration) {
	if n = len(e.errors); n == 0 {
		return 0, 0, 0
	}
	slices.Sort(e.errors)
	median, p95 = e.errors[n/2], e.errors[n*95/100]
	e.errors = e.errors[:0]
	return n, median, p95
}

func (e *Estimator) recordError(d time.Duration) {
	if len(e.errors) == maxErrors {
		e.errors = e.errors[1:]
	}
	e.errors = append(e.errors, d.Abs())
	e.meanError += time.Duration(errorGain * float64(min(d.Abs(), maxSampleError)-e.meanError))
}

// Retain forgets the engines that are not in use, and those without a sample for long.
func (e *Estimator) Retain(inUse func(name string) bool, now time.Time) {
	for name, eng := range e.engines {
		if !inUse(name) || now.Sub(eng.recentAt) > memory {
			e.lasting -= eng.lasting
			delete(e.engines, name)
		}
	}
}

func (eng *engine) fadedRecent(now time.Time) float64 {
	return eng.recent * faded(now.Sub(eng.recentAt), recentHalfLife)
}

// faded returns what is left of one after some time of exponential decay.
func faded(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / halfLife.Seconds())
}

// clamp limits the logarithm of a ratio.
func clamp(logarithm float64) float64 {
	return max(-math.Log(maxDeviation), min(math.Log(maxDeviation), logarithm))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
