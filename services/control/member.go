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
	// discoverPause is the time between questions to the seeds.
	discoverPause = 200 * time.Millisecond
	// failureCheck is the time between looks at the node's health, and
	// reopenPause the time before a disk that failed is opened again.
	failureCheck = 250 * time.Millisecond
	reopenPause  = 500 * time.Millisecond
)

// MemberOptions configure a Member. Names of members are their addresses.
type MemberOptions struct {
	Self  string
	Seeds func() []string
	// FirstStart says that the whole group starts for the first time.
	FirstStart bool
	Disk       disk.Disk
	Transport  raft.Transport
	Machine    *Machine
	// Node makes the options of a node for the members given.
	Node   func(members []string) raft.NodeOptions
	Logger *slog.Logger
}

// Member is a control box's part in the control group. It finds out from the
// seeds who belongs to the group; a box that does not follows as a learner and
// may take a silent member's place. After a failure of the disk it opens the
// disk anew and takes part again.
type Member struct {
	opts MemberOptions

	mu   sync.Mutex
	node *raft.Node
}

// NewMember returns a member; Run brings it into the group.
func NewMember(opts MemberOptions) *Member { return &Member{opts: opts} }

// Run takes part until the context ends.
func (m *Member) Run(ctx context.Context) {
	for ctx.Err() == nil {
		members, err := m.discover(ctx)
		if err != nil {
			return
		}
		if err := m.take(ctx, members); err != nil && ctx.Err() == nil {
			m.opts.Logger.Error("dependency lost", "dependency", "disk", "reason", err.Error())
		}
		periodic.Sleep(ctx, reopenPause)
	}
}

// take runs a node until it fails or the context ends.
func (m *Member) take(ctx context.Context, members []string) error {
	m.opts.Machine.Reset()
	opts := m.opts.Node(members)
	node, err := raft.NewNode(opts)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.set(node)
	defer m.set(nil)
	m.opts.Logger.Info("dependency regained", "dependency", "disk", "members", members)
	go m.checkHealth(ctx, node, cancel)
	go m.keepPlace(ctx, node)
	if err := node.Run(ctx); err != nil {
		return err
	}
	return node.Failed()
}

func (m *Member) checkHealth(ctx context.Context, node *raft.Node, failed context.CancelFunc) {
	for ctx.Err() == nil && node.Failed() == nil {
		periodic.Sleep(ctx, failureCheck)
	}
	failed()
}

// keepPlace asks to follow while the box is no member, and finds out when the
// group goes on without it.
func (m *Member) keepPlace(ctx context.Context, node *raft.Node) {
	for ctx.Err() == nil {
		periodic.Sleep(ctx, joinInterval)
		switch {
		case !node.Status().Member:
			m.askToJoin(ctx, node)
		case node.OutOfTouch() > leftAfter:
			if resp := m.identify(ctx, m.others(node)); resp != nil {
				node.Leave(resp)
			}
		}
	}
}

const (
	// joinInterval is the time between looks at the box's place in the group.
	joinInterval = 500 * time.Millisecond
	// leftAfter is how long a member hears nothing before it asks whether it
	// still is one.
	leftAfter = 2 * time.Second
)

// others returns all boxes that may know the group.
func (m *Member) others(node *raft.Node) []string {
	list := append(node.Members(), m.opts.Seeds()...)
	slices.Sort(list)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(name string) bool { return name == m.opts.Self })
}

// askToJoin asks the leader, or whoever may know it.
func (m *Member) askToJoin(ctx context.Context, node *raft.Node) {
	order := m.others(node)
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

func (m *Member) set(node *raft.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node = node
}

// discover returns the group's members: those on this disk, those that a seed
// knows, or the seeds themselves when none of them knows any.
func (m *Member) discover(ctx context.Context) ([]string, error) {
	stored, err := raft.StoredMembers(m.opts.Disk)
	if err != nil {
		m.opts.Logger.Error("the disk can't be read", "reason", err.Error())
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
		periodic.Sleep(ctx, discoverPause)
	}
	return nil, ctx.Err()
}

// askSeeds returns the members that a seed knows, and how many know none.
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

// identify returns the first answer of some boxes, nil when none answers.
func (m *Member) identify(ctx context.Context, names []string) *betweenv1.IdentifyResponse {
	for _, name := range names {
		ask, cancel := context.WithTimeout(ctx, 2*discoverPause)
		resp, err := m.opts.Transport.Identify(ask, name, &betweenv1.IdentifyRequest{})
		cancel()
		if err == nil {
			return resp
		}
	}
	return nil
}

// Node returns the node that takes part at present, or an error.
func (m *Member) Node() (*raft.Node, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node == nil {
		return nil, errors.WithStack(raft.ErrNotLeader{})
	}
	return m.node, nil
}

// Members returns the addresses of the group's members, none while unknown.
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

// OutOfStep returns how long ago this box was in step with the group.
func (m *Member) OutOfStep() time.Duration {
	node, err := m.Node()
	if err != nil {
		return time.Hour
	}
	return node.OutOfTouch()
}
