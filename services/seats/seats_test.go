// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package seats_test

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/lease"
	models "havenwinch.dev/havenwinch/models/seats"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/services/forward"
	"havenwinch.dev/havenwinch/services/peers"
	"havenwinch.dev/havenwinch/services/seats"
)

const (
	secret  = "a secret for tests on loopback only"
	service = "s"
	centre  = "dc"
	// slots is the number of slots of the only target, room how many of them are granted.
	slots, room = 4, 3
	waitLimit   = 10 * time.Second
)

// oneTarget lists one target.
type oneTarget struct{}

func (oneTarget) SeatedTargets(string, string) []models.Target {
	return []models.Target{{Start: "t", Slots: slots}}
}

// testFleet is a fleet of boxes of one data centre.
type testFleet struct {
	clock     *clock.Fake
	directory atomic.Pointer[lease.Directory]
	// hasNoContact is set while the boxes have no contact to control.
	hasNoContact atomic.Bool
	boxes        map[string]*testBox
}

type testBox struct {
	lease.Box
	server *seats.Server
	client *seats.Client
	http   *http.Server
	// isSilent makes the box answer nothing.
	isSilent atomic.Bool
	// isStarved makes the dials of the box fail for want of a resource.
	isStarved atomic.Bool
	// log has the log lines of the client.
	log   logBuffer
	mu    sync.Mutex
	conns []net.Conn
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// starvable is the client of a box whose dials fail while isStarved is set.
type starvable struct {
	betweenv1connect.SeatServiceClient
	starved   betweenv1connect.SeatServiceClient
	isStarved *atomic.Bool
}

func (s starvable) now() betweenv1connect.SeatServiceClient {
	if s.isStarved.Load() {
		return s.starved
	}
	return s.SeatServiceClient
}

func (s starvable) Hold(ctx context.Context) *connect.BidiStreamForClient[betweenv1.HoldRequest, betweenv1.HoldResponse] {
	return s.now().Hold(ctx)
}

func (s starvable) Holds(ctx context.Context, r *connect.Request[betweenv1.HoldsRequest]) (*connect.Response[betweenv1.HoldsResponse], error) {
	return s.now().Holds(ctx, r)
}

type handler struct{ b *testBox }

func (h handler) Hold(ctx context.Context, stream *connect.BidiStream[betweenv1.HoldRequest, betweenv1.HoldResponse]) error {
	if h.b.isSilent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return h.b.server.Serve(ctx, stream)
}

func (h handler) Holds(ctx context.Context, r *connect.Request[betweenv1.HoldsRequest]) (*connect.Response[betweenv1.HoldsResponse], error) {
	if h.b.isSilent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	holds, canHold := h.b.server.Holds(r.Msg.GetService(), r.Msg.GetDataCentre())
	return connect.NewResponse(&betweenv1.HoldsResponse{Holds: holds, CanHold: canHold}), nil
}

// newTestFleet starts boxes that have known each other for long.
func newTestFleet(t *testing.T, names ...string) *testFleet {
	t.Helper()
	f := &testFleet{clock: clock.NewFake(), boxes: map[string]*testBox{}}
	for _, name := range names {
		f.boxes[name] = f.startBox(t, name)
	}
	f.list(names...)
	f.settle()
	return f
}

// list sets the boxes of the directory.
func (f *testFleet) list(names ...string) {
	var boxes []lease.Box
	for _, name := range names {
		boxes = append(boxes, f.boxes[name].Box)
	}
	f.directory.Store(lease.NewDirectory(boxes))
}

// settle lets all boxes see the directory, and the time pass in which a new holder grants nothing.
func (f *testFleet) settle() {
	for _, b := range f.boxes {
		b.server.Holds(service, centre)
	}
	time.Sleep(50 * time.Millisecond)
	f.clock.Advance(models.SettleTime)
}

func (f *testFleet) startBox(t *testing.T, name string) *testBox {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &testBox{Box: lease.Box{Name: name, DataCentre: centre, Address: l.Addr().String()}}
	p := peers.New(peers.Options{Box: name, Secret: []byte(secret), Clock: clock.System{}, Stamps: hlc.New(clock.System{})})
	// A local address that the machine does not have makes dials fail before a packet is sent.
	starved := peers.New(peers.Options{Box: name, Secret: []byte(secret), Clock: clock.System{}, Stamps: hlc.New(clock.System{}), IP: net.IPv4(192, 0, 2, 1)})
	dial := func(address string) betweenv1connect.SeatServiceClient {
		return starvable{p.Seats(address), starved.Seats(address), &b.isStarved}
	}
	b.server = seats.NewServer(seats.ServerOptions{
		Box: name, Directory: f.directory.Load, HasContact: func() bool { return !f.hasNoContact.Load() }, Connect: dial, Targets: oneTarget{},
		Clock: f.clock, Logger: logging.Discard(),
	})
	b.client = seats.NewClient(seats.ClientOptions{
		Box: name, DataCentre: centre, Directory: f.directory.Load, Connect: dial, Own: b.server, Clock: f.clock, Logger: slog.New(slog.NewTextHandler(&b.log, nil)),
	})
	mux := http.NewServeMux()
	mux.Handle(betweenv1connect.NewSeatServiceHandler(handler{b}, p.HandlerOptions()...))
	b.http = p.Server(mux)
	b.http.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateNew {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.conns = append(b.conns, c)
		}
	}
	go func() { _ = b.http.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	go b.server.Run(ctx)
	t.Cleanup(func() {
		cancel()
		b.end()
	})
	return b
}

// end ends the box as the end of its process does.
func (b *testBox) end() {
	_ = b.http.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		_ = c.Close()
	}
}

// holders returns the first and the second holder, and a box that is neither.
func (f *testFleet) holders() (first, second, caller *testBox) {
	list := f.directory.Load().SeatHolders(service, centre)
	first, second = f.boxes[list[0].Name], f.boxes[list[1].Name]
	for _, b := range f.boxes {
		if b != first && b != second {
			caller = b
		}
	}
	return first, second, caller
}

// acquire asks for a seat without waiting; nil if there is none.
func (b *testBox) acquire(t *testing.T) forward.GrantedSeat {
	t.Helper()
	seat, _, err := b.client.AcquireSeat(context.Background(), forward.SeatRequest{Service: service, Centres: []string{centre}})
	if err != nil {
		t.Logf("%s: %v", b.Name, err)
	}
	return seat
}

// acquireAll acquires seats until there are none.
func (b *testBox) acquireAll(t *testing.T) (list []forward.GrantedSeat) {
	t.Helper()
	for {
		seat := b.acquire(t)
		if seat == nil {
			return list
		}
		if list = append(list, seat); len(list) > slots {
			t.Fatalf("%d seats granted at %d slots", len(list), slots)
		}
	}
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

func TestSeatsOfAllBoxesFitIntoTheRoom(t *testing.T) {
	f := newTestFleet(t, "a", "b", "c", "d")
	var list []forward.GrantedSeat
	for _, b := range f.boxes {
		list = append(list, b.acquireAll(t)...)
	}
	if len(list) != room {
		t.Fatalf("%d seats granted, want %d", len(list), room)
	}
	list[0].Release(models.Done)
	_, _, caller := f.holders()
	await(t, "the released seat is granted again", func() bool { return caller.acquire(t) != nil })
}

func TestCallsWaitForSeats(t *testing.T) {
	f := newTestFleet(t, "a", "b", "c")
	_, _, caller := f.holders()
	list := caller.acquireAll(t)
	got := make(chan forward.GrantedSeat, 1)
	go func() {
		seat, _, _ := caller.client.AcquireSeat(context.Background(), forward.SeatRequest{Service: service, Centres: []string{centre}, MaxWait: waitLimit})
		got <- seat
	}()
	time.Sleep(50 * time.Millisecond)
	list[0].Release(models.Done)
	if seat := <-got; seat == nil {
		t.Fatal("the waiting call got no seat")
	}
}

// Guards against seats of a killed box that are granted anew while its calls may still be running.
func TestSeatsOfAnEndedBoxAreKeptForAWhile(t *testing.T) {
	f := newTestFleet(t, "a", "b", "c", "d")
	first, _, caller := f.holders()
	ctx, cancel := context.WithCancel(context.Background())
	stream := peers.New(peers.Options{Box: "z", Secret: []byte(secret), Clock: clock.System{}, Stamps: hlc.New(clock.System{})}).Seats(first.Address).Hold(ctx)
	if err := stream.Send(&betweenv1.HoldRequest{Service: service, DataCentre: centre}); err != nil {
		t.Fatal(err)
	}
	if resp, err := stream.Receive(); err != nil || resp.GetTarget() == "" {
		t.Fatalf("no seat: %v, %v", resp, err)
	}
	cancel()
	_ = stream.CloseRequest()
	time.Sleep(50 * time.Millisecond)
	if n := len(caller.acquireAll(t)); n != room-1 {
		t.Fatalf("%d seats granted beside a call that may be running, want %d", n, room-1)
	}
	f.clock.Advance(time.Second)
	if caller.acquire(t) == nil {
		t.Error("the seat is never granted again")
	}
}

// Guards against a second holder that knows nothing of the calls that run with seats of the first one.
func TestSecondHolderTakesOver(t *testing.T) {
	tests := map[string]struct {
		// fail makes the first holder fail.
		fail func(f *testFleet, first *testBox)
		// want is how many seats there are in all afterwards.
		want int
	}{
		"from a box that has ended":      {fail: func(_ *testFleet, first *testBox) { first.end() }, want: room},
		"half from a box that is silent": {fail: func(_ *testFleet, first *testBox) { first.isSilent.Store(true) }, want: 1 + room/2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, "a", "b", "c", "d")
			first, second, caller := f.holders()
			if caller.acquire(t) == nil {
				t.Fatal("no seat at first")
			}
			test.fail(f, first)
			await(t, "the second box grants seats", func() bool {
				f.clock.Advance(50 * time.Millisecond)
				caller.acquireAll(t)
				holds, _ := second.server.Holds(service, centre)
				return holds && second.server.Held()+1 >= test.want
			})
			f.clock.Advance(models.SettleTime)
			caller.acquireAll(t)
			if n := second.server.Held(); n > room {
				t.Errorf("%d seats taken, want at most %d", n, room)
			}
		})
	}
}

// Guards against a box that is short of a resource and takes the holder of seats for lost.
func TestShortageIsNoEvidenceAgainstHolders(t *testing.T) {
	f := newTestFleet(t, "a", "b", "c", "d")
	first, second, caller := f.holders()
	caller.isStarved.Store(true)
	for range 3 {
		if caller.acquire(t) != nil {
			t.Fatal("a seat at a box that can dial none")
		}
	}
	if text := caller.log.String(); strings.Contains(text, "not asked") {
		t.Errorf("a holder is left out: %s", text)
	}
	second.isStarved.Store(true)
	first.isSilent.Store(true)
	for range 3 {
		f.clock.Advance(3 * time.Second)
		caller.acquire(t)
	}
	if holds, _ := second.server.Holds(service, centre); holds {
		t.Error("the second holder has taken over though it could not ask the first one")
	}
}

// Guards against two boxes that grant the same seats after the directory has changed.
func TestHolderChangesWithTheDirectory(t *testing.T) {
	f := newTestFleet(t, "a", "b", "c", "d")
	first, second, caller := f.holders()
	if len(caller.acquireAll(t)) != room {
		t.Fatal("no seats at first")
	}
	f.list(slices.DeleteFunc(slices.Collect(maps.Keys(f.boxes)), func(name string) bool { return name == first.Name })...)
	await(t, "the running calls are attached to the new holder", func() bool { return second.server.Held() == room })
	if first.server.Held() != 0 {
		t.Error("the former holder has seats left")
	}
	f.clock.Advance(models.SettleTime)
	if caller.acquire(t) != nil {
		t.Error("a seat of a running call was granted again")
	}
}

// Guards against running calls that a new holder doesn't hear of in time, as their box avoids it.
func TestRunningCallsAreAttachedToAnAvoidedBox(t *testing.T) {
	f := newTestFleet(t, "a", "b", "c", "d")
	first, second, caller := f.holders()
	rest := slices.DeleteFunc(slices.Collect(maps.Keys(f.boxes)), func(name string) bool { return name == first.Name })
	f.list(rest...)
	second.isSilent.Store(true)
	for range 6 {
		f.clock.Advance(3 * time.Second)
		if seat := caller.acquire(t); seat != nil {
			seat.Release(models.Unused)
		}
	}
	second.isSilent.Store(false)
	f.list(slices.Collect(maps.Keys(f.boxes))...)
	f.settle()
	if len(caller.acquireAll(t)) != room {
		t.Fatal("no seats at first")
	}
	f.list(rest...)
	await(t, "the running calls are attached to the new holder", func() bool { return second.server.Held() == room })
}

// Guards against both sides of a partition that grant all seats: a holder without contact to control
// halves them unless the other holder grants none.
func TestHolderWithoutContactHalves(t *testing.T) {
	tests := map[string]struct {
		otherIsSilent bool
		want          int
	}{
		"the other one grants none": {want: room},
		"the other one is silent":   {otherIsSilent: true, want: room / 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, "a", "b", "c")
			first, second, _ := f.holders()
			first.acquire(t).Release(models.Done)
			second.isSilent.Store(test.otherIsSilent)
			f.hasNoContact.Store(true)
			time.Sleep(2 * seats.CheckInterval)
			if n := len(first.acquireAll(t)); n != test.want {
				t.Errorf("%d seats granted, want %d", n, test.want)
			}
		})
	}
}

func TestBoxWithoutDirectoryAsksNobody(t *testing.T) {
	f := newTestFleet(t, "a", "b", "c")
	f.directory.Store(nil)
	_, _, err := f.boxes["a"].client.AcquireSeat(context.Background(), forward.SeatRequest{Service: service, Centres: []string{centre}})
	if !seats.IsErrNoHolder(err) {
		t.Errorf("got %v, want an ErrNoHolder", err)
	}
}
