// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"

// compactIfLarge starts a snapshot when the log has reached CompactAfter. Encoding
// a large state takes longer than a lease, so it runs in the background without
// the lock. The caller holds mu.
func (n *Node) compactIfLarge() {
	if n.snapshotting || n.log.Size() < n.opts.CompactAfter {
		return
	}
	n.snapshotting = true
	index := n.applied
	encode := n.opts.Machine.Capture()
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		data, err := encode()
		n.mu.Lock()
		defer n.mu.Unlock()
		n.snapshotting = false
		n.finishCompaction(index, data, err)
	}()
}

// finishCompaction stores a snapshot of the entries applied up to an index, and
// the entries after it. The snapshot is dropped when a newer one was installed by
// a leader in the meantime. The caller holds mu.
func (n *Node) finishCompaction(index uint64, data []byte, err error) {
	if err != nil {
		n.opts.Logger.Error("failed to encode the snapshot of the control state", "error", err)
		return
	}
	if n.checkRunning() != nil || index <= n.core.log.index {
		return
	}
	if err := n.storeSnapshot(index, data); err != nil {
		n.stopLocked(err)
	}
}

func (n *Node) storeSnapshot(index uint64, data []byte) error {
	n.core.Compact(index, data)
	snapshot, err := encodeSnapshot(n.core, data)
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
