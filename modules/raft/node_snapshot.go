// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"

// compact takes a snapshot when the log has grown. Encoding a large state takes
// longer than a lease, so it is done beside the lock; the caller holds it.
func (n *Node) compact() {
	if n.capturing || n.log.Size() < n.opts.CompactAfter {
		return
	}
	n.capturing = true
	index := n.applied
	encode := n.opts.Machine.Capture()
	n.sends.Add(1)
	go func() {
		defer n.sends.Done()
		data, err := encode()
		n.mu.Lock()
		defer n.mu.Unlock()
		n.capturing = false
		n.compactTo(index, data, err)
	}()
}

// compactTo stores a snapshot of what was applied up to an index, and the
// entries after it. One that a snapshot from elsewhere has overtaken is dropped.
func (n *Node) compactTo(index uint64, data []byte, err error) {
	if err != nil {
		n.opts.Log.Error("the control state could not be encoded", "error", err)
		return
	}
	if n.usable() != nil || index <= n.core.log.index {
		return
	}
	if err := n.storeSnapshot(index, data); err != nil {
		n.stopLocked(err)
	}
}

func (n *Node) storeSnapshot(index uint64, data []byte) error {
	n.core.Compact(index, data)
	snapshot, err := snapshotOf(n.core, data)
	if err != nil {
		return err
	}
	var records []*betweenv1.LogRecord
	for _, e := range n.core.log.list {
		records = append(records, &betweenv1.LogRecord{Record: &betweenv1.LogRecord_Entry{Entry: e}})
	}
	encoded, err := encodeRecords(records)
	if err != nil {
		return err
	}
	return n.log.Compact(snapshot, encoded...)
}
