package inspector

// This file holds the rules for limits that contradict each other.

import (
	"cmp"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/config/finding"
	"github.com/jacinthstile/jacinthstile/internal/config/outline"
)

// checkTimes reports goals after the timeout, and stages that take longer than either even without a wait.
func (i *inspector) checkTimes() {
	for _, r := range i.Routes {
		least := leastTime(r.Steps)
		switch {
		case r.Timeout > 0 && r.Goal > r.Timeout:
			i.add(finding.Warning, r.Row, cmp.Or(r.Column, "goal"), "the goal of %s is after the timeout of %s", r.Goal, r.Timeout)
		case r.Timeout > 0 && least > r.Timeout:
			i.add(finding.Error, r.Row, cmp.Or(r.Column, "timeout"), "its stages take %s at least, the timeout is %s: every request is rejected", least, r.Timeout)
			continue
		}
		if r.Goal > 0 && least > r.Goal {
			i.add(finding.Warning, r.Row, cmp.Or(r.Column, "goal"), "its stages take %s at least, the goal is %s: every answer is late", least, r.Goal)
		}
	}
}

// leastTime returns how long the longest chain of steps takes at least.
func leastTime(steps []outline.Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	var last time.Duration
	for n, s := range steps {
		for _, a := range s.After {
			if a >= 0 && a < n {
				ends[n] = max(ends[n], ends[a])
			}
		}
		ends[n] += s.Least
		last = max(last, ends[n])
	}
	return last
}

// checkSpace reports stages whose results find no space at an endpoint.
func (i *inspector) checkSpace() {
	for _, r := range i.Routes {
		for _, s := range r.Steps {
			service := i.services[s.Service]
			switch all := s.Bytes * int64(max(1, service.MaxPieces)); {
			case service.ResultBytes == 0 || s.Bytes == 0:
			case s.Bytes > service.ResultBytes:
				i.add(finding.Error, r.Row, s.Column, "a result has %d bytes, an endpoint of %s keeps %d: its requests are rejected", s.Bytes, s.Service, service.ResultBytes)
			case all > service.ResultBytes:
				i.add(finding.Warning, r.Row, s.Column, "the results of a full call have %d bytes, an endpoint of %s keeps %d", all, s.Service, service.ResultBytes)
			}
		}
	}
}

// checkBounds reports bounds beyond what an instance accepts.
func (i *inspector) checkBounds() {
	for _, b := range i.Bounds {
		if b.Most > 0 && b.Value > b.Most {
			i.add(finding.Warning, "limits", b.Column, "%g %s have the effect of %g %s", b.Value, b.Unit, b.Most, b.Unit)
		}
	}
}

// checkLeaving reports endpoints that take new work after their leaving date, and dates after that of
// their data centre.
func (i *inspector) checkLeaving() {
	for _, e := range i.Endpoints {
		if e.Leave != nil && e.CentreLeave != nil && e.Leave.After(*e.CentreLeave) {
			i.add(finding.Warning, e.Row, "leave", "%s is after the leaving date of its data centre, %s", e.Leave.Format(time.RFC3339), e.CentreLeave.Format(time.RFC3339))
		}
		for _, date := range []*time.Time{e.Leave, e.CentreLeave} {
			if date != nil && e.Weight > 0 && !date.After(i.now) {
				i.add(finding.Error, e.Row, "weight", "takes new work after its leaving date, %s", date.Format(time.RFC3339))
				break
			}
		}
	}
}
