// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"context"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// sendAsync sends a request in the background and passes the response to the Core.
func (n *Node) sendAsync(r Request) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		ctx, cancel := context.WithTimeout(n.ctx, 2*n.opts.ElectionTimeout)
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
			n.step(func(now time.Duration) { n.core.HandleVoteResponse(r.To, r.Vote, resp, now) })
		}
	case r.Append != nil:
		var resp *betweenv1.AppendResponse
		if resp, err = n.opts.Transport.Append(ctx, r.To, r.Append); err == nil {
			n.step(func(now time.Duration) { n.core.HandleAppendResponse(r.To, r.Append, resp, r.SentAt, now) })
		}
	case r.Install != nil:
		var resp *betweenv1.InstallResponse
		if resp, err = n.opts.Transport.Install(ctx, r.To, r.Install); err == nil {
			n.step(func(now time.Duration) { n.core.HandleInstallResponse(r.To, r.Install, resp, r.SentAt, now) })
		}
	}
	if err != nil {
		n.step(func(time.Duration) { n.core.HandleSendFailure(r.To) })
	}
}

// HandleVote answers a vote request; a granted vote is stored before it returns.
func (n *Node) HandleVote(r *betweenv1.VoteRequest) (resp *betweenv1.VoteResponse, err error) {
	err = n.handle(func(now time.Duration) { resp = n.core.HandleVote(r, now) })
	return resp, err
}

// HandleAppend answers an append request; acknowledged entries are stored before
// it returns.
func (n *Node) HandleAppend(r *betweenv1.AppendRequest) (resp *betweenv1.AppendResponse, err error) {
	err = n.handle(func(now time.Duration) { resp = n.core.HandleAppend(r, now) })
	return resp, err
}

// HandleInstall answers an install request; the snapshot is stored before it
// returns.
func (n *Node) HandleInstall(r *betweenv1.InstallRequest) (resp *betweenv1.InstallResponse, err error) {
	err = n.handle(func(now time.Duration) { resp = n.core.HandleInstall(r, now) })
	return resp, err
}

func (n *Node) handle(decide func(now time.Duration)) error {
	n.step(decide)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.checkRunning()
}

// HandleIdentify returns the incarnation of this disk and the members that are
// committed here.
func (n *Node) HandleIdentify() *betweenv1.IdentifyResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	resp := &betweenv1.IdentifyResponse{Box: n.opts.Self, Incarnation: n.stored.Incarnation, Members: membersToProto(n.stored.Members), MembersIndex: n.stored.MembersIndex}
	if n.core != nil {
		resp.Members, resp.MembersIndex, resp.Commit = membersToProto(n.core.members), n.core.membersIndex, n.core.commit
	}
	return resp
}

// HandleJoin adds a box as a learner; it returns ErrNotLeader when this box is
// not leader.
func (n *Node) HandleJoin(r *betweenv1.JoinRequest) (*betweenv1.JoinResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkRunning(); err != nil {
		return nil, err
	}
	if err := n.core.Join(r.GetBox(), n.opts.Clock.Boot()); err != nil {
		return nil, errors.WithStack(err)
	}
	return &betweenv1.JoinResponse{}, nil
}

// Leave makes this box a learner when another box's answer shows that the group
// has removed it.
func (n *Node) Leave(r *betweenv1.IdentifyResponse) {
	n.step(func(now time.Duration) { n.core.Leave(membersFromProto(r.GetMembers()), identifiedIndex(r), now) })
}

// identifiedIndex returns the index up to which the members of an answer reflect the
// log: at least what the box that answered has committed.
func identifiedIndex(r *betweenv1.IdentifyResponse) uint64 {
	return max(r.GetMembersIndex(), r.GetCommit())
}
