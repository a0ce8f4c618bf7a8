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

// listMachine is a Machine that records the applied items.
type listMachine struct {
	mu    sync.Mutex
	items []string
}

func (l *listMachine) Apply(data []byte) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = append(l.items, string(data))
	return len(l.items)
}

func (l *listMachine) Capture() func() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	frozen := append([]string(nil), l.items...)
	return func() ([]byte, error) { return []byte(strings.Join(frozen, "\n")), nil }
}

func (l *listMachine) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = split(data)
	return nil
}

func (l *listMachine) all() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.items, "\n")
}

// localTransport is a Transport between nodes of one process.
type localTransport struct {
	mu    sync.Mutex
	nodes map[string]*Node
}

func (s *localTransport) node(name string) (*Node, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[name]; n != nil {
		return n, nil
	}
	return nil, errors.New("not connected")
}

func (s *localTransport) Vote(_ context.Context, to string, r *betweenv1.VoteRequest) (*betweenv1.VoteResponse, error) {
	n, err := s.node(to)
	if err != nil {
		return nil, err
	}
	return n.HandleVote(r)
}

func (s *localTransport) Append(_ context.Context, to string, r *betweenv1.AppendRequest) (*betweenv1.AppendResponse, error) {
	n, err := s.node(to)
	if err != nil {
		return nil, err
	}
	return n.HandleAppend(r)
}

func (s *localTransport) Install(_ context.Context, to string, r *betweenv1.InstallRequest) (*betweenv1.InstallResponse, error) {
	n, err := s.node(to)
	if err != nil {
		return nil, err
	}
	return n.HandleInstall(r)
}

func (s *localTransport) Identify(_ context.Context, to string, _ *betweenv1.IdentifyRequest) (*betweenv1.IdentifyResponse, error) {
	n, err := s.node(to)
	if err != nil {
		return nil, err
	}
	return n.HandleIdentify(), nil
}

func (s *localTransport) Join(_ context.Context, to string, r *betweenv1.JoinRequest) (*betweenv1.JoinResponse, error) {
	n, err := s.node(to)
	if err != nil {
		return nil, err
	}
	return n.HandleJoin(r)
}

// testNode is a running node with its state machine and its disk.
type testNode struct {
	node    *Node
	machine *listMachine
	disk    *disktest.Memory
	stop    func()
}

func (s *localTransport) start(t *testing.T, name string, members []string, d *disktest.Memory) *testNode {
	t.Helper()
	machine := &listMachine{}
	n, err := NewNode(NodeOptions{
		Options: Options{Self: name, Members: members, ElectionTimeout: 150 * time.Millisecond, HeartbeatInterval: 20 * time.Millisecond, Rand: rand.New(rand.NewSource(int64(name[0])))},
		Disk:    d, Transport: s, Machine: machine, Clock: clock.System{}, Logger: logging.Discard(),
		NewIncarnation: func() string { return fmt.Sprintf("%s-%p", name, d) }, CompactAfter: 2000,
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
	return &testNode{node: n, machine: machine, disk: d, stop: stop}
}

func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !met() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// propose proposes items from up to but not including to at the current leader.
func propose(t *testing.T, nodes []*testNode, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		eventually(t, "a proposal is accepted", func() bool {
			for _, r := range nodes {
				if _, err := r.node.Propose(context.Background(), fmt.Appendf(nil, "item-%04d", i)); err == nil {
					return true
				}
			}
			return false
		})
	}
}

// TestSnapshotRestartAndEmptyDisk compacts the log many times while it is in use,
// restarts one member from its disk after a crash, and restarts another one with an
// empty disk, which it recovers from a snapshot.
func TestSnapshotRestartAndEmptyDisk(t *testing.T) {
	names := []string{"a", "b", "c"}
	s := &localTransport{nodes: map[string]*Node{}}
	var nodes []*testNode
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
	eventually(t, "all nodes have applied the same items", func() bool {
		one := nodes[0].machine.all()
		return strings.HasSuffix(one, "item-0399") && one == nodes[1].machine.all() && one == nodes[2].machine.all()
	})
	if got := strings.Count(nodes[2].machine.all(), "\n") + 1; got != 400 {
		t.Errorf("%d items were applied, want 400", got)
	}
	eventually(t, "the empty disk is admitted", func() bool { return nodes[2].node.Status().IsVoter })
}

func TestNodeStopsWhenDiskFails(t *testing.T) {
	s := &localTransport{nodes: map[string]*Node{}}
	r := s.start(t, "a", []string{"a"}, disktest.New())
	propose(t, []*testNode{r}, 0, 3)
	r.disk.SetError(errors.New("no space left on device"))
	if _, err := r.node.Propose(context.Background(), []byte("lost")); !IsErrOutcomeUnknown(err) {
		t.Errorf("Propose() on a full disk returned %v, want ErrOutcomeUnknown", err)
	}
	if r.node.Err() == nil || r.node.ReadBarrier() == nil || r.node.Lease() != 0 {
		t.Error("a node whose disk is full still takes part in the group")
	}
}
