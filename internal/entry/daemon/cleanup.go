package daemon

// This file defines the list of the functions that release a daemon's components.

// cleanUps runs the clean-up functions of components in the reverse order in which
// they were added.
type cleanUps struct {
	list []func()
}

func (c *cleanUps) add(f func()) { c.list = append(c.list, f) }

func (c *cleanUps) run() {
	for i := len(c.list) - 1; i >= 0; i-- {
		c.list[i]()
	}
}
