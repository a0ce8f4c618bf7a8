// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"slices"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Weights of the ends of targets. A call that ends its target does so when it
// begins to run, so an end before anything of the answer had come weighs more. A
// stream that has begun shares its target's end by chance: with 58 events it is
// there ten times as long after its first event as before it.
const (
	EarlyEnd uint32 = 2
	LateEnd  uint32 = 1
	// heldWeight is the weight from which on a call is held back: three early ends
	// of different starts. Of 100,000 calls none reached it by chance while each of
	// 18 targets crashed once in 20 s (chance_test.go).
	heldWeight = 3 * EarlyEnd
	// listedTargets is how many ends make a call known to all boxes, so that any
	// of them can say that it ended well there. One end is common: a crash of one
	// target strikes all calls that run there.
	listedTargets = 2
)

// Weight returns how much the end of a target counts against a call.
func Weight(early bool) uint32 {
	if early {
		return EarlyEnd
	}
	return LateEnd
}

const (
	// suspectFor is how long after its last end a call is suspected.
	suspectFor = 10 * time.Minute
	// maxRows bounds the calls that are known, about 150 bytes each. The ones with
	// the least weight give way: a crash of many targets strikes many calls once.
	maxRows = 2048
	// maxTargets is how many starts of targets a row names.
	maxTargets = 8
)

// heldFor is how long a call is held back the first time, the second and so on.
// When the time is over it may run again, and one further end holds it back anew.
// Each such trial costs a target with all its calls, so few are made a day.
var heldFor = [...]time.Duration{10 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// Table holds the calls under which targets ended. Times are in milliseconds on
// any one clock, and the same reports in the same order give the same table
// anywhere. Rows are replaced and never changed. It is not safe for concurrent use.
type Table struct {
	rows map[Content]*statev1.QuarantinedCall
	// listed are the rows that all boxes are told of, with marks in place of targets;
	// revision rises with them.
	listed   map[Content]*statev1.QuarantinedCall
	revision uint64
	// due holds the contents of all rows in the order in which they are due.
	due []Content
	now int64
	// reports is the number of the last report that was taken in.
	reports uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[Content]*statev1.QuarantinedCall{}, listed: map[Content]*statev1.QuarantinedCall{}}
}

// Verdict is a call that a report has held back or released.
type Verdict struct {
	Content Content
	Row     *statev1.QuarantinedCall
	// Held is false for a call that is released.
	Held bool
	// Reason says why it was released.
	Reason string
}

// Reasons for a release.
const (
	ReasonServed = "it ended well"
	ReasonOver   = "its time is over"
)

// Len returns how many calls are known.
func (tb *Table) Len() int { return len(tb.rows) }

// Revision rises with every change of the listed rows.
func (tb *Table) Revision() uint64 { return tb.revision }

// Reports returns the number of the last report that was taken in.
func (tb *Table) Reports() uint64 { return tb.reports }

// Listed returns the rows that all boxes are told of: calls that are held back,
// were before, or under which some targets ended.
func (tb *Table) Listed() []*statev1.QuarantinedCall { return sorted(tb.listed) }

// Row returns what is known of a call, nil when nothing.
func (tb *Table) Row(c Content) *statev1.QuarantinedCall { return tb.rows[c] }

// Take takes a report in and returns what it has held back and released. Reports
// may be repeated: an end counts once for each start of a target.
func (tb *Table) Take(r *statev1.ReportCalls) []Verdict {
	verdicts := tb.expire(r.GetAt())
	tb.reports = tb.after(tb.reports)
	for _, e := range r.GetEnded() {
		c, ok := ContentOf(e.GetContent())
		if !ok {
			continue
		}
		if row := tb.ended(c, e.GetTarget(), e.GetWeight()); row != nil {
			verdicts = append(verdicts, Verdict{Content: c, Row: row, Held: true})
		}
	}
	for _, data := range r.GetServed() {
		c, ok := ContentOf(data)
		if !ok {
			continue
		}
		if row := tb.served(c); row.GetHeld() {
			verdicts = append(verdicts, Verdict{Content: c, Row: row, Reason: ReasonServed})
		}
	}
	return verdicts
}

// ended counts the end of a target under a call. It returns the row when that has
// held the call back, nil otherwise.
func (tb *Table) ended(c Content, target string, weight uint32) *statev1.QuarantinedCall {
	old := tb.rows[c]
	if slices.Contains(old.GetTargets(), target) {
		return nil
	}
	row := &statev1.QuarantinedCall{
		Content: c[:], Targets: append(slices.Clone(old.GetTargets()), target),
		Weight: old.GetWeight() + min(weight, EarlyEnd), Held: old.GetHeld(), Rounds: old.GetRounds(),
		Due: tb.now + suspectFor.Milliseconds(), Cleared: old.GetCleared(),
	}
	if len(row.GetTargets()) > maxTargets {
		row.Targets = row.Targets[1:]
		row.Cleared -= min(1, row.GetCleared())
	}
	if row.GetHeld() {
		// It was on its way before the box had heard of it.
		row.Due = old.GetDue()
		tb.put(c, row)
		return nil
	}
	if row.GetRounds() > 0 {
		row.Due = max(old.GetDue(), row.GetDue())
	}
	if row.GetWeight() < heldWeight {
		tb.put(c, row)
		return nil
	}
	row.Held = true
	row.Rounds++
	row.Due = tb.now + holdTime(row.GetRounds()).Milliseconds()
	tb.put(c, row)
	return row
}

// served clears a call that has ended well, and returns what was known of it. The
// starts of targets stay known: a report that is sent again must not count them anew.
func (tb *Table) served(c Content) *statev1.QuarantinedCall {
	row := tb.rows[c]
	if row == nil {
		return nil
	}
	tb.remove(c)
	tb.put(c, &statev1.QuarantinedCall{
		Content: c[:], Targets: row.GetTargets(), Cleared: uint32(len(row.GetTargets())), Due: tb.now + suspectFor.Milliseconds(),
	})
	return row
}

// Due returns when the next row is due, and false when there is none.
func (tb *Table) Due() (at int64, any bool) {
	if len(tb.due) == 0 {
		return 0, false
	}
	return tb.rows[tb.due[0]].GetDue(), true
}

// expire brings the table up to a time. A call whose time is over may run again
// and stays known for as long again.
func (tb *Table) expire(at int64) []Verdict {
	tb.now = max(tb.now, at)
	var released []Verdict
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
			Content: c[:], Targets: row.GetTargets(), Weight: heldWeight - EarlyEnd, Rounds: row.GetRounds(),
			Due: tb.now + holdTime(row.GetRounds()).Milliseconds(),
		}
		tb.put(c, trial)
		released = append(released, Verdict{Content: c, Row: trial, Reason: ReasonOver})
	}
	return released
}

func holdTime(rounds uint32) time.Duration { return heldFor[min(int(rounds), len(heldFor))-1] }

// put replaces a row.
func (tb *Table) put(c Content, row *statev1.QuarantinedCall) {
	tb.unqueue(c)
	if tb.rows[c] == nil && len(tb.rows) >= maxRows {
		tb.remove(tb.least())
	}
	tb.rows[c] = row
	at, _ := slices.BinarySearchFunc(tb.due, c, tb.byDue)
	tb.due = slices.Insert(tb.due, at, c)
	tb.list(c, row)
}

// byDue orders contents by when their rows are due; equal ones by themselves, so
// that a table that was loaded has the same order.
func (tb *Table) byDue(a, b Content) int {
	return cmp.Or(cmp.Compare(tb.rows[a].GetDue(), tb.rows[b].GetDue()), slices.Compare(a[:], b[:]))
}

// least returns the call with the least weight, of these the one that is due first.
func (tb *Table) least() Content {
	best := tb.due[0]
	for _, c := range tb.due {
		if tb.rows[c].GetWeight() < tb.rows[best].GetWeight() {
			best = c
		}
	}
	return best
}

func (tb *Table) list(c Content, row *statev1.QuarantinedCall) {
	known := tb.listed[c]
	if !row.GetHeld() && row.GetRounds() == 0 && len(row.GetTargets())-int(row.GetCleared()) < listedTargets {
		return
	}
	told := &statev1.QuarantinedCall{Content: row.GetContent(), Due: row.GetDue(), Held: row.GetHeld(), Rounds: row.GetRounds()}
	if !row.GetHeld() {
		told.Weight = row.GetWeight()
		for _, t := range row.GetTargets() {
			told.Targets = append(told.Targets, Mark(t))
		}
	}
	tb.listed[c] = told
	if known == nil || known.GetHeld() != told.GetHeld() || known.GetWeight() != told.GetWeight() {
		tb.revision = tb.after(tb.revision)
	}
}

func (tb *Table) remove(c Content) {
	if tb.rows[c] == nil {
		return
	}
	tb.unqueue(c)
	delete(tb.rows, c)
	if tb.listed[c] != nil {
		delete(tb.listed, c)
		tb.revision = tb.after(tb.revision)
	}
}

func (tb *Table) unqueue(c Content) {
	if tb.rows[c] != nil {
		at := slices.Index(tb.due, c)
		tb.due = slices.Delete(tb.due, at, at+1)
	}
}

// after returns the number that follows one: at least the time in milliseconds, so that
// numbers go on rising when control has lost its state, and copies of the table that
// began from different snapshots come to the same ones.
func (tb *Table) after(n uint64) uint64 { return max(n+1, uint64(max(0, tb.now))) }

// Snapshot puts the table into a snapshot.
func (tb *Table) Snapshot(s *statev1.Snapshot) {
	s.Quarantine, s.QuarantineRevision, s.QuarantineAt = sorted(tb.rows), tb.revision, tb.now
	s.QuarantineReports = tb.reports
}

// sorted returns rows in the order of their contents.
func sorted(rows map[Content]*statev1.QuarantinedCall) []*statev1.QuarantinedCall {
	list := make([]*statev1.QuarantinedCall, 0, len(rows))
	for _, row := range rows {
		list = append(list, row)
	}
	slices.SortFunc(list, func(a, b *statev1.QuarantinedCall) int { return slices.Compare(a.GetContent(), b.GetContent()) })
	return list
}

// Load returns the table of a snapshot.
func Load(s *statev1.Snapshot) *Table {
	tb := NewTable()
	for _, row := range s.GetQuarantine() {
		if c, ok := ContentOf(row.GetContent()); ok {
			tb.put(c, row)
		}
	}
	tb.revision, tb.now = s.GetQuarantineRevision(), s.GetQuarantineAt()
	tb.reports = s.GetQuarantineReports()
	return tb
}
