// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/disk/disktest"
	"havenwinch.dev/havenwinch/modules/logging"
)

// list is a machine that keeps what was applied.
type list struct {
	mu    sync.Mutex
	items []string
}

func (l *list) Apply(data []byte) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = append(l.items, string(data))
	return len(l.items)
}

func (l *list) Capture() func() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	frozen := append([]string(nil), l.items...)
	return func() ([]byte, error) { return []byte(strings.Join(frozen, "\n")), nil }
}

func (l *list) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = split(data)
	return nil
}

func (l *list) all() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.items, "\n")
}

// switchboard connects the nodes of one process.
type switchboard struct {
	mu    sync.Mutex
	nodes map[string]*Node
}

func (s *switchboard) node(name string) (*Node, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[name]; n != nil {
		return n, nil
	}
	return nil, errors.New("not connected")
}

func (s *switchboard) Vote(_ context.Context, to string, r *betweenv1.VoteRequest) (*betweenv1.VoteResponse, error) {
	n, err := s.node(to)
	if err != nil {
		return nil, err
	}
	return n.HandleVote(r)
}

func (s *switchboard) Append(_ context.Context, to string, r *betweenv1.AppendRequest) (*betweenv1.AppendResponse, error) {
	n, err := s.node(to)
	if err != nil {
		return nil, err
	}
	return n.HandleAppend(r)
}

func (s *switchboard) Install(_ context.Context, to string, r *betweenv1.InstallRequest) (*betweenv1.InstallResponse, error) {
	n, err := s.node(to)
	if err != nil {
		return nil, err
	}
	return n.HandleInstall(r)
}

func (s *switchboard) Identify(_ context.Context, to string, _ *betweenv1.IdentifyRequest) (*betweenv1.IdentifyResponse, error) {
	n, err := s.node(to)
	if err != nil {
		return nil, err
	}
	return n.HandleIdentify(), nil
}

func (s *switchboard) Join(_ context.Context, to string, r *betweenv1.JoinRequest) (*betweenv1.JoinResponse, error) {
	n, err := s.node(to)
	if err != nil {
		return nil, err
	}
	return n.HandleJoin(r)
}

// running is a node with what it runs on.
type running struct {
	node    *Node
	machine *list
	disk    *disktest.Memory
	stop    func()
}

func (s *switchboard) start(t *testing.T, name string, members []string, d *disktest.Memory) *running {
	t.Helper()
	machine := &list{}
	n, err := NewNode(NodeOptions{
		Options: Options{Self: name, Members: members, Election: 150 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Rand: rand.New(rand.NewSource(int64(name[0])))},
		Disk:    d, Transport: s, Machine: machine, Clock: clock.System{}, Log: logging.Discard(),
		Incarnation: func() string { return fmt.Sprintf("%s-%p", name, d) }, CompactAfter: 2000,
	})
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	s.nodes[name] = n
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	stop := func() {
		s.mu.Lock()
		delete(s.nodes, name)
		s.mu.Unlock()
		cancel()
		<-done
	}
	t.Cleanup(cancel)
	return &running{node: n, machine: machine, disk: d, stop: stop}
}

func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !met() {
		if time.Now().After(deadline) {
			t.Fatalf("not met: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// propose puts items through whichever node leads.
func propose(t *testing.T, nodes []*running, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		eventually(t, "a proposal is taken", func() bool {
			for _, r := range nodes {
				if _, err := r.node.Propose(context.Background(), fmt.Appendf(nil, "item-%04d", i)); err == nil {
					return true
				}
			}
			return false
		})
	}
}

// TestSnapshotsRestartsAndLateMembers lets the log be compacted many times
// while it is used, restarts a member from what a crash left, and brings one
// up from an empty disk by a snapshot.
func TestSnapshotsRestartsAndLateMembers(t *testing.T) {
	names := []string{"a", "b", "c"}
	s := &switchboard{nodes: map[string]*Node{}}
	var nodes []*running
	for _, name := range names {
		nodes = append(nodes, s.start(t, name, names, disktest.New()))
	}
	propose(t, nodes, 0, 200)
	nodes[0].stop()
	propose(t, nodes[1:], 200, 300)
	nodes[0] = s.start(t, "a", names, nodes[0].disk.Crash(5))
	nodes[2].stop()
	nodes[2] = s.start(t, "c", names, disktest.New())
	propose(t, nodes, 300, 400)
	eventually(t, "all hold the same", func() bool {
		one := nodes[0].machine.all()
		return strings.HasSuffix(one, "item-0399") && one == nodes[1].machine.all() && one == nodes[2].machine.all()
	})
	if got := strings.Count(nodes[2].machine.all(), "\n") + 1; got != 400 {
		t.Errorf("%d items were applied, 400 proposed", got)
	}
	eventually(t, "the empty disk is admitted", func() bool { return nodes[2].node.Status().Member })
}

func TestFullDiskLeavesTheGroup(t *testing.T) {
	s := &switchboard{nodes: map[string]*Node{}}
	r := s.start(t, "a", []string{"a"}, disktest.New())
	propose(t, []*running{r}, 0, 3)
	r.disk.Fail(errors.New("no space left on device"))
	if _, err := r.node.Propose(context.Background(), []byte("lost")); !IsErrOutcomeUnknown(err) {
		t.Errorf("a proposal on a full disk got %v", err)
	}
	if r.node.Failed() == nil || r.node.ReadBarrier() == nil || r.node.Lease() != 0 {
		t.Error("a box whose disk is full still takes part")
	}
}
