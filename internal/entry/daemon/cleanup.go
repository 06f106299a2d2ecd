package daemon

// This file defines the clean-ups of a daemon's parts.

// cleanUps runs the clean-up functions of parts in the reverse order of their construction.
type cleanUps struct {
	list []func()
}

func (c *cleanUps) add(f func()) { c.list = append(c.list, f) }

func (c *cleanUps) run() {
	for i := len(c.list) - 1; i >= 0; i-- {
		c.list[i]()
	}
}
