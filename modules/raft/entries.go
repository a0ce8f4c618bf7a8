// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"

// entries is the part of the log that follows a snapshot. index and term are those
// of the last entry that the snapshot covers, zero without a snapshot.
type entries struct {
	index uint64
	term  uint64
	list  []*betweenv1.LogEntry
}

func (l *entries) last() uint64 { return l.index + uint64(len(l.list)) }

func (l *entries) lastTerm() uint64 { return l.termAt(l.last()) }

// at returns the entry at an index, nil when the log does not hold it.
func (l *entries) at(index uint64) *betweenv1.LogEntry {
	if index <= l.index || index > l.last() {
		return nil
	}
	return l.list[index-l.index-1]
}

// termAt returns the term of the entry at an index, zero when it is not known.
func (l *entries) termAt(index uint64) uint64 {
	if index == l.index {
		return l.term
	}
	if e := l.at(index); e != nil {
		return e.GetTerm()
	}
	return 0
}

// put stores an entry at its index, in place of any entries from there on.
func (l *entries) put(e *betweenv1.LogEntry) {
	keep := e.GetIndex() - l.index - 1
	l.list = append(l.list[:keep:keep], e)
}

// from returns up to n entries starting at an index.
func (l *entries) from(index uint64, n int) []*betweenv1.LogEntry {
	if index <= l.index || index > l.last() {
		return nil
	}
	rest := l.list[index-l.index-1:]
	return rest[:min(n, len(rest)):min(n, len(rest))]
}

// compactTo drops the entries up to and including an index, which the log must
// hold.
func (l *entries) compactTo(index uint64) {
	term := l.termAt(index)
	l.list = append([]*betweenv1.LogEntry(nil), l.list[index-l.index:]...)
	l.index, l.term = index, term
}

// reset drops all entries and continues after the given snapshot position.
func (l *entries) reset(index, term uint64) {
	l.index, l.term, l.list = index, term, nil
}
