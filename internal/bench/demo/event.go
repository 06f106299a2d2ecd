package demo

// This file makes the events in the middle of the run.

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// events empties a data centre, caps an account, kills the connections of one
// daemon and restarts another gracefully.
func (d *driver) events(ctx context.Context) error {
	select {
	case <-d.half:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := d.change(ctx); err != nil {
		return err
	}
	last := len(d.fleet.Members()) - 1
	d.mu.Lock()
	d.marks.kick, d.marks.kickedAt = time.Now(), last
	d.mu.Unlock()
	d.balancer.kick(last)
	d.mu.Lock()
	d.marks.kickEnd = time.Now()
	d.mu.Unlock()
	return d.restart(ctx, 0)
}

// leaving returns the data centre that is emptied, and capped the account that gets a lower cap.
func (d *driver) leaving() string { return d.table.Centres[len(d.table.Centres)-1].Name }
func (d *driver) capped() string  { return d.table.Accounts[1].Name }

func (d *driver) change(ctx context.Context) error {
	published := time.Now()
	err := d.fleet.Change(func(s *fleettable.Table) {
		s.Centres[len(s.Centres)-1].Weight = 0
		s.Accounts[1].Cap = lowCap
	})
	if err != nil {
		return fmt.Errorf("publishing the change: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := d.fleet.WaitInForce(ctx, d.fleet.Members()...); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.marks.published, d.marks.inForce = published, time.Now()
	return nil
}

func (d *driver) restart(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	start := time.Now()
	if err := d.fleet.Members()[i].Stop(ctx); err != nil {
		return fmt.Errorf("stopping gracefully: %w", err)
	}
	d.mu.Lock()
	d.marks.stopped = time.Since(start)
	d.mu.Unlock()
	m, err := d.fleet.Restart(ctx, i)
	if err != nil {
		return err
	}
	return d.balancer.open(i, m)
}
