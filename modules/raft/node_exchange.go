// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"context"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

func (n *Node) dispatch(r Request) {
	n.sends.Add(1)
	go func() {
		defer n.sends.Done()
		ctx, cancel := context.WithTimeout(n.ctx, 2*n.opts.Election)
		defer cancel()
		n.exchange(ctx, r)
	}()
}

func (n *Node) exchange(ctx context.Context, r Request) {
	var err error
	switch {
	case r.Vote != nil:
		var resp *betweenv1.VoteResponse
		if resp, err = n.opts.Transport.Vote(ctx, r.To, r.Vote); err == nil {
			n.step(func(now time.Duration) { n.core.VoteReply(r.To, r.Vote, resp, now) })
		}
	case r.Append != nil:
		var resp *betweenv1.AppendResponse
		if resp, err = n.opts.Transport.Append(ctx, r.To, r.Append); err == nil {
			n.step(func(now time.Duration) { n.core.AppendReply(r.To, r.Append, resp, r.SentAt, now) })
		}
	case r.Install != nil:
		var resp *betweenv1.InstallResponse
		if resp, err = n.opts.Transport.Install(ctx, r.To, r.Install); err == nil {
			n.step(func(now time.Duration) { n.core.InstallReply(r.To, r.Install, resp, r.SentAt, now) })
		}
	}
	if err != nil {
		n.step(func(time.Duration) { n.core.Failed(r.To) })
	}
}

// HandleVote answers another member; what it promises is stored first.
func (n *Node) HandleVote(r *betweenv1.VoteRequest) (resp *betweenv1.VoteResponse, err error) {
	err = n.handle(func(now time.Duration) { resp = n.core.HandleVote(r, now) })
	return resp, err
}

// HandleAppend answers another member; what it acknowledges is stored first.
func (n *Node) HandleAppend(r *betweenv1.AppendRequest) (resp *betweenv1.AppendResponse, err error) {
	err = n.handle(func(now time.Duration) { resp = n.core.HandleAppend(r, now) })
	return resp, err
}

// HandleInstall answers another member.
func (n *Node) HandleInstall(r *betweenv1.InstallRequest) (resp *betweenv1.InstallResponse, err error) {
	err = n.handle(func(now time.Duration) { resp = n.core.HandleInstall(r, now) })
	return resp, err
}

func (n *Node) handle(decide func(now time.Duration)) error {
	n.step(decide)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.usable()
}

// HandleIdentify tells another member what this disk is known by.
func (n *Node) HandleIdentify() *betweenv1.IdentifyResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	resp := &betweenv1.IdentifyResponse{Box: n.opts.Self, Incarnation: n.stored.Incarnation, Members: listMembers(n.stored.Members)}
	if n.core != nil {
		resp.Members, resp.Commit = listMembers(n.core.members), n.core.commit
	}
	return resp
}

// HandleJoin takes a box in that asks to follow; only the leader does.
func (n *Node) HandleJoin(r *betweenv1.JoinRequest) (*betweenv1.JoinResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.usable(); err != nil {
		return nil, err
	}
	if err := n.core.Join(r.GetBox(), n.opts.Clock.Boot()); err != nil {
		return nil, errors.WithStack(err)
	}
	return &betweenv1.JoinResponse{}, nil
}

// Leave makes this box a learner when others have told that the group goes on
// without it.
func (n *Node) Leave(r *betweenv1.IdentifyResponse) {
	n.step(func(now time.Duration) { n.core.Leave(mapMembers(r.GetMembers()), r.GetCommit(), now) })
}
