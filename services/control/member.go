// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/modules/disk"
	"havenwinch.dev/havenwinch/modules/periodic"
	"havenwinch.dev/havenwinch/modules/raft"
)

const (
	// discoverInterval is the delay between two attempts to get the members from the
	// seeds.
	discoverInterval = 200 * time.Millisecond
	// healthCheckInterval is how often the node's health is checked, and reopenDelay the
	// delay before a failed disk is opened again.
	healthCheckInterval = 250 * time.Millisecond
	reopenDelay         = 500 * time.Millisecond
)

// MemberOptions configure a Member. The name of a member is its address.
type MemberOptions struct {
	Self  string
	Seeds func() []string
	// FirstStart means that the whole group starts for the first time, so that the
	// seeds are its members.
	FirstStart bool
	Disk       disk.Disk
	Transport  raft.Transport
	Machine    *Machine
	// Node returns the options of a node in a group of the given members.
	Node   func(members []string) raft.NodeOptions
	Logger *slog.Logger
}

// Member runs the Raft node of a control box. It learns the members of the control
// group from the seeds. A box that is not a member follows as a learner and may
// replace a member that does not respond. After a disk failure the disk is reopened
// and the node restarted.
type Member struct {
	opts MemberOptions

	mu   sync.Mutex
	node *raft.Node
}

// NewMember returns a member that joins the group once Run is called.
func NewMember(opts MemberOptions) *Member { return &Member{opts: opts} }

// Run runs the node, and restarts it after failures, until the context is done.
func (m *Member) Run(ctx context.Context) {
	for ctx.Err() == nil {
		members, err := m.discover(ctx)
		if err != nil {
			return
		}
		if err := m.runNode(ctx, members); err != nil && ctx.Err() == nil {
			m.opts.Logger.Error("dependency lost", "dependency", "disk", "reason", err.Error())
		}
		periodic.Sleep(ctx, reopenDelay)
	}
}

// runNode runs a node until it fails or the context is done.
func (m *Member) runNode(ctx context.Context, members []string) error {
	m.opts.Machine.Reset()
	opts := m.opts.Node(members)
	node, err := raft.NewNode(opts)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.setNode(node)
	defer m.setNode(nil)
	m.opts.Logger.Info("dependency regained", "dependency", "disk", "members", members)
	go m.checkHealth(ctx, node, cancel)
	go m.maintainMembership(ctx, node)
	if err := node.Run(ctx); err != nil {
		return err
	}
	return node.Err()
}

func (m *Member) checkHealth(ctx context.Context, node *raft.Node, failed context.CancelFunc) {
	for ctx.Err() == nil && node.Err() == nil {
		periodic.Sleep(ctx, healthCheckInterval)
	}
	failed()
}

// maintainMembership requests to join while the box is not a member, and detects when the
// group has removed it.
func (m *Member) maintainMembership(ctx context.Context, node *raft.Node) {
	for ctx.Err() == nil {
		periodic.Sleep(ctx, joinInterval)
		switch {
		case !node.Status().IsVoter:
			m.requestJoin(ctx, node)
		case node.OutOfTouch() > membershipCheckAfter:
			if resp := m.identify(ctx, m.otherBoxes(node)); resp != nil {
				node.Leave(resp)
			}
		}
	}
}

const (
	// joinInterval is how often the box's membership is checked.
	joinInterval = 500 * time.Millisecond
	// membershipCheckAfter is how long a member may be out of contact with the group before
	// it asks others whether it still is a member.
	membershipCheckAfter = 2 * time.Second
)

// otherBoxes returns the known members and the seeds, without this box.
func (m *Member) otherBoxes(node *raft.Node) []string {
	list := append(node.Members(), m.opts.Seeds()...)
	slices.Sort(list)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(name string) bool { return name == m.opts.Self })
}

// requestJoin sends a join request to the leader, if it is known, and then to the
// other boxes until one accepts it.
func (m *Member) requestJoin(ctx context.Context, node *raft.Node) {
	order := m.otherBoxes(node)
	if leader := node.Status().Leader; leader != "" {
		order = append([]string{leader}, order...)
	}
	for _, name := range order {
		ask, cancel := context.WithTimeout(ctx, joinInterval)
		_, err := m.opts.Transport.Join(ask, name, &betweenv1.JoinRequest{Box: m.opts.Self})
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}

func (m *Member) setNode(node *raft.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node = node
}

// discover returns the group's members: those stored on this disk, those that a
// seed knows, or else the seeds themselves, if this box is one of them and either
// the group starts for the first time or all other seeds answer that they know none.
func (m *Member) discover(ctx context.Context) ([]string, error) {
	stored, err := raft.StoredMembers(m.opts.Disk)
	if err != nil {
		m.opts.Logger.Error("failed to read the group members from the disk", "reason", err.Error())
	}
	if len(stored) > 0 {
		return stored, nil
	}
	for ctx.Err() == nil {
		seeds := m.opts.Seeds()
		seed := slices.Contains(seeds, m.opts.Self)
		if m.opts.FirstStart && seed {
			return seeds, nil
		}
		members, empty := m.askSeeds(ctx, seeds)
		if len(members) > 0 {
			return members, nil
		}
		if seed && empty == len(seeds)-1 {
			return seeds, nil
		}
		periodic.Sleep(ctx, discoverInterval)
	}
	return nil, ctx.Err()
}

// askSeeds returns the members that the first seed with any knows, and how many of
// the seeds asked answered that they know none.
func (m *Member) askSeeds(ctx context.Context, seeds []string) (members []string, empty int) {
	for _, seed := range seeds {
		if seed == m.opts.Self {
			continue
		}
		resp := m.identify(ctx, []string{seed})
		switch {
		case resp == nil:
		case len(resp.GetMembers()) == 0:
			empty++
		default:
			for _, member := range resp.GetMembers() {
				members = append(members, member.GetBox())
			}
			return members, empty
		}
	}
	return nil, empty
}

// identify asks boxes in turn and returns the first answer, or nil if there is none.
func (m *Member) identify(ctx context.Context, names []string) *betweenv1.IdentifyResponse {
	for _, name := range names {
		ask, cancel := context.WithTimeout(ctx, 2*discoverInterval)
		resp, err := m.opts.Transport.Identify(ask, name, &betweenv1.IdentifyRequest{})
		cancel()
		if err == nil {
			return resp
		}
	}
	return nil
}

// Node returns the running node, or raft.ErrNotLeader if there is none.
func (m *Member) Node() (*raft.Node, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node == nil {
		return nil, errors.WithStack(raft.ErrNotLeader{})
	}
	return m.node, nil
}

// Members returns the addresses of the group's members, nil while no node runs.
func (m *Member) Members() []string {
	node, err := m.Node()
	if err != nil {
		return nil
	}
	return node.Members()
}

// Propose implements Log.
func (m *Member) Propose(ctx context.Context, data []byte) (any, error) {
	node, err := m.Node()
	if err != nil {
		return nil, err
	}
	return node.Propose(ctx, data)
}

// ReadBarrier implements Log.
func (m *Member) ReadBarrier() error {
	node, err := m.Node()
	if err != nil {
		return err
	}
	return node.ReadBarrier()
}

// OutOfStep returns how long ago this box was last known to be in sync with the
// group: an hour while no node runs.
func (m *Member) OutOfStep() time.Duration {
	node, err := m.Node()
	if err != nil {
		return time.Hour
	}
	return node.OutOfTouch()
}
