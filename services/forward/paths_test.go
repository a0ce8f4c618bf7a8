// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/services/relay"
	"havenwinch.dev/havenwinch/structs"
)

// links are a box's own links to targets, which can fail.
type links struct {
	mu    sync.Mutex
	cut   map[string]linkFault
	dials int
}

type linkFault int

const (
	linkWorks linkFault = iota
	linkRefuses
	linkSilent
	// noDescriptor is a shortage of the own process: nothing was sent over the link.
	noDescriptor
)

// newLinks replaces the dials of a forwarder.
func newLinks(f *Forwarder) *links {
	l := &links{}
	l.replaceDials(f)
	return l
}

func (l *links) replaceDials(f *Forwarder) { f.pool.connect, f.pool.hedgedConnect = l.dial, l.dial }

func (l *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	l.dials++
	fault := l.cut[address]
	l.mu.Unlock()
	switch fault {
	case linkRefuses:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case noDescriptor:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("socket", syscall.EMFILE)}
	case linkSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	default:
		var d net.Dialer
		return d.DialContext(ctx, network, address)
	}
}

// set sets the fault of the links to some targets.
func (l *links) set(fault linkFault, targets ...*target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == nil {
		l.cut = map[string]linkFault{}
	}
	for _, tg := range targets {
		l.cut[tg.l.Addr().String()] = fault
	}
}

func (l *links) dialCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials
}

// fakeRelays is another box. It reaches the targets in addresses.
type fakeRelays struct {
	addresses map[string]string
	// err is the error for all other targets, a relay.ErrNoPath if nil.
	err    error
	noPath bool

	mu    sync.Mutex
	conns []net.Conn
}

// fakeCarriedConn is a connection that the other box carries. Its end says nothing about the target.
type fakeCarriedConn struct{ net.Conn }

func (fakeCarriedConn) Box() string { return "other" }

func (c fakeCarriedConn) IsReusable() bool { return isOpenAndEmpty(c.Conn) }

func (c fakeCarriedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		err = errors.New("the other box has ended")
	}
	return n, err
}

func newRelays(targets ...*target) *fakeRelays {
	r := &fakeRelays{addresses: map[string]string{}}
	for _, tg := range targets {
		r.addresses[tg.name] = tg.l.Addr().String()
	}
	return r
}

func (r *fakeRelays) Dial(ctx context.Context, _, target string) (net.Conn, error) {
	address, reached := r.addresses[target]
	if !reached && r.err != nil {
		return nil, r.err
	}
	if !reached {
		return nil, relay.ErrNoPath{Reason: "test"}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
	return fakeCarriedConn{c}, nil
}

func (r *fakeRelays) HasPath(string) bool { return !r.noPath }

func (r *fakeRelays) dialCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// newTargets returns n targets with the same scripts, named a, b and so on.
func newTargets(t *testing.T, n int, scripts ...script) []*target {
	t.Helper()
	var list []*target
	for i := range n {
		list = append(list, newTarget(t, string(rune('a'+i)), scripts...))
	}
	return list
}

// awaitOwnLinks runs checks until the box reaches the service over its own links.
func awaitOwnLinks(f *Forwarder) {
	for f.isLost("s") {
		f.checkLostPaths(context.Background())
		time.Sleep(time.Millisecond)
	}
}

// answers is a script for several requests.
func answers(s script) []script { return []script{s, s, s, s, s, s, s, s} }

// Guards against refusals at a box that alone can't reach a service. The call goes through
// another box, as one call.
func TestCallsGoThroughAnotherBox(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	tests := map[string]struct {
		route   string
		fault   linkFault
		targets int
		// cut is how many of the targets this box can't reach, beyond how many the other box can.
		cut, beyond int
		err         error
		// then is what targets do with the call.
		then script
		// carried is set if the call goes through the other box.
		carried bool
		status  int
		refusal structs.Kind
		run     structs.Run
		runs    int
		// spent is what the payer is charged, of 150 tokens that are reserved.
		spent uint64
	}{
		"new connections refused":         {route: "unsafe", fault: linkRefuses, targets: 4, cut: 4, beyond: 4, carried: true, status: http.StatusOK, runs: 1, spent: 100},
		"silent":                          {route: "unsafe", fault: linkSilent, targets: 4, cut: 4, beyond: 4, carried: true, status: http.StatusOK, runs: 1, spent: 100},
		"stream":                          {route: "stream", fault: linkRefuses, targets: 4, cut: 4, beyond: 4, then: chunks(true, event(0), event(1)), carried: true, status: http.StatusOK, runs: 1, spent: 110},
		"a service with one target":       {route: "unsafe", fault: linkRefuses, targets: 1, cut: 1, beyond: 1, carried: true, status: http.StatusOK, runs: 1, spent: 100},
		"a service with two, silent":      {route: "unsafe", fault: linkSilent, targets: 2, cut: 2, beyond: 2, carried: true, status: http.StatusOK, runs: 1, spent: 100},
		"some targets only":               {route: "unsafe", fault: linkRefuses, targets: 4, cut: 3, beyond: 4, status: http.StatusOK, runs: 1, spent: 100},
		"no box reaches them":             {route: "unsafe", fault: linkRefuses, targets: 4, cut: 4, refusal: structs.KindNoTarget, run: structs.RunNo},
		"targets are down for all":        {route: "unsafe", fault: linkRefuses, targets: 4, cut: 4, err: refused, refusal: structs.KindNoTarget, run: structs.RunNo},
		"another box ends, unsafe":        {route: "unsafe", fault: linkRefuses, targets: 4, cut: 4, beyond: 4, then: closeConn(), carried: true, refusal: structs.KindTargetFailed, run: structs.RunUnknown, runs: 1, spent: 150},
		"another box ends, safe":          {route: "safe", fault: linkRefuses, targets: 4, cut: 4, beyond: 4, then: closeConn(), carried: true, refusal: structs.KindTargetFailed, run: structs.RunUnknown, runs: 2, spent: 150},
		"turned away by all, through one": {route: "unsafe", fault: linkRefuses, targets: 2, cut: 2, beyond: 2, then: rejects(), carried: true, refusal: structs.KindNoTarget, run: structs.RunNo, runs: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			then := test.then
			if then == nil {
				then = respond(http.StatusOK, "yes")
			}
			list := newTargets(t, test.targets, answers(then)...)
			leases := &fakeLeases{}
			f := newForwarder(t, leases, list...)
			n := newFakeQuarantine()
			f.opts.Quarantine = n
			relays := newRelays(list[:test.beyond]...)
			relays.err = test.err
			f.opts.Relays = relays
			newLinks(f).set(test.fault, list[:test.cut]...)
			sink := &collector{}
			err := f.Serve(context.Background(), newCall(test.route), sink)
			var refusal *Refusal
			if test.refusal == "" && err != nil || test.refusal != "" && !errors.As(err, &refusal) {
				t.Fatalf("Serve returned %v, want refusal %q", err, test.refusal)
			}
			if refusal != nil && (refusal.Kind != test.refusal || refusal.Run != test.run || refusal.Run == structs.RunNo && refusal.RetryAfter <= 0) {
				t.Fatalf("refused with %+v, want kind %q, run %q", refusal, test.refusal, test.run)
			}
			if diff := cmp.Diff(test.status, sink.status); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.carried, relays.dialCount() > 0); diff != "" {
				t.Errorf("carried by the other box: %s", diff)
			}
			runs := 0
			for _, tg := range list {
				runs += len(tg.requests())
			}
			if diff := cmp.Diff(test.runs, runs); diff != "" {
				t.Errorf("requests at targets: %s", diff)
			}
			if diff := cmp.Diff([]uint64{test.spent}, leases.settled); diff != "" {
				t.Errorf("settled: %s", diff)
			}
			if len(n.ended) > 0 {
				t.Errorf("targets were reported as ended: %v", n.ended)
			}
		})
	}
}

// Guards against calls that wait, and tokens that are reserved, for a service that no box reaches.
func TestServiceOutOfReachIsRefusedAtOnce(t *testing.T) {
	list := newTargets(t, 3)
	reserved := 0
	f := newForwarder(t, &fakeLeases{onReserve: func() { reserved++ }}, list...)
	relays := newRelays()
	f.opts.Relays = relays
	l := newLinks(f)
	l.set(linkSilent, list...)
	_ = f.Serve(context.Background(), newCall("unsafe"), &collector{})
	if !f.isLost("s") {
		t.Fatal("the service does not count as out of reach")
	}
	relays.noPath = true
	awaitChecks(f)
	reserved, before := 0, l.dialCount()
	var refusal *Refusal
	if err := f.Serve(context.Background(), newCall("unsafe"), &collector{}); !errors.As(err, &refusal) || refusal.Run != structs.RunNo || refusal.RetryAfter <= 0 {
		t.Fatalf("Serve returned %v", err)
	}
	if reserved != 0 || l.dialCount() != before {
		t.Fatalf("%d reservations, %d dials for a call that can't be served", reserved, l.dialCount()-before)
	}
}

// awaitChecks waits until no check of a service is under way.
func awaitChecks(f *Forwarder) {
	for {
		f.mu.Lock()
		n := len(f.checks)
		f.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a service that counts as out of reach for targets that have ended although others
// are reached: its calls would go through another box or be refused.
func TestEndedTargetsAreNoLossOfOwnLinks(t *testing.T) {
	list := newTargets(t, 9, answers(respond(http.StatusOK, "yes"))...)
	f := newForwarder(t, &fakeLeases{}, list...)
	relays := newRelays()
	relays.noPath = true
	f.opts.Relays = relays
	l := newLinks(f)
	l.set(linkRefuses, list[:8]...)
	f.mu.Lock()
	last := f.targets.ByID(list[8].name)
	f.mu.Unlock()
	if err := f.dialAndKeep(context.Background(), last); err != nil {
		t.Fatal(err)
	}
	for range 40 {
		_ = f.Serve(context.Background(), newCall("unsafe"), &collector{})
		awaitChecks(f)
		if f.isLost("s") {
			t.Fatal("the service counts as out of reach although a target is reached")
		}
		f.pool.dropIdle("s", true)
		f.mu.Lock()
		for _, tg := range list[:8] {
			f.targets.MarkReachable(f.targets.ByID(tg.name), f.opts.Clock.Boot())
		}
		f.mu.Unlock()
	}
}

// Guards against calls that go through another box after the own links are back, and against
// targets that count as cold or stay banned although nothing was wrong with them.
func TestOwnLinksAreUsedAgain(t *testing.T) {
	list := newTargets(t, 3, answers(respond(http.StatusOK, "yes"))...)
	f := newForwarder(t, &fakeLeases{}, list...)
	relays := newRelays(list...)
	f.opts.Relays = relays
	l := newLinks(f)
	l.set(linkRefuses, list...)
	if err := f.Serve(context.Background(), newCall("unsafe"), &collector{}); err != nil {
		t.Fatal(err)
	}
	l.set(linkWorks, list...)
	awaitOwnLinks(f)
	carried := relays.dialCount()
	for range 6 {
		if err := f.Serve(context.Background(), newCall("unsafe"), &collector{}); err != nil {
			t.Fatal(err)
		}
	}
	if relays.dialCount() != carried {
		t.Error("calls go through the other box although the own links are back")
	}
	now := f.opts.Clock.Boot()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, tg := range list {
		if target := f.targets.ByID(tg.name); target.IsCold(now) || target.IsUnreachable() {
			t.Errorf("target %s: cold %v, unreachable %v", tg.name, target.IsCold(now), target.IsUnreachable())
		}
	}
}

// Guards against connections through another box that are used again and again while traffic goes
// on, though the own links are back.
func TestCarriedConnectionIsNotKeptWithOwnLinks(t *testing.T) {
	release := make(chan struct{})
	answer := respond(http.StatusOK, "yes")
	tg := newTarget(t, "a", func(c net.Conn, r received) {
		<-release
		answer(c, r)
	})
	f := newForwarder(t, &fakeLeases{}, tg)
	f.opts.Relays = newRelays(tg)
	l := newLinks(f)
	l.set(linkRefuses, tg)
	served := make(chan error)
	go func() { served <- f.Serve(context.Background(), newCall("unsafe"), &collector{}) }()
	for len(tg.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	l.set(linkWorks, tg)
	awaitOwnLinks(f)
	close(release)
	if err := <-served; err != nil {
		t.Fatal(err)
	}
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	for _, list := range f.pool.idle {
		for _, c := range list {
			if c.isCarried() {
				t.Error("a connection through another box is kept")
			}
		}
	}
}

// Guards against giving up open connections while only new ones are refused.
func TestOpenConnectionsAreUsedWhileNewOnesAreRefused(t *testing.T) {
	tg := newTarget(t, "a", answers(respond(http.StatusOK, "yes"))...)
	f := newForwarder(t, &fakeLeases{}, tg)
	relays := newRelays(tg)
	f.opts.Relays = relays
	l := newLinks(f)
	if err := f.Serve(context.Background(), newCall("unsafe"), &collector{}); err != nil {
		t.Fatal(err)
	}
	l.set(linkRefuses, tg)
	call := newCall("unsafe")
	call.ID = "id-2"
	call.Fields = []Field{{Name: "X-Id", Value: "id-2"}}
	if err := f.Serve(context.Background(), call, &collector{}); err != nil {
		t.Fatal(err)
	}
	if relays.dialCount() != 0 || len(tg.connections()) != 1 {
		t.Fatalf("%d connections through the other box, %d at the target", relays.dialCount(), len(tg.connections()))
	}
}

// Guards against banning a target because a caller left while it was dialled.
func TestCallerLeavesDuringDial(t *testing.T) {
	list := newTargets(t, 2)
	f := newForwarder(t, &fakeLeases{}, list...)
	newLinks(f).set(linkSilent, list...)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_ = f.Serve(ctx, newCall("unsafe"), &collector{})
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, tg := range list {
		if f.targets.ByID(tg.name).IsUnreachable() {
			t.Errorf("target %s is banned", tg.name)
		}
	}
}

// Guards against the report of a target's end that only this box's links suggest: calls that it
// had would be suspected everywhere.
func TestRefusedDialIsNoEndByItself(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	tests := map[string]struct {
		targets, cut int
		relays       func(list []*target) Relays
		alive, ended bool
	}{
		"another box reaches it":             {targets: 3, cut: 3, relays: func(list []*target) Relays { return newRelays(list...) }, alive: true},
		"another box finds it refused":       {targets: 3, cut: 1, relays: func([]*target) Relays { return &fakeRelays{err: refused} }, ended: true},
		"another box gets no answer":         {targets: 3, cut: 1, relays: func([]*target) Relays { return &fakeRelays{err: context.DeadlineExceeded} }},
		"no other box, others are reached":   {targets: 3, cut: 1, relays: func([]*target) Relays { return newRelays() }, ended: true},
		"no other box, none is reached":      {targets: 3, cut: 3, relays: func([]*target) Relays { return newRelays() }},
		"no other box and no other target":   {targets: 1, cut: 1, relays: func([]*target) Relays { return newRelays() }, ended: true},
		"without relays, others are reached": {targets: 3, cut: 1, relays: func([]*target) Relays { return nil }, ended: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := newTargets(t, test.targets)
			f := newForwarder(t, &fakeLeases{}, list...)
			if r := test.relays(list); r != nil {
				f.opts.Relays = r
			}
			newLinks(f).set(linkRefuses, list[:test.cut]...)
			f.mu.Lock()
			a := f.targets.ByID("a")
			f.mu.Unlock()
			alive, ended := f.findEnd(context.Background(), a)
			if alive != test.alive || ended != test.ended {
				t.Fatalf("alive %v, ended %v; want %v, %v", alive, ended, test.alive, test.ended)
			}
		})
	}
}

// awaitingChecks records the results of dials, and waits after the first one until the check that it
// begins has ended.
func awaitingChecks(f *Forwarder) func(t *spread.Target, err error) {
	var first sync.Once
	return func(t *spread.Target, err error) {
		f.recordDial(t, err)
		// The dials of the check run meanwhile.
		wait := false
		first.Do(func() { wait = true })
		if wait {
			awaitChecks(f)
		}
	}
}

// What a box answers that asks this one to carry a connection.
func TestDialForAnotherBox(t *testing.T) {
	tests := map[string]struct {
		targets, cut int
		fault        linkFault
		// id is the target that is asked for, the first one if empty.
		id string
		// lost is set if this box knows already that it reaches none.
		lost bool
		// checked is set if the check that the dial begins ends before the dial's error is looked at.
		checked         bool
		reached, noPath bool
		refused, busy   bool
	}{
		"reached":                          {targets: 3, reached: true},
		"refused, others are reached":      {targets: 3, cut: 1, fault: linkRefuses, refused: true},
		"refused, none is reached":         {targets: 3, cut: 3, fault: linkRefuses, noPath: true},
		"known to reach none":              {targets: 3, cut: 3, fault: linkSilent, lost: true, noPath: true},
		"silent, others are reached":       {targets: 3, cut: 1, fault: linkSilent},
		"a target that isn't registered":   {targets: 1, id: "unknown"},
		"the only target refuses":          {targets: 1, cut: 1, fault: linkRefuses, refused: true},
		"the only target refuses, checked": {targets: 1, cut: 1, fault: linkRefuses, checked: true, refused: true},
		"refused by all, checked":          {targets: 3, cut: 3, fault: linkRefuses, checked: true, noPath: true},
		"the only target, known to refuse": {targets: 1, cut: 1, fault: linkRefuses, lost: true, noPath: true},
		"no descriptor":                    {targets: 3, cut: 3, fault: noDescriptor, busy: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := newTargets(t, test.targets)
			f := newForwarder(t, &fakeLeases{}, list...)
			l := newLinks(f)
			l.set(test.fault, list[:test.cut]...)
			if test.lost {
				f.opts.Relays = newRelays()
				_ = f.Serve(context.Background(), newCall("unsafe"), &collector{})
				for !f.isLost("s") {
					time.Sleep(time.Millisecond)
				}
				awaitChecks(f)
			}
			if test.checked {
				f.pool.dialled = awaitingChecks(f)
			}
			before := l.dialCount()
			id := test.id
			if id == "" {
				id = "a"
			}
			c, err := f.DialTarget(context.Background(), id)
			if c != nil {
				defer c.Close()
			}
			if test.lost && l.dialCount() != before {
				t.Errorf("%d dials over links that are known to be lost", l.dialCount()-before)
			}
			if (err == nil) != test.reached || relay.IsErrNoPath(err) != test.noPath || errors.Is(err, syscall.ECONNREFUSED) != test.refused || relay.IsErrBusy(err) != test.busy {
				t.Fatalf("got %v, want reached %v, no path %v, refused %v, busy %v", err, test.reached, test.noPath, test.refused, test.busy)
			}
		})
	}
}

// Guards against a box that is short of descriptors and takes that for targets that are down, or for the
// loss of its links.
func TestShortageOfDescriptorsIsNoEvidenceAgainstTargets(t *testing.T) {
	list := newTargets(t, 4, answers(respond(http.StatusOK, "yes"))...)
	f := newForwarder(t, &fakeLeases{}, list...)
	l := newLinks(f)
	l.set(noDescriptor, list...)
	var refusal *Refusal
	if err := f.Serve(context.Background(), newCall("unsafe"), &collector{}); !errors.As(err, &refusal) || refusal.Run != structs.RunNo || refusal.RetryAfter <= 0 {
		t.Errorf("Serve returned %v, want a refusal of a call that did not run", err)
	}
	awaitChecks(f)
	if f.isLost("s") {
		t.Error("the service counts as out of reach")
	}
	f.mu.Lock()
	for _, tg := range list {
		if f.targets.ByID(tg.name).IsUnreachable() {
			t.Errorf("target %s is banned as unreachable", tg.name)
		}
	}
	f.mu.Unlock()
	l.set(linkWorks, list...)
	sink := &collector{}
	if err := f.Serve(context.Background(), newCall("unsafe"), sink); err != nil || sink.status != http.StatusOK {
		t.Errorf("a call after the shortage got status %d, error %v, want 200", sink.status, err)
	}
}
