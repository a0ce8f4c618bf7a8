// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Registry takes the calls of targets that register themselves. A call that
// changes nothing is answered from the box's own copy; any other one only after
// the change is in the log, so that it outlives the box that answers.
type Registry struct {
	// Row returns what the box knows of a target, nil when nothing.
	Row    func(id string) *statev1.RegisteredTarget
	Client *Client
}

// Put takes a target's row in.
func (g *Registry) Put(ctx context.Context, t *statev1.RegisteredTarget) error {
	if known := g.Row(t.GetId()); known != nil && settled(known, t) {
		return nil
	}
	return g.Client.Submit(ctx, &statev1.Entry{Kind: &statev1.Entry_PutTargets{PutTargets: &statev1.PutTargets{Targets: []*statev1.RegisteredTarget{t}}}})
}

// settled tells whether a call says nothing that is not known already.
func settled(known, t *statev1.RegisteredTarget) bool {
	if known.GetState() > t.GetState() {
		return true
	}
	return known.GetState() == t.GetState() && known.GetAddress() == t.GetAddress() && known.GetService() == t.GetService()
}
