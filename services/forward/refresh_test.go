// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"testing"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Updates target entries while calls use them, for the race detector.
func TestRefreshDuringCalls(t *testing.T) {
	const calls = 40
	scripts := make([]script, calls)
	for i := range scripts {
		scripts[i] = chunks(true, event(0), event(1))
	}
	one := newTarget(t, "one", scripts...)
	f := newForwarder(t, &fakeLeases{}, one)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for revision := uint64(10); ; revision++ {
			select {
			case <-stop:
				return
			default:
			}
			row := &statev1.RegisteredTarget{Id: "one", Service: "s", Address: one.l.Addr().String(), DataCentre: []string{"dc", "far"}[revision%7/6], State: statev1.RegisteredTarget_STATE_READY, Revision: revision}
			_, _ = f.opts.Store.Apply(&betweenv1.FollowResponse{Targets: []*statev1.RegisteredTarget{row}, TargetRevision: revision})
			f.Refresh()
		}
	}()
	for range calls {
		if err := f.Serve(context.Background(), newCall("stream"), &collector{}); err != nil {
			t.Error(err)
		}
	}
	close(stop)
	<-stopped
}
