// Package fairshare tells which client accounts have had their fair share of what is short.
//
// It answers overload in which one account asks for far more than the others. Admission in
// the order of arrival gives each account what it asks for, so that a burst of one account is
// paid for by all of them. The fair share is max-min: what was admitted of late is divided by
// a level that no account exceeds while another one has had less and asks for more. An account
// that asks for less than the level is served whole, and one that is alone gets all.
//
// The division is made between those that ask: demand that is not admitted raises no share,
// so an account gains nothing by asking more often. Only the accounts with the most demand are
// kept by name, so that memory is bounded; the others are counted together, as many as their
// demand shows that there must be at least.
//
// A Ledger reads no clock, does no I/O and does no locking. Its load is that of one kind of
// work; package queue divides a queue of waiting calls instead.
package fairshare

// This file defines Ledger.

import (
	"math"
	"time"
)

const (
	// Capacity is the number of accounts that a Ledger keeps by name. An account whose part of
	// the demand is larger than the inverse of it is kept.
	Capacity = 256
	// window is the time constant of the demand and of what was admitted. It spans several
	// requests of an account that matters.
	window = 2 * time.Second
	// levelInterval is the time between two computations of the level.
	levelInterval = 100 * time.Millisecond
	// tolerance is the multiple of its share from which an account is held back. Arrivals
	// of accounts with equal demand differ by that much within the window.
	tolerance = 1.1
	// rivalWindow is how long other accounts leave room after a refusal. It spans the return of
	// the caller, and many requests of an account for each that is refused.
	rivalWindow = 5 * time.Second
	// maxGrowth bounds the weight of new events against that of the first ones, see Ledger.origin.
	maxGrowth = 1e6
)

// Ledger holds what the accounts asked for of late and what they were given.
type Ledger struct {
	part     float64 // of its share up to which an account that is refused is deprived
	accounts map[string]*use
	total    use // of all accounts, also those that are not kept
	// origin is the time whose events have the weight 1. Instead of letting all sums decay with
	// time, later events weigh more.
	origin   time.Time
	level    float64 // share of an account with the weight 1, in the unit of the sums; infinite if nothing is short
	leveled  time.Time
	deprived [2]refusal // of the last two accounts that were refused within their share
}

// use is the demand of an account and what of it was admitted, as sums of weighted costs.
type use struct {
	weight   float64
	demand   float64
	admitted float64
}

// refusal is the last refusal of an account within its share.
type refusal struct {
	account string
	at      time.Time
}

// New returns an empty Ledger. Others are held back for an account that is refused if it has had at most the given part of its
// share: 1 for any shortfall.
func New(part float64) *Ledger {
	return &Ledger{part: part, accounts: make(map[string]*use), level: math.Inf(1)}
}

// Ask records that an account with the given weight, above 0, asks for the given cost. It is
// called once for each request, and not when a refused caller returns.
func (l *Ledger) Ask(account string, weight, cost float64, now time.Time) {
	cost *= l.growth(now)
	if now.Sub(l.leveled) >= levelInterval {
		l.level, l.leveled = l.computeLevel(), now
	}
	a := l.accounts[account]
	if a == nil {
		a = l.add(account)
	}
	a.weight = weight
	a.demand += cost
	l.total.demand += cost
}

// Admit records that the given cost was admitted for an account.
func (l *Ledger) Admit(account string, cost float64, now time.Time) {
	cost *= l.growth(now)
	l.total.admitted += cost
	if a := l.accounts[account]; a != nil {
		a.admitted += cost
	}
}

// Refuse records that an account was refused for want of room.
func (l *Ledger) Refuse(account string, now time.Time) {
	if a := l.accounts[account]; a != nil && a.admitted > l.part*a.weight*l.level {
		return
	}
	if l.deprived[0].account != account {
		l.deprived[1] = l.deprived[0]
	}
	l.deprived[0] = refusal{account: account, at: now}
}

// Exceeded reports whether an account has had more than its share while another one, the
// rival, was refused within its share a short time ago. Without a rival nobody is served
// better if the account is held back.
func (l *Ledger) Exceeded(account string, now time.Time) (rival string, exceeded bool) {
	a := l.accounts[account]
	if a == nil || a.admitted <= tolerance*a.weight*l.level {
		return "", false
	}
	for _, r := range l.deprived {
		if !r.at.IsZero() && r.account != account && now.Sub(r.at) <= rivalWindow {
			return r.account, true
		}
	}
	return "", false
}

// add keeps an account by name, in place of the one with the least demand if the
// Ledger is full.
func (l *Ledger) add(account string) *use {
	if len(l.accounts) >= Capacity {
		least, demand := "", math.Inf(1)
		for name, a := range l.accounts {
			if a.demand < demand {
				least, demand = name, a.demand
			}
		}
		delete(l.accounts, least)
	}
	a := new(use)
	l.accounts[account] = a
	return a
}

// growth returns the weight of an event. If it has become large, it first moves the origin.
func (l *Ledger) growth(now time.Time) float64 {
	g := math.Exp(now.Sub(l.origin).Seconds() / window.Seconds())
	if g <= maxGrowth {
		return g
	}
	l.total.shrink(g)
	for _, a := range l.accounts {
		a.shrink(g)
	}
	if !math.IsInf(l.level, 1) {
		l.level /= g
	}
	l.origin = now
	return 1
}

func (u *use) shrink(g float64) { u.demand, u.admitted = u.demand/g, u.admitted/g }
