// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/control/controltest"
)

func row(id string, state statev1.RegisteredTarget_State, revision uint64) *statev1.RegisteredTarget {
	return &statev1.RegisteredTarget{Id: id, Service: "s", Address: id + ":1", State: state, Revision: revision}
}

func ids(s *Store) map[string]bool {
	rows, _ := s.Targets()
	got := map[string]bool{}
	for _, r := range rows {
		got[r.GetId()] = true
	}
	return got
}

const ready, gone = statev1.RegisteredTarget_STATE_READY, statev1.RegisteredTarget_STATE_GONE

// A store never goes back to older versions when the box follows another control box,
// which may lag.
func TestStoreMovesForwardOnly(t *testing.T) {
	s := NewStore(clock.NewFake())
	steps := []struct {
		message *betweenv1.FollowResponse
		version uint64
		targets map[string]bool
	}{
		{message: &betweenv1.FollowResponse{Routing: &statev1.RoutingTable{Version: 5}, Targets: []*statev1.RegisteredTarget{row("a", ready, 1), row("b", ready, 2)}, TargetRevision: 2}, version: 5, targets: map[string]bool{"a": true, "b": true}},
		{message: &betweenv1.FollowResponse{Routing: &statev1.RoutingTable{Version: 4}, Targets: []*statev1.RegisteredTarget{row("a", ready, 1)}, AllTargets: true, TargetRevision: 1}, version: 5, targets: map[string]bool{"a": true, "b": true}},
		{message: &betweenv1.FollowResponse{Targets: []*statev1.RegisteredTarget{row("a", gone, 3)}, TargetRevision: 3}, version: 5, targets: map[string]bool{"b": true}},
		{message: &betweenv1.FollowResponse{Routing: &statev1.RoutingTable{Version: 9}, Targets: []*statev1.RegisteredTarget{row("c", ready, 8)}, AllTargets: true, TargetRevision: 8}, version: 9, targets: map[string]bool{"c": true}},
	}
	for i, step := range steps {
		s.Apply(step.message)
		version := s.Position().Version
		if version != step.version {
			t.Fatalf("step %d: version %d", i, version)
		}
		if diff := cmp.Diff(step.targets, ids(s)); diff != "" {
			t.Fatalf("step %d: %s", i, diff)
		}
	}
}

// A relay serves its copy, which lacks the documents that tables were compiled from.
func TestSourcesAgree(t *testing.T) {
	machine := control.NewMachine()
	c := clock.NewFake()
	source := &MachineSource{Machine: machine, Clock: clock.NewFake(), GroupSyncAge: func() time.Duration { return 0 }, Members: func() []string { return nil }}
	g := &control.Gateway{Log: controltest.Log{Machine: machine}, Machine: machine, Clock: c, Logger: logging.Discard()}
	for _, e := range []*statev1.Entry{
		{Kind: &statev1.Entry_PutRouting{PutRouting: &statev1.PutRouting{Table: &statev1.RoutingTable{Version: 2, Source: []byte("doc")}}}},
		{Kind: &statev1.Entry_PutTargets{PutTargets: &statev1.PutTargets{Targets: []*statev1.RegisteredTarget{row("a", ready, 0), row("b", gone, 0)}}}},
	} {
		if err := g.Submit(context.Background(), e); err != nil {
			t.Fatal(err)
		}
	}
	relay := NewStore(c)
	relay.Apply(source.After(Position{}))
	again := NewStore(c)
	again.Apply(relay.After(Position{}))
	if diff := cmp.Diff(map[string]bool{"a": true}, ids(again)); diff != "" {
		t.Fatal(diff)
	}
	if again.Index().Table.GetVersion() != 2 || len(again.Index().Table.GetSource()) != 0 {
		t.Fatalf("the relay served %v", again.Index().Table)
	}
	if resp := relay.After(Position{Version: 2, Targets: 2}); resp.GetRouting() != nil || len(resp.GetTargets()) != 0 {
		t.Fatalf("changes for a follower that is up to date: %v", resp)
	}
}

// controlBox is a fake control box. It answers lease requests, or names the leader if answer
// is nil.
type controlBox struct {
	betweenv1connect.GatewayServiceClient
	mu     sync.Mutex
	leader string
	answer func(r *betweenv1.LeaseRequest) (*betweenv1.LeaseResponse, error)
	asked  int
}

func (b *controlBox) Lease(_ context.Context, r *connect.Request[betweenv1.LeaseRequest]) (*connect.Response[betweenv1.LeaseResponse], error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked++
	if b.answer == nil {
		err := connect.NewError(connect.CodeUnavailable, errors.New("not leading"))
		err.Meta().Set(control.HeaderLeader, b.leader)
		return nil, err
	}
	resp, err := b.answer(r.Msg)
	return connect.NewResponse(resp), err
}

func clientOver(boxes map[string]*controlBox, seeds ...string) *Client {
	return NewClient(seeds, func(address string) betweenv1connect.GatewayServiceClient { return boxes[address] })
}

func TestClientFindsTheLeader(t *testing.T) {
	boxes := map[string]*controlBox{
		"a": {leader: "c"},
		"b": {},
		"c": {answer: func(*betweenv1.LeaseRequest) (*betweenv1.LeaseResponse, error) {
			return &betweenv1.LeaseResponse{Holders: 3}, nil
		}},
	}
	c := clientOver(boxes, "a", "b")
	for range 2 {
		resp, err := c.Lease(context.Background(), &betweenv1.LeaseRequest{}, func() time.Duration { return 0 })
		if err != nil || resp.GetHolders() != 3 {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	if boxes["a"].asked != 1 || boxes["b"].asked != 0 || boxes["c"].asked != 2 {
		t.Fatalf("asked %d, %d, %d times", boxes["a"].asked, boxes["b"].asked, boxes["c"].asked)
	}
}

func newLeases(b *controlBox) *Leases {
	store := NewStore(clock.System{})
	store.Apply(&betweenv1.FollowResponse{Routing: &statev1.RoutingTable{Version: 1, Payers: []*statev1.Payer{{Organisation: "o", Limited: true, Prepaid: 100}, {Organisation: "free"}}}})
	return NewLeases(LeasesOptions{Box: "box", Process: "p1", Store: store, Client: clientOver(map[string]*controlBox{"a": b}, "a"), Clock: clock.System{}, Logger: logging.Discard()})
}

// grantAll answers like control does if only this box uses the budget.
func grantAll(allotted uint64) func(r *betweenv1.LeaseRequest) (*betweenv1.LeaseResponse, error) {
	return func(r *betweenv1.LeaseRequest) (*betweenv1.LeaseResponse, error) {
		resp := &betweenv1.LeaseResponse{Holders: 1}
		for _, report := range r.GetReports() {
			used := report.GetSpent() + report.GetReserved()
			resp.Grants = append(resp.Grants, &betweenv1.LeaseGrant{Organisation: report.GetOrganisation(), Allotted: allotted, Keep: allotted, Left: allotted - used})
		}
		return resp, nil
	}
}

func TestReserveWaitsForControl(t *testing.T) {
	b := &controlBox{answer: grantAll(1000)}
	l := newLeases(b)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	if got, status := l.Reserve(ctx, "o", 800, time.Minute); got != Reserved || status.Free != 200 {
		t.Fatalf("outcome %d, %+v", got, status)
	}
	if got, _ := l.Reserve(ctx, "o", 300, time.Minute); got != Exhausted {
		t.Fatalf("outcome %d for more tokens than are left", got)
	}
	l.Settle("o", 800, 100)
	if got, _ := l.Reserve(ctx, "o", 800, time.Minute); got != Reserved {
		t.Fatalf("outcome %d after the first reservation was settled", got)
	}
}

func TestReserveGivesUpWithoutControl(t *testing.T) {
	l := newLeases(&controlBox{})
	if got, status := l.Reserve(context.Background(), "o", 10, 0); got != Short || status.Age != -1 {
		t.Fatalf("outcome %d, %+v", got, status)
	}
}

// A sample whose answer is lost is sent again with the same counters, even if more was
// reserved since.
func TestASampleIsRepeatedUntilItIsAnswered(t *testing.T) {
	var seen []*betweenv1.LeaseRequest
	lose := false
	b := &controlBox{}
	b.answer = func(r *betweenv1.LeaseRequest) (*betweenv1.LeaseResponse, error) {
		seen = append(seen, r)
		if lose {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("lost"))
		}
		return grantAll(100000)(r)
	}
	l := newLeases(b)
	l.report(context.Background())
	lose = true
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := l.request()
	_, err := l.Client.Lease(ctx, r, l.age)
	l.handleAnswer(nil, 0, err)
	if got, _ := l.Reserve(context.Background(), "o", 500, 0); got != Reserved {
		t.Fatal("a small reservation waited for control")
	}
	lose = false
	l.report(context.Background())
	l.report(context.Background())
	last := seen[len(seen)-2:]
	if r.GetSample() != 2 || last[0].GetSample() != 2 || last[0].GetReports()[0].GetReserved() != 0 {
		t.Fatalf("the repeated sample is %v", last[0])
	}
	if last[1].GetSample() != 3 || last[1].GetReports()[0].GetReserved() != 500 {
		t.Fatalf("the next sample is %v", last[1])
	}
	if len(last[1].GetReports()) != 1 {
		t.Fatalf("reports of %d organisations, want only the one with a budget", len(last[1].GetReports()))
	}
}

func TestLeavingReturnsAllTokens(t *testing.T) {
	var last *betweenv1.LeaseRequest
	b := &controlBox{}
	b.answer = func(r *betweenv1.LeaseRequest) (*betweenv1.LeaseResponse, error) {
		last = r
		return grantAll(1000)(r)
	}
	l := newLeases(b)
	l.report(context.Background())
	l.Reserve(context.Background(), "o", 40, 0)
	l.Leave()
	l.report(context.Background())
	if !last.GetLeaving() || last.GetReports()[0].GetReturned() != 960 {
		t.Fatalf("the report after Leave is %v", last)
	}
	l.Settle("o", 40, 10)
	l.SendFinalReport(context.Background())
	if r := last.GetReports()[0]; r.GetSpent() != 10 || r.GetReturned() != 990 {
		t.Fatalf("the last report is %v", r)
	}
	if !last.GetLeaving() {
		t.Fatalf("the last report is %v", last)
	}
}

func TestRegistryCommitsOnlyChanges(t *testing.T) {
	known := &statev1.RegisteredTarget{Id: "t", Service: "s", Address: "x", State: statev1.RegisteredTarget_STATE_DRAINING, Sequence: 3}
	cases := map[string]struct {
		call *statev1.RegisteredTarget
		puts int
	}{
		"same row again": {call: &statev1.RegisteredTarget{Id: "t", Service: "s", Address: "x", State: statev1.RegisteredTarget_STATE_DRAINING, Sequence: 4}},
		"late ready":     {call: &statev1.RegisteredTarget{Id: "t", Service: "s", Address: "x", State: ready, Sequence: 9}},
		"target gone":    {call: &statev1.RegisteredTarget{Id: "t", State: gone}, puts: 1},
		"new address":    {call: &statev1.RegisteredTarget{Id: "t", Service: "s", Address: "y", State: statev1.RegisteredTarget_STATE_DRAINING, Sequence: 4}, puts: 1},
		"new version":    {call: &statev1.RegisteredTarget{Id: "t", Service: "s", Address: "x", Version: "v2", State: statev1.RegisteredTarget_STATE_DRAINING, Sequence: 4}, puts: 1},
		"unknown target": {call: &statev1.RegisteredTarget{Id: "u", Service: "s", Address: "z", State: ready, Sequence: 1}, puts: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			counter := &submitCounter{}
			g := &Registry{
				Lookup: func(id string) *statev1.RegisteredTarget {
					if id == "t" {
						return known
					}
					return nil
				},
				Client: NewClient([]string{"a"}, func(string) betweenv1connect.GatewayServiceClient { return counter }),
			}
			if err := g.Put(context.Background(), c.call); err != nil || counter.n != c.puts {
				t.Fatalf("%d submissions, %v", counter.n, err)
			}
		})
	}
}

// Guards against tokens kept back for a box that restarted while control had no leader: its
// first report was on its way for up to 1.5 s, and that time counted as the former process's.
func TestReportHasTheAgeOfEachAttempt(t *testing.T) {
	const searching = 1200 * time.Millisecond
	c := clock.NewFake()
	started := c.Boot()
	age := func() time.Duration { return c.Boot() - started }
	var got time.Duration
	boxes := map[string]*controlBox{
		"silent": {answer: func(*betweenv1.LeaseRequest) (*betweenv1.LeaseResponse, error) {
			c.Advance(searching)
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("no leader"))
		}},
		"leader": {answer: func(r *betweenv1.LeaseRequest) (*betweenv1.LeaseResponse, error) {
			got = time.Duration(r.GetAge()) * time.Millisecond
			return &betweenv1.LeaseResponse{}, nil
		}},
	}
	if _, err := clientOver(boxes, "silent", "leader").Lease(context.Background(), &betweenv1.LeaseRequest{}, age); err != nil {
		t.Fatal(err)
	}
	if got != searching {
		t.Errorf("the report that reached the leader said %s, want %s", got, searching)
	}
}

// Guards against a log entry for each call of a cold target, whose remaining time decreases
// from call to call, and against a target that is cold again without any box hearing of it.
func TestRegistryCommitsChangesOfColdTargets(t *testing.T) {
	type step struct {
		after time.Duration
		cold  uint32
		puts  int
	}
	tests := map[string][]step{
		"warm":                  {{cold: 0, puts: 1}, {after: time.Second, cold: 0, puts: 1}},
		"cold, then warm":       {{cold: 3000, puts: 1}, {after: time.Second, cold: 2000, puts: 1}, {after: time.Second, cold: 1000, puts: 1}, {after: time.Second, cold: 0, puts: 2}, {after: time.Second, cold: 0, puts: 2}},
		"cold again":            {{cold: 0, puts: 1}, {after: time.Second, cold: 2500, puts: 2}},
		"cold for longer":       {{cold: 3000, puts: 1}, {after: time.Second, cold: 3000, puts: 2}, {after: time.Second, cold: 2000, puts: 2}},
		"cold for a bit longer": {{cold: 3000, puts: 1}, {after: time.Second, cold: 2200, puts: 1}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			c := clock.NewFake()
			var known *statev1.RegisteredTarget
			counter := &submitCounter{}
			g := &Registry{Clock: c, Lookup: func(string) *statev1.RegisteredTarget { return known },
				Client: NewClient([]string{"a"}, func(string) betweenv1connect.GatewayServiceClient { return counter })}
			for i, s := range steps {
				c.Advance(s.after)
				call := row("t", ready, 0)
				call.Cold, call.Sequence = s.cold, uint64(i)
				before := counter.n
				if err := g.Put(context.Background(), call); err != nil || counter.n != s.puts {
					t.Fatalf("step %d: %d submissions, want %d; %v", i, counter.n, s.puts, err)
				}
				if counter.n > before {
					known = call
				}
			}
			if known.GetCold() == 0 && len(g.cold) > 0 {
				t.Errorf("a warm target is still tracked as cold: %v", g.cold)
			}
		})
	}
}

// Guards against a box that starts, or follows another control box, without hearing of an
// evacuation, and against an older state of it.
func TestFollowersLearnEvacuations(t *testing.T) {
	machine := control.NewMachine()
	c := clock.NewFake()
	source := &MachineSource{Machine: machine, Clock: clock.NewFake(), GroupSyncAge: func() time.Duration { return 0 }, Members: func() []string { return nil }}
	g := &control.Gateway{Log: controltest.Log{Machine: machine}, Machine: machine, Clock: c, Logger: logging.Discard()}
	order := func(dataCentre string, active bool, base uint64) {
		t.Helper()
		changed := source.Changed()
		m := &statev1.PutEvacuation{DataCentre: dataCentre, Active: active, Base: base}
		if err := g.Submit(context.Background(), &statev1.Entry{Kind: &statev1.Entry_PutEvacuation{PutEvacuation: m}}); err != nil {
			t.Fatal(err)
		}
		select {
		case <-changed:
		default:
			t.Error("followers were not notified")
		}
	}
	active := func(s *Store) []string {
		rows, _ := s.Evacuations()
		return state.ActiveEvacuations(rows)
	}
	order("a", true, 0)
	s := NewStore(c)
	before := source.After(s.Position())
	if _, err := s.Apply(before); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"a"}, active(s)); diff != "" {
		t.Fatal(diff)
	}
	order("b", true, 0)
	order("a", false, 1)
	resp := source.After(s.Position())
	if changes, err := s.Apply(resp); err != nil || !changes.Evacuations {
		t.Fatalf("got changes %+v, %v", changes, err)
	}
	if changes, err := s.Apply(before); err != nil || changes.Evacuations {
		t.Fatalf("an older message changed %+v, %v", changes, err)
	}
	relayed := NewStore(c)
	if _, err := relayed.Apply(s.After(Position{})); err != nil {
		t.Fatal(err)
	}
	for name, copied := range map[string]*Store{"follower": s, "relayed": relayed} {
		if diff := cmp.Diff([]string{"b"}, active(copied)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	if again := source.After(s.Position()); len(again.GetEvacuations()) > 0 {
		t.Errorf("a follower that is up to date was sent %v", again.GetEvacuations())
	}
}

// syncingSource is a Source that is in sync from the given check on.
type syncingSource struct {
	*Store
	checks, inSyncFrom int
}

func (s *syncingSource) Confirmed() time.Duration {
	s.checks++
	if s.checks < s.inSyncFrom {
		return time.Hour
	}
	return 0
}

// Guards against control boxes that send all tables to each follower although they are out of
// sync, so that followers discard them, and against followers that have to ask again although
// their control box is in sync shortly after.
func TestServeSendsContentInSyncOnly(t *testing.T) {
	tests := map[string]struct {
		inSyncFrom int
		content    bool
	}{
		"in sync":            {content: true},
		"in sync soon after": {inSyncFrom: 4, content: true},
		"out of sync":        {inSyncFrom: 1 << 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := NewStore(clock.System{})
			message := &betweenv1.FollowResponse{Routing: &statev1.RoutingTable{Version: 3}, Targets: []*statev1.RegisteredTarget{row("a", ready, 1)}, TargetRevision: 1}
			if _, err := store.Apply(message); err != nil {
				t.Fatal(err)
			}
			var first *betweenv1.FollowResponse
			err := Serve(context.Background(), &syncingSource{Store: store, inSyncFrom: test.inSyncFrom}, &betweenv1.FollowRequest{}, func(r *betweenv1.FollowResponse) error {
				first = r
				return errors.New("enough")
			})
			if err == nil || (first.GetRouting() != nil) != test.content || (len(first.GetTargets()) > 0) != test.content {
				t.Errorf("got %v, %v, want content: %v", first, err, test.content)
			}
			if outOfSync := time.Duration(first.GetConfirmed())*time.Millisecond > maxSyncAge; outOfSync == test.content {
				t.Errorf("the message says that the box was in sync %d ms ago", first.GetConfirmed())
			}
		})
	}
}

// changingSource is a Source that comes into sync with a change just after it was read.
type changingSource struct {
	*Store
	read bool
}

func (s *changingSource) After(has Position) *betweenv1.FollowResponse {
	s.read = true
	return s.Store.After(has)
}

func (s *changingSource) Confirmed() time.Duration {
	if s.read {
		return 0
	}
	return maxSyncAge / 2
}

// Guards against a message that claims to be newer than its content and hides a change from its box.
func TestServeStatesTheAgeOfItsContent(t *testing.T) {
	store := NewStore(clock.System{})
	if _, err := store.Apply(&betweenv1.FollowResponse{Targets: []*statev1.RegisteredTarget{row("a", ready, 1)}, TargetRevision: 1}); err != nil {
		t.Fatal(err)
	}
	var first *betweenv1.FollowResponse
	_ = Serve(context.Background(), &changingSource{Store: store}, &betweenv1.FollowRequest{}, func(r *betweenv1.FollowResponse) error {
		first = r
		return errors.New("enough")
	})
	if got := time.Duration(first.GetConfirmed()) * time.Millisecond; len(first.GetTargets()) != 1 || got != maxSyncAge/2 {
		t.Errorf("%d targets confirmed %v ago, want 1 and %v", len(first.GetTargets()), got, maxSyncAge/2)
	}
}

// askedFirst is a control box that records who asks it to follow, and ends their runs.
type askedFirst struct {
	betweenv1connect.GatewayServiceClient
	asked func()
}

func (b *askedFirst) Follow(context.Context, *connect.Request[betweenv1.FollowRequest]) (*connect.ServerStreamForClient[betweenv1.FollowResponse], error) {
	b.asked()
	return nil, errors.New("enough")
}

// Guards against a herd: after a restart of the whole fleet each box knows the same seeds, and
// all of them asked the first one first.
func TestFollowersBeginWithDifferentBoxes(t *testing.T) {
	seeds := []string{"a", "b", "c"}
	asked := map[string]int{}
	const boxes = 90
	for n := range boxes {
		ctx, cancel := context.WithCancel(context.Background())
		client := NewClient(seeds, func(address string) betweenv1connect.GatewayServiceClient {
			return &askedFirst{asked: func() { asked[address]++; cancel() }}
		})
		(&Follower{Box: fmt.Sprint("edge-", n), Store: NewStore(clock.System{}), Client: client, Logger: logging.Discard()}).Run(ctx)
	}
	for _, address := range seeds {
		if asked[address] > boxes/2 || asked[address] < boxes/6 {
			t.Errorf("%d of %d boxes began with %s", asked[address], boxes, address)
		}
	}
}

// Guards against an order that the state has refused being tried again until its time is up.
func TestRefusedChangeIsNotRetried(t *testing.T) {
	refusing := &refusingBox{}
	c := NewClient([]string{"a", "b"}, func(string) betweenv1connect.GatewayServiceClient { return refusing })
	err := c.PutEvacuation(context.Background(), &statev1.PutEvacuation{DataCentre: "a", Active: true})
	if !IsErrRefused(err) || err.Error() != "overtaken" || refusing.asked != 1 {
		t.Fatalf("got %v after %d calls, want the refusal after one", err, refusing.asked)
	}
}

// refusingBox is a fake control box whose state refuses each change.
type refusingBox struct {
	betweenv1connect.GatewayServiceClient
	asked int
}

func (b *refusingBox) Submit(context.Context, *connect.Request[betweenv1.SubmitRequest]) (*connect.Response[betweenv1.SubmitResponse], error) {
	b.asked++
	return nil, connect.NewError(CodeRefused, errors.New("overtaken"))
}

// submitCounter is a fake control box that counts submissions.
type submitCounter struct {
	betweenv1connect.GatewayServiceClient
	mu sync.Mutex
	n  int
	// rows are the ids of the targets submitted.
	rows []string
	// refused makes every submission fail.
	refused bool
}

func (s *submitCounter) Submit(_ context.Context, r *connect.Request[betweenv1.SubmitRequest]) (*connect.Response[betweenv1.SubmitResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	for _, row := range r.Msg.GetEntry().GetPutTargets().GetTargets() {
		s.rows = append(s.rows, row.GetId())
	}
	if s.refused {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no leader"))
	}
	return connect.NewResponse(&betweenv1.SubmitResponse{}), nil
}

// Targets that start at the same time share log entries, and each call is answered with
// the result of its entry.
func TestRegistryBatchesCalls(t *testing.T) {
	cases := map[string]bool{"acknowledged": false, "no leader": true}
	for name, refused := range cases {
		t.Run(name, func(t *testing.T) {
			counter := &submitCounter{refused: refused}
			g := &Registry{Lookup: func(string) *statev1.RegisteredTarget { return nil },
				Client: NewClient([]string{"a"}, func(string) betweenv1connect.GatewayServiceClient { return counter })}
			const targets = 2*maxBatchRows + 7
			errs := make(chan error, targets)
			for i := range targets {
				go func() { errs <- g.Put(context.Background(), row(fmt.Sprint("t", i), ready, 0)) }()
			}
			for range targets {
				if err := <-errs; (err != nil) != refused {
					t.Fatalf("a target's call returned %v", err)
				}
			}
			counter.mu.Lock()
			defer counter.mu.Unlock()
			seen := map[string]bool{}
			for _, id := range counter.rows {
				seen[id] = true
			}
			if len(seen) != targets {
				t.Fatalf("%d of %d rows were submitted", len(seen), targets)
			}
			if !refused && counter.n > targets/4 {
				t.Fatalf("%d entries were submitted for %d targets", counter.n, targets)
			}
		})
	}
}
