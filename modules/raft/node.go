// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/disk"
	"havenwinch.dev/havenwinch/modules/wal"
)

// Transport carries messages to the other members by name.
type Transport interface {
	Vote(ctx context.Context, to string, r *betweenv1.VoteRequest) (*betweenv1.VoteResponse, error)
	Append(ctx context.Context, to string, r *betweenv1.AppendRequest) (*betweenv1.AppendResponse, error)
	Install(ctx context.Context, to string, r *betweenv1.InstallRequest) (*betweenv1.InstallResponse, error)
	Identify(ctx context.Context, to string, r *betweenv1.IdentifyRequest) (*betweenv1.IdentifyResponse, error)
	Join(ctx context.Context, to string, r *betweenv1.JoinRequest) (*betweenv1.JoinResponse, error)
}

// Machine is the deterministic state that the log drives.
type Machine interface {
	// Apply takes one entry in and returns the answer for its proposer.
	Apply(data []byte) any
	// Capture freezes the whole state at once; the function it returns encodes
	// it later, while entries go on being applied.
	Capture() func() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// NodeOptions configure a Node.
type NodeOptions struct {
	Options
	Disk      disk.Disk
	Transport Transport
	Machine   Machine
	Clock     clock.Clock
	Log       *slog.Logger
	// Incarnation names a new disk.
	Incarnation func() string
	// CompactAfter is the size of the log file, in bytes, after which a
	// snapshot is taken.
	CompactAfter int64
}

const (
	defaultCompactAfter = 8 << 20
	// maxBatch bounds the proposals that share one sync.
	maxBatch = 256
	// ticksPerHeartbeat is how often the clock is looked at.
	ticksPerHeartbeat = 3
)

// Node drives a Core: it stores, sends and applies what the Core decides.
type Node struct {
	opts    NodeOptions
	mu      sync.Mutex
	core    *Core
	log     *wal.Log
	stored  Stored
	waiters map[uint64]waiter
	applied uint64
	// inStep is when all that was committed had been applied here.
	inStep time.Duration
	failed error
	// leads is whether this box led after the last step, for the log.
	leads bool
	// capturing is set while a snapshot is encoded in the background.
	capturing bool
	proposals chan proposal
	ctx       context.Context
	sends     sync.WaitGroup
}

type waiter struct {
	term uint64
	done chan outcome
}

type outcome struct {
	answer any
	err    error
}

type proposal struct {
	data []byte
	done chan outcome
}

// NewNode reads the disk. Run starts the node.
func NewNode(opts NodeOptions) (*Node, error) {
	if opts.CompactAfter == 0 {
		opts.CompactAfter = defaultCompactAfter
	}
	log, stored, err := openStore(opts.Disk, opts.Incarnation)
	if err != nil {
		return nil, err
	}
	if len(stored.Members) > 0 {
		opts.Members = namesOf(stored.Members)
	}
	n := &Node{opts: opts, log: log, stored: stored, waiters: map[uint64]waiter{}, proposals: make(chan proposal, maxBatch)}
	n.applied = stored.SnapshotIndex
	if stored.Snapshot != nil {
		if err := opts.Machine.Restore(stored.Snapshot); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Run takes part in the group until the context ends.
func (n *Node) Run(ctx context.Context) error {
	n.ctx = ctx
	if err := n.join(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(n.opts.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.stop(ctx.Err())
			n.sends.Wait()
			return nil
		case <-ticker.C:
			n.step(func(now time.Duration) { n.core.Tick(now) })
		case p := <-n.proposals:
			n.propose(n.batch(p))
		}
	}
}

// batch takes further proposals along that are waiting already.
func (n *Node) batch(first proposal) []proposal {
	batch := []proposal{first}
	for len(batch) < maxBatch {
		select {
		case p := <-n.proposals:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

func (n *Node) propose(batch []proposal) {
	n.step(func(now time.Duration) {
		for _, p := range batch {
			index, term, err := n.core.Propose(p.data, now)
			if err != nil {
				p.done <- outcome{err: errors.WithStack(err)}
				continue
			}
			n.waiters[index] = waiter{term: term, done: p.done}
		}
		n.core.Flush(now)
	})
}

// Propose puts data through the log and returns the machine's answer. An
// ErrNotLeader is certain: nothing happened. After any other error the outcome
// is unknown.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	p := proposal{data: data, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, errors.WithStack(ErrNotLeader{})
	}
	select {
	case o := <-p.done:
		return o.answer, o.err
	case <-ctx.Done():
		return nil, errors.WithStack(ErrOutcomeUnknown{Reason: ctx.Err().Error()})
	}
}

// ReadBarrier returns once the machine shows everything that was committed
// anywhere before the call, or ErrNotLeader.
func (n *Node) ReadBarrier() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.usable(); err != nil {
		return err
	}
	now := n.opts.Clock.Boot()
	if n.core.Lease(now) <= now || n.applied < n.core.commit {
		return errors.WithStack(ErrNotLeader{Leader: n.core.leader})
	}
	return nil
}

// Lease returns the boot time until which this box alone leads, zero when it
// does not.
func (n *Node) Lease() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.usable() != nil {
		return 0
	}
	return n.core.Lease(n.opts.Clock.Boot())
}

// OutOfTouch returns how long ago this box was last known to be in step with
// the group, with all that was committed applied.
func (n *Node) OutOfTouch() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Boot()
	if n.usable() != nil {
		return now
	}
	if n.applied >= n.core.commit {
		n.inStep = max(n.inStep, n.core.InStep(now))
	}
	return now - n.inStep
}

// Status returns a reading for operators.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil {
		return Status{}
	}
	return n.core.Status()
}

// Members returns the names of the group's members in order.
func (n *Node) Members() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core != nil {
		return namesOf(n.core.group)
	}
	return append([]string(nil), n.opts.Members...)
}

func (n *Node) usable() error {
	if n.failed != nil {
		return errors.WithStack(ErrStopped{Reason: n.failed})
	}
	if n.core == nil {
		return errors.WithStack(ErrNotLeader{})
	}
	return nil
}

// step lets the Core decide and carries out what it wants.
func (n *Node) step(decide func(now time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.usable() != nil {
		return
	}
	decide(n.opts.Clock.Boot())
	n.carryOut()
}

// carryOut stores before it applies and applies before it sends; the caller
// holds the lock.
func (n *Node) carryOut() {
	out := n.core.Take()
	if err := n.storeOutput(out); err != nil {
		n.stopLocked(err)
		return
	}
	for _, e := range out.Committed {
		n.apply(e)
	}
	n.dropStale()
	n.compact()
	for _, r := range out.Requests {
		n.dispatch(r)
	}
	n.noteLeading()
}

// noteLeading logs when this box begins or ceases to lead.
func (n *Node) noteLeading() {
	leads := n.core.role == Leader
	if leads == n.leads {
		return
	}
	n.leads = leads
	message := "leads the control group"
	if !leads {
		message = "leads the control group no more"
	}
	n.opts.Log.Info(message, "term", n.core.term, "commit", n.core.commit, "last", n.core.log.last(), "members", len(n.core.group), "all_started_anew", n.core.allFresh)
}

func (n *Node) storeOutput(out Output) error {
	if out.Restore != nil {
		return n.restore(out.Restore)
	}
	if len(out.Records) == 0 {
		return nil
	}
	records, err := encodeRecords(out.Records)
	if err != nil {
		return err
	}
	return n.log.Append(records...)
}

func (n *Node) restore(r *betweenv1.InstallRequest) error {
	snapshot, err := snapshotOf(n.core, r.GetData())
	if err != nil {
		return err
	}
	if err := n.log.Compact(snapshot); err != nil {
		return err
	}
	if err := n.opts.Machine.Restore(r.GetData()); err != nil {
		return err
	}
	n.applied = r.GetLastIndex()
	return nil
}

func (n *Node) apply(e *betweenv1.LogEntry) {
	var answer any
	if e.GetKind() == betweenv1.LogEntry_KIND_DATA {
		answer = n.opts.Machine.Apply(e.GetData())
	}
	n.applied = e.GetIndex()
	w, ok := n.waiters[e.GetIndex()]
	if !ok {
		return
	}
	delete(n.waiters, e.GetIndex())
	if w.term != e.GetTerm() {
		w.done <- outcome{err: errors.WithStack(ErrOutcomeUnknown{Reason: "the leader changed"})}
		return
	}
	w.done <- outcome{answer: answer}
}

// dropStale answers proposers whose entries this box no longer decides on.
func (n *Node) dropStale() {
	if n.core.role == Leader || len(n.waiters) == 0 {
		return
	}
	for index, w := range n.waiters {
		w.done <- outcome{err: errors.WithStack(ErrOutcomeUnknown{Reason: "the leader changed"})}
		delete(n.waiters, index)
	}
}

func (n *Node) stop(reason error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopLocked(reason)
	_ = n.log.Close()
}

func (n *Node) stopLocked(reason error) {
	if n.failed != nil {
		return
	}
	n.failed = reason
	n.opts.Log.Warn("left the control group", "reason", reason.Error())
	for index, w := range n.waiters {
		w.done <- outcome{err: errors.WithStack(ErrOutcomeUnknown{Reason: reason.Error()})}
		delete(n.waiters, index)
	}
}

// Failed returns why the node takes no part any more, nil while it does.
func (n *Node) Failed() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failed
}
