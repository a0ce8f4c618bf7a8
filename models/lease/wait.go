// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import (
	"slices"
	"time"
)

// maxCutOffWait is how long a request waits at most for the limit on unreported use while
// its box is cut off from control: no report can end the wait sooner.
const maxCutOffWait = 500 * time.Millisecond

// Waiter is a request that waits for the limit on unreported use, with its tokens reserved
// as pending. It may use them once control has acknowledged a sample that includes them, or
// once the limit admits them. Those that the limit can admit in time are admitted in the order
// of their arrival. The others can only be admitted by a report, so that they hold back nobody.
type Waiter struct {
	Organisation string
	Tokens       uint64
	// Until is when the wait ends.
	Until time.Duration
	// Admitted is set once the tokens may be used.
	Admitted bool
	// Ahead is the sum of the tokens of requests before it that wait for the limit, and
	// AvailableIn the time until the limit admits it after these, both as of the last Decide.
	Ahead       uint64
	AvailableIn time.Duration

	// samples is the number of samples that had been taken at its arrival.
	samples uint64
	// inTime is set while the limit can admit the request before Until.
	inTime bool
}

// AvailableIn returns the time until the limit on unreported use admits a reservation after those
// that wait for it, if no report is acknowledged before. It returns false if the lease has
// too few free tokens: then the limit is not the reason.
func (t *Table) AvailableIn(organisation string, tokens uint64, now time.Duration) (time.Duration, bool) {
	l := t.Of(organisation)
	if l.Free() < tokens {
		return 0, false
	}
	return l.limit.availableIn(l.tokensAhead(now)+tokens, now), true
}

// tokensAhead returns the sum of the tokens of the requests that wait for the limit.
func (l *Lease) tokensAhead(now time.Duration) (sum uint64) {
	for _, w := range l.waiting {
		if w.inTime && now < w.Until {
			sum += w.Tokens
		}
	}
	return sum
}

// Wait reserves tokens as pending for a request that waits until the given time. The next call of
// Decide decides about it. It returns nil if the lease has too few free tokens.
func (t *Table) Wait(organisation string, tokens uint64, until time.Duration) *Waiter {
	if !t.ReservePending(organisation, tokens) {
		return nil
	}
	w := &Waiter{Organisation: organisation, Tokens: tokens, Until: until, samples: t.samples}
	l := t.Of(organisation)
	l.waiting = append(l.waiting, w)
	t.waiting[organisation] = l
	return w
}

// Leave ends the wait of a request that was not admitted and releases its tokens. It does
// nothing if Decide has decided about the request.
func (t *Table) Leave(w *Waiter) {
	l := t.Of(w.Organisation)
	if i := slices.Index(l.waiting, w); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.release(w)
		t.forgetIdle(w.Organisation, l)
	}
}

func (l *Lease) release(w *Waiter) { l.Reserved -= min(w.Tokens, l.Reserved) }

func (t *Table) forgetIdle(organisation string, l *Lease) {
	if len(l.waiting) == 0 {
		delete(t.waiting, organisation)
	}
}

// Decide decides about the requests that wait: it admits those whose tokens control knows of or
// the limit admits, and refuses those that can't be admitted in time. While the box is not cut off,
// a report may still end the wait of any of them. It returns the requests that do not wait any
// more, and when it should be called again at the latest, zero for no such time.
func (t *Table) Decide(cutOff bool, now time.Duration) (decided []*Waiter, again time.Duration) {
	for organisation, l := range t.waiting {
		list, next := t.decide(l, cutOff, now)
		decided = append(decided, list...)
		if next > 0 && (again == 0 || next < again) {
			again = next
		}
		t.forgetIdle(organisation, l)
	}
	return decided, again
}

func (t *Table) decide(l *Lease, cutOff bool, now time.Duration) (decided []*Waiter, next time.Duration) {
	kept := l.waiting[:0]
	ahead := uint64(0)
	for _, w := range l.waiting {
		w.look(l, ahead, now)
		switch {
		case w.samples < l.acknowledged:
			w.Admitted = true
		case w.AvailableIn == 0:
			l.limit.take(w.Tokens)
			w.Admitted = true
		case now >= w.Until || cutOff && (!w.inTime || w.AvailableIn > maxCutOffWait):
			l.release(w)
		default:
			kept = append(kept, w)
			if w.inTime && ahead == 0 {
				next = now + w.AvailableIn
			}
			if w.inTime {
				ahead += w.Tokens
			}
			continue
		}
		decided = append(decided, w)
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
	return decided, next
}

// look updates what is known of a waiting request.
func (w *Waiter) look(l *Lease, ahead uint64, now time.Duration) {
	w.Ahead = ahead
	w.AvailableIn = l.limit.availableIn(ahead+w.Tokens, now)
	w.inTime = now+w.AvailableIn <= w.Until
}
