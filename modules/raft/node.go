// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/disk"
	"havenwinch.dev/havenwinch/modules/wal"
)

// Transport sends requests to other control boxes by name.
type Transport interface {
	Vote(ctx context.Context, to string, r *betweenv1.VoteRequest) (*betweenv1.VoteResponse, error)
	Append(ctx context.Context, to string, r *betweenv1.AppendRequest) (*betweenv1.AppendResponse, error)
	Install(ctx context.Context, to string, r *betweenv1.InstallRequest) (*betweenv1.InstallResponse, error)
	Identify(ctx context.Context, to string, r *betweenv1.IdentifyRequest) (*betweenv1.IdentifyResponse, error)
	Join(ctx context.Context, to string, r *betweenv1.JoinRequest) (*betweenv1.JoinResponse, error)
}

// Machine is the deterministic state machine that the log is applied to.
type Machine interface {
	// Apply applies one entry and returns the result for its proposer.
	Apply(data []byte) any
	// Capture takes a consistent copy of the whole state. The function that it
	// returns encodes the copy and may run while further entries are applied.
	Capture() func() ([]byte, error)
	// Restore replaces the whole state by an encoded one.
	Restore(data []byte) error
}

// NodeOptions configure a Node.
type NodeOptions struct {
	Options
	Disk      disk.Disk
	Transport Transport
	Machine   Machine
	Clock     clock.Clock
	Logger    *slog.Logger
	// NewIncarnation returns a random identifier for a new disk.
	NewIncarnation func() string
	// CompactAfter is the size of the log file, in bytes, from which a snapshot
	// is taken; zero means 8 MiB.
	CompactAfter int64
}

const (
	defaultCompactAfter = 8 << 20
	// maxBatch limits the proposals that share one sync.
	maxBatch = 256
	// lostCampaignInterval is the minimum time between log lines on lost campaigns.
	lostCampaignInterval = time.Second
	// ticksPerHeartbeat is the number of ticks of the Core per heartbeat interval.
	ticksPerHeartbeat = 3
)

// Node runs a Core: it stores, applies and sends the Core's output. Its methods
// are safe for concurrent use.
type Node struct {
	opts    NodeOptions
	mu      sync.Mutex
	core    *Core
	log     *wal.Log
	stored  Stored
	waiters map[uint64]waiter
	applied uint64
	// caughtUpAt is when this box was last known to have applied every committed
	// entry.
	caughtUpAt time.Duration
	// stopErr is why the node has stopped, nil while it runs.
	stopErr error
	// wasLeader is whether this box was leader after the last step, to log changes.
	wasLeader bool
	// lostCampaignLogged is when a lost campaign was last logged, zero if never.
	lostCampaignLogged time.Duration
	// snapshotting is set while a snapshot is encoded in the background.
	snapshotting bool
	proposals    chan proposal
	ctx          context.Context
	// background counts the goroutines that send requests or encode a snapshot.
	background sync.WaitGroup
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

// NewNode reads the disk and restores the state machine from the stored
// snapshot. Run starts the node.
func NewNode(opts NodeOptions) (*Node, error) {
	if opts.CompactAfter == 0 {
		opts.CompactAfter = defaultCompactAfter
	}
	log, stored, err := openStore(opts.Disk, opts.NewIncarnation)
	if err != nil {
		return nil, err
	}
	if len(stored.Members) > 0 {
		opts.Members = memberNames(stored.Members)
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

// Run joins the group and takes part in it until the context is cancelled. A node
// that stopped because its disk failed still waits for the context.
func (n *Node) Run(ctx context.Context) error {
	n.ctx = ctx
	if err := n.join(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(n.opts.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.stop(ctx.Err())
			n.background.Wait()
			return nil
		case <-ticker.C:
			n.step(func(now time.Duration) { n.core.Tick(now) })
		case p := <-n.proposals:
			n.propose(n.collectBatch(p))
		}
	}
}

// collectBatch returns first with the proposals that are already queued.
func (n *Node) collectBatch(first proposal) []proposal {
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

// Propose replicates data through the log and returns the state machine's result.
// ErrNotLeader means that nothing was proposed. After any other error it is
// unknown whether the entry takes effect.
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

// ReadBarrier reports whether the state machine can serve a linearizable read
// now: nil means that it reflects every entry committed before the call. It
// returns ErrNotLeader when this box holds no lease or has not applied every
// committed entry. It does not wait.
func (n *Node) ReadBarrier() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkRunning(); err != nil {
		return err
	}
	now := n.opts.Clock.Boot()
	if n.core.Lease(now) <= now || n.applied < n.core.commit {
		return errors.WithStack(ErrNotLeader{Leader: n.core.leader})
	}
	return nil
}

// Lease returns the boot clock's reading until which no other box can be leader,
// zero when this box is not leader.
func (n *Node) Lease() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.checkRunning() != nil {
		return 0
	}
	return n.core.Lease(n.opts.Clock.Boot())
}

// OutOfTouch returns how long ago this box was last known to have applied every
// committed entry of the group.
func (n *Node) OutOfTouch() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Boot()
	if n.checkRunning() != nil {
		return now
	}
	if n.applied >= n.core.commit {
		n.caughtUpAt = max(n.caughtUpAt, n.core.CaughtUpAt(now))
	}
	return now - n.caughtUpAt
}

// Status returns the state of the Core, an empty one before the group is joined.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil {
		return Status{}
	}
	return n.core.Status()
}

// Members returns the sorted names of the group's members; before the group is
// joined, those that the node was configured with or that its disk held.
func (n *Node) Members() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core != nil {
		return memberNames(n.core.effectiveMembers)
	}
	return append([]string(nil), n.opts.Members...)
}

// checkRunning returns nil while the node takes part in the group. The caller
// holds mu.
func (n *Node) checkRunning() error {
	if n.stopErr != nil {
		return errors.WithStack(ErrStopped{Reason: n.stopErr})
	}
	if n.core == nil {
		return errors.WithStack(ErrNotLeader{})
	}
	return nil
}

// step runs decide on the Core and processes the output. It does nothing when the
// node does not take part in the group.
func (n *Node) step(decide func(now time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.checkRunning() != nil {
		return
	}
	decide(n.opts.Clock.Boot())
	n.processOutput()
}

// processOutput stores, then applies, then sends: nothing is applied or sent that
// a crash could lose. The caller holds mu.
func (n *Node) processOutput() {
	out := n.core.TakeOutput()
	if err := n.storeOutput(out); err != nil {
		n.stopLocked(err)
		return
	}
	for _, e := range out.Committed {
		n.apply(e)
	}
	n.failWaiters()
	n.compactIfLarge()
	for _, r := range out.Requests {
		n.sendAsync(r)
	}
	n.logLeadership()
	n.logLostCampaign(out.LostCampaign)
}

// logLeadership logs when this box becomes leader or ceases to be.
func (n *Node) logLeadership() {
	leads := n.core.role == Leader
	if leads == n.wasLeader {
		return
	}
	n.wasLeader = leads
	message := "leads the control group"
	if !leads {
		message = "leads the control group no more"
	}
	n.opts.Logger.Info(message, "term", n.core.term, "commit", n.core.commit, "last", n.core.log.last(), "members", len(n.core.effectiveMembers), "all_started_anew", n.core.allFresh)
}

// logLostCampaign logs why a campaign of this box led to no leader, at most once
// per lostCampaignInterval. The caller holds mu.
func (n *Node) logLostCampaign(lost *LostCampaign) {
	now := n.opts.Clock.Boot()
	if lost == nil || n.lostCampaignLogged != 0 && now-n.lostCampaignLogged < lostCampaignInterval {
		return
	}
	n.lostCampaignLogged = now
	answers := make(map[string]string, len(lost.Members))
	for name, incarnation := range lost.Members {
		if name != n.opts.Self {
			answers[name] = describeAnswer(lost.Answers[name], incarnation)
		}
	}
	n.opts.Logger.Warn("no leader was elected", "term", n.core.term, "commit", n.core.commit, "last", n.core.log.last(), "last_term", n.core.log.lastTerm(), "disk", n.core.incarnation, "counted_as", lost.Members[n.opts.Self], "answers", answers)
}

// describeAnswer describes a member's answer to a vote request for the logs.
func describeAnswer(r *betweenv1.VoteResponse, admitted string) string {
	switch {
	case r == nil:
		return "no answer"
	case r.GetIncarnation() != admitted:
		return fmt.Sprintf("not counted: its disk is %s, the admitted one %s", r.GetIncarnation(), admitted)
	case r.GetGranted():
		return "granted"
	}
	reason := strings.TrimPrefix(r.GetRefusal().String(), "VOTE_REFUSAL_")
	return fmt.Sprintf("refused in term %d: %s", r.GetTerm(), strings.ToLower(reason))
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
	snapshot, err := encodeSnapshot(n.core, r.GetData())
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

// failWaiters fails all waiting proposals once this box is no longer leader, since
// it can't tell whether their entries will be committed.
func (n *Node) failWaiters() {
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
	if n.stopErr != nil {
		return
	}
	n.stopErr = reason
	n.opts.Logger.Warn("left the control group", "reason", reason.Error())
	for index, w := range n.waiters {
		w.done <- outcome{err: errors.WithStack(ErrOutcomeUnknown{Reason: reason.Error()})}
		delete(n.waiters, index)
	}
}

// Err returns the reason why the node has stopped, nil while it runs.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopErr
}
