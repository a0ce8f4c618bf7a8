// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"slices"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Weights of a target's end. A call that ends its target does so when it begins to run,
// so an end before the first part of the answer weighs more. A stream that has begun is
// likely to be affected by chance: with 58 events it runs ten times as long after its
// first event as before it.
const (
	EarlyEnd uint32 = 2
	LateEnd  uint32 = 1
	// holdThreshold is the total weight from which on a call is held back: three early
	// ends of different starts. Of 100,000 calls none reached it by chance while each
	// of 18 targets crashed once in 20 s (chance_test.go).
	holdThreshold = 3 * EarlyEnd
	// listThreshold is how many ends make a call listed to all boxes, so that any of
	// them can report its success. A single end is common: the crash of one target
	// affects all calls that run there.
	listThreshold = 2
)

// Parts that prompts share are counted like calls, by ends before the first event only: a part that
// crashes targets does so as soon as they begin to answer. A call that begins to be answered clears
// all its parts.
const (
	// partThreshold is the total weight from which on a part is held back, and knownPartThreshold
	// that of a part with which calls have succeeded before.
	partThreshold      = 3 * EarlyEnd
	knownPartThreshold = 8 * EarlyEnd
	// minEndGap is the minimum time between two ends that count against a part. Targets that crash
	// together crash for another reason.
	minEndGap = 250 * time.Millisecond
)

// thresholdOf returns the total weight from which on the content of a row is held back.
func thresholdOf(row *statev1.QuarantinedCall) uint32 {
	switch {
	case !row.GetPart():
		return holdThreshold
	case row.GetKnownGood():
		return knownPartThreshold
	default:
		return partThreshold
	}
}

// Weight returns the weight of a target's end, which is early if no part of the answer
// had arrived.
func Weight(early bool) uint32 {
	if early {
		return EarlyEnd
	}
	return LateEnd
}

const (
	// suspicionPeriod is how long a call is remembered after the last end of a target.
	suspicionPeriod = 10 * time.Minute
	// maxRows bounds the rows, about 150 bytes each. Those with the lowest weight are
	// evicted first, since a crash of many targets affects many calls once.
	maxRows = 2048
	// maxTargetsPerCall bounds the starts of targets in a row, and the ends that a box keeps
	// of one call.
	maxTargetsPerCall = 8
)

// holdPeriods is how long a call is held back the first time, the second time and so on.
// Afterwards it may run again, and a single early end holds it back anew. Each such
// trial may cost a target with all its calls, so only a few are made a day.
var holdPeriods = [...]time.Duration{10 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// Table holds the calls during which targets ended. Times are in milliseconds of any
// single clock. The table is deterministic: the same reports in the same order lead to
// the same table. Rows are replaced, never modified. It is not safe for concurrent use.
type Table struct {
	rows map[Digest]*statev1.QuarantinedCall
	// listed are the rows that are sent to all boxes, with short digests in place of the
	// names of targets. revision increases with their changes.
	listed   map[Digest]*statev1.QuarantinedCall
	revision uint64
	// due holds the contents of all rows, sorted by the time at which they are due.
	due []Digest
	now int64
	// reports is the number of the last report applied.
	reports uint64
}

func NewTable() *Table {
	return &Table{rows: map[Digest]*statev1.QuarantinedCall{}, listed: map[Digest]*statev1.QuarantinedCall{}}
}

// Transition says that a call is now held back or released.
type Transition struct {
	Content Digest
	Row     *statev1.QuarantinedCall
	// IsHeld is false if the call is released.
	IsHeld bool
	// Reason says why the call is released.
	Reason string
}

// Reasons for a release.
const (
	ReasonServed  = "it ended well"
	ReasonExpired = "its time is over"
)

func (tb *Table) Len() int { return len(tb.rows) }

// Revision returns the revision of the listed rows. It increases when a row is listed
// or removed, and when its weight or whether it is held back changes.
func (tb *Table) Revision() uint64 { return tb.revision }

// Reports returns the number of the last report applied.
func (tb *Table) Reports() uint64 { return tb.reports }

// Listed returns the rows that are sent to all boxes: calls that are or were held back,
// or during which at least listThreshold targets ended.
func (tb *Table) Listed() []*statev1.QuarantinedCall { return sorted(tb.listed) }

// Row returns the row of a call, nil if there is none.
func (tb *Table) Row(c Digest) *statev1.QuarantinedCall { return tb.rows[c] }

// Apply applies a report and returns the calls that are held back or released by it or
// by the passage of time. A report may be applied repeatedly: an end counts once for
// each start of a target.
func (tb *Table) Apply(r *statev1.ReportCalls) []Transition {
	verdicts := tb.expire(r.GetAt())
	tb.reports = tb.nextNumber(tb.reports)
	for _, e := range r.GetEnded() {
		c, ok := ParseDigest(e.GetContent())
		if !ok {
			continue
		}
		if row := tb.addEnd(c, e); row != nil {
			verdicts = append(verdicts, Transition{Content: c, Row: row, IsHeld: true})
		}
	}
	for _, data := range r.GetServed() {
		c, ok := ParseDigest(data)
		if !ok {
			continue
		}
		if row := tb.clear(c); row.GetHeld() {
			verdicts = append(verdicts, Transition{Content: c, Row: row, Reason: ReasonServed})
		}
	}
	return verdicts
}

// addEnd counts the end of a target during a call. It returns the row if the call, or the part, is
// held back from now on, nil otherwise.
func (tb *Table) addEnd(c Digest, e *statev1.EndedUnder) *statev1.QuarantinedCall {
	old := tb.rows[c]
	if slices.Contains(old.GetTargets(), e.GetTarget()) {
		return nil
	}
	row := &statev1.QuarantinedCall{
		Content: c[:], Targets: append(slices.Clone(old.GetTargets()), e.GetTarget()),
		Weight: old.GetWeight(), Held: old.GetHeld(), Rounds: old.GetRounds(),
		Due: tb.now + suspicionPeriod.Milliseconds(), Cleared: old.GetCleared(),
		Part: e.GetPart(), KnownGood: old.GetKnownGood(), LastEnd: old.GetLastEnd(),
	}
	if !row.GetPart() || old.GetLastEnd() == 0 || tb.now-old.GetLastEnd() >= minEndGap.Milliseconds() {
		row.Weight += min(e.GetWeight(), EarlyEnd)
		if row.GetPart() {
			row.LastEnd = tb.now
		}
	}
	if len(row.GetTargets()) > maxTargetsPerCall {
		row.Targets = row.Targets[1:]
		row.Cleared -= min(1, row.GetCleared())
	}
	if row.GetHeld() {
		// The call was sent before its box learned that it is held back.
		row.Due = old.GetDue()
		tb.put(c, row)
		return nil
	}
	if row.GetRounds() > 0 {
		row.Due = max(old.GetDue(), row.GetDue())
	}
	if row.GetWeight() < thresholdOf(row) {
		tb.put(c, row)
		return nil
	}
	row.Held = true
	row.Rounds++
	row.Due = tb.now + holdPeriod(row.GetRounds()).Milliseconds()
	tb.put(c, row)
	return row
}

// clear clears a call that has succeeded and returns its former row. The new row keeps
// the starts of targets, since a report that is sent again must not count them anew.
func (tb *Table) clear(c Digest) *statev1.QuarantinedCall {
	row := tb.rows[c]
	if row == nil {
		return nil
	}
	tb.remove(c)
	tb.put(c, &statev1.QuarantinedCall{
		Content: c[:], Targets: row.GetTargets(), Cleared: uint32(len(row.GetTargets())), Due: tb.now + suspicionPeriod.Milliseconds(),
		Part: row.GetPart(), KnownGood: row.GetPart(), LastEnd: row.GetLastEnd(),
	})
	return row
}

// Due returns the time at which the next row is due, false if there are no rows.
func (tb *Table) Due() (at int64, any bool) {
	if len(tb.due) == 0 {
		return 0, false
	}
	return tb.rows[tb.due[0]].GetDue(), true
}

// expire applies the passage of time up to at. A call whose hold has ended may run
// again, and its row is kept for the same time again.
func (tb *Table) expire(at int64) []Transition {
	tb.now = max(tb.now, at)
	var released []Transition
	for len(tb.due) > 0 {
		c := tb.due[0]
		row := tb.rows[c]
		if row.GetDue() > tb.now {
			break
		}
		if !row.GetHeld() {
			tb.remove(c)
			continue
		}
		trial := &statev1.QuarantinedCall{
			Content: c[:], Targets: row.GetTargets(), Weight: thresholdOf(row) - EarlyEnd, Rounds: row.GetRounds(),
			Due:  tb.now + holdPeriod(row.GetRounds()).Milliseconds(),
			Part: row.GetPart(), KnownGood: row.GetKnownGood(),
		}
		tb.put(c, trial)
		released = append(released, Transition{Content: c, Row: trial, Reason: ReasonExpired})
	}
	return released
}

func holdPeriod(rounds uint32) time.Duration {
	return holdPeriods[min(int(rounds), len(holdPeriods))-1]
}

// put adds or replaces a row, and evicts another one if the table is full.
func (tb *Table) put(c Digest, row *statev1.QuarantinedCall) {
	tb.removeDue(c)
	if tb.rows[c] == nil && len(tb.rows) >= maxRows {
		tb.remove(tb.lowestWeight())
	}
	tb.rows[c] = row
	at, _ := slices.BinarySearchFunc(tb.due, c, tb.byDue)
	tb.due = slices.Insert(tb.due, at, c)
	tb.updateListed(c, row)
}

// byDue compares contents by the time at which their rows are due. Ties are resolved by
// content, so that a table loaded from a snapshot has the same order.
func (tb *Table) byDue(a, b Digest) int {
	return cmp.Or(cmp.Compare(tb.rows[a].GetDue(), tb.rows[b].GetDue()), slices.Compare(a[:], b[:]))
}

// lowestWeight returns the call with the lowest weight, of several the one that is due first.
func (tb *Table) lowestWeight() Digest {
	best := tb.due[0]
	for _, c := range tb.due {
		if tb.rows[c].GetWeight() < tb.rows[best].GetWeight() {
			best = c
		}
	}
	return best
}

// updateListed sets the listed row of a call, if the call is to be listed. The revision
// increases only if the call was not listed before, or if its weight or whether it is
// held back has changed.
func (tb *Table) updateListed(c Digest, row *statev1.QuarantinedCall) {
	previous := tb.listed[c]
	if !row.GetHeld() && row.GetRounds() == 0 && len(row.GetTargets())-int(row.GetCleared()) < listThreshold {
		return
	}
	next := &statev1.QuarantinedCall{Content: row.GetContent(), Due: row.GetDue(), Held: row.GetHeld(), Rounds: row.GetRounds(), Part: row.GetPart()}
	if !row.GetHeld() {
		next.Weight, next.KnownGood, next.LastEnd = row.GetWeight(), row.GetKnownGood(), row.GetLastEnd()
		for _, t := range row.GetTargets() {
			next.Targets = append(next.Targets, TargetMark(t))
		}
	}
	tb.listed[c] = next
	if previous == nil || previous.GetHeld() != next.GetHeld() || previous.GetWeight() != next.GetWeight() {
		tb.revision = tb.nextNumber(tb.revision)
	}
}

func (tb *Table) remove(c Digest) {
	if tb.rows[c] == nil {
		return
	}
	tb.removeDue(c)
	delete(tb.rows, c)
	if tb.listed[c] != nil {
		delete(tb.listed, c)
		tb.revision = tb.nextNumber(tb.revision)
	}
}

func (tb *Table) removeDue(c Digest) {
	if tb.rows[c] != nil {
		at := slices.Index(tb.due, c)
		tb.due = slices.Delete(tb.due, at, at+1)
	}
}

// nextNumber returns the number that follows n. It is at least the time in milliseconds, so
// that numbers still increase after control has lost its state, and so that copies of
// the table that were loaded from different snapshots arrive at the same numbers.
func (tb *Table) nextNumber(n uint64) uint64 { return max(n+1, uint64(max(0, tb.now))) }

// Snapshot writes the table into a snapshot.
func (tb *Table) Snapshot(s *statev1.Snapshot) {
	s.Quarantine, s.QuarantineRevision, s.QuarantineAt = sorted(tb.rows), tb.revision, tb.now
	s.QuarantineReports = tb.reports
}

// sorted returns the rows sorted by content.
func sorted(rows map[Digest]*statev1.QuarantinedCall) []*statev1.QuarantinedCall {
	list := make([]*statev1.QuarantinedCall, 0, len(rows))
	for _, row := range rows {
		list = append(list, row)
	}
	slices.SortFunc(list, func(a, b *statev1.QuarantinedCall) int { return slices.Compare(a.GetContent(), b.GetContent()) })
	return list
}

// Load restores a table from a snapshot.
func Load(s *statev1.Snapshot) *Table {
	tb := NewTable()
	for _, row := range s.GetQuarantine() {
		if c, ok := ParseDigest(row.GetContent()); ok {
			tb.put(c, row)
		}
	}
	tb.revision, tb.now = s.GetQuarantineRevision(), s.GetQuarantineAt()
	tb.reports = s.GetQuarantineReports()
	return tb
}
