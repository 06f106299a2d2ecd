package demo

// This file causes the events in the middle of the run.

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
)

// runEvents waits until half of the requests have been sent. Then it empties a data centre and lowers the cap of an
// account in one table change, closes the connections of the last daemon and restarts the first one gracefully.
func (d *driver) runEvents(ctx context.Context) error {
	select {
	case <-d.halfSent:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := d.changeTable(ctx); err != nil {
		return err
	}
	last := len(d.fleet.Members()) - 1
	d.mu.Lock()
	d.eventTimes.closeStart, d.eventTimes.closedDaemon = time.Now(), last
	d.mu.Unlock()
	d.balancer.closeConns(last)
	d.mu.Lock()
	d.eventTimes.closeEnd = time.Now()
	d.mu.Unlock()
	return d.restart(ctx, 0)
}

// emptiedCentre returns the name of the data centre that is emptied, and cappedAccount that of the account whose cap is
// lowered.
func (d *driver) emptiedCentre() string { return d.table.Centres[len(d.table.Centres)-1].Name }
func (d *driver) cappedAccount() string { return d.table.Accounts[1].Name }

// changeTable publishes the table change and waits until it is in force on all daemons.
func (d *driver) changeTable(ctx context.Context) error {
	published := time.Now()
	err := d.fleet.Change(func(table *fleettable.Table) {
		table.Centres[len(table.Centres)-1].Weight = 0
		table.Accounts[1].Cap = loweredCap
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
	d.eventTimes.published, d.eventTimes.inForce = published, time.Now()
	return nil
}

// restart stops daemon i gracefully and starts it again.
func (d *driver) restart(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	start := time.Now()
	if err := d.fleet.Members()[i].Stop(ctx); err != nil {
		return fmt.Errorf("stopping gracefully: %w", err)
	}
	d.mu.Lock()
	d.eventTimes.stopDuration = time.Since(start)
	d.mu.Unlock()
	m, err := d.fleet.Restart(ctx, i)
	if err != nil {
		return err
	}
	return d.balancer.setBackend(i, m)
}
