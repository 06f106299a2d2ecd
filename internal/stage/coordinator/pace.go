package coordinator

// This file leaves out engines that have to show their pace, while others can take a request.

import (
	"slices"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/edge/registry"
	"github.com/jacinthstile/jacinthstile/internal/routing/cacheaware"
)

// atPace returns the engines that may get one more request by their pace. Those that failed the
// request count only if there is no other.
func (c *Coordinator) atPace(list []*registry.Endpoint, tried []string) []*registry.Endpoint {
	if len(tried) > 0 {
		untried := slices.DeleteFunc(slices.Clone(list), func(e *registry.Endpoint) bool { return slices.Contains(tried, e.Name()) })
		if len(untried) > 0 {
			list = untried
		}
	}
	return c.paces.Free(list)
}

// recordSent records that the request of an order goes to the chosen engine.
func (c *Coordinator) recordSent(id string, choice cacheaware.Choice, now time.Time) {
	if choice.Engine != nil {
		c.paces.Sent(id, choice.Engine.Name(), choice.FirstEvent, now)
	}
}
