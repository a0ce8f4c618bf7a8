// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package resume

import (
	"context"
	"fmt"
	"net"
	"os"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/resume"
	"havenwinch.dev/havenwinch/models/software"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
)

// network connects the services of a fleet without processes.
type network struct {
	mu       sync.Mutex
	services map[string]*Service
	// dead boxes refuse requests, silent ones don't answer; those in starved can't be asked for want of a
	// descriptor.
	dead, silent, starved map[string]bool
	// held, if not nil, keeps requests to silent boxes until it is closed, however long they may take.
	held  chan struct{}
	asked map[string]int
}

// peer is the client of one box.
type peer struct {
	n    *network
	name string
}

func (p *peer) reach(ctx context.Context) (*Service, error) {
	p.n.mu.Lock()
	p.n.asked[p.name]++
	dead, silent, starved, s := p.n.dead[p.name], p.n.silent[p.name], p.n.starved[p.name], p.n.services[p.name]
	p.n.mu.Unlock()
	switch {
	case dead:
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("connection refused"))
	case starved:
		return nil, connect.NewError(connect.CodeUnavailable, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", syscall.EMFILE)})
	case silent && p.n.held != nil:
		<-p.n.held
		return nil, connect.NewError(connect.CodeDeadlineExceeded, errors.New("no answer"))
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	default:
		return s, nil
	}
}

func (p *peer) Record(ctx context.Context, r *connect.Request[betweenv1.RecordRequest]) (*connect.Response[betweenv1.RecordResponse], error) {
	s, err := p.reach(ctx)
	if err == nil {
		err = s.StoreRecord(r.Msg)
	}
	return connect.NewResponse(&betweenv1.RecordResponse{}), err
}

func (p *peer) Find(ctx context.Context, r *connect.Request[betweenv1.FindRequest]) (*connect.Response[betweenv1.FindResponse], error) {
	s, err := p.reach(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := s.LookUp(r.Msg)
	return connect.NewResponse(resp), err
}

// newNetwork returns a fleet with boxes dc-0-box-0 and so on.
func newNetwork(centres, perCentre int) *network {
	n := &network{services: map[string]*Service{}, dead: map[string]bool{}, silent: map[string]bool{}, starved: map[string]bool{}, asked: map[string]int{}}
	var boxes []lease.Box
	for c := range centres {
		for i := range perCentre {
			name := fmt.Sprintf("dc-%d-box-%d", c, i)
			boxes = append(boxes, lease.Box{Name: name, DataCentre: fmt.Sprintf("dc-%d", c), Address: name})
		}
	}
	directory := lease.NewDirectory(boxes)
	for _, b := range boxes {
		n.services[b.Name] = New(Options{
			Box: b.Name, DataCentre: b.DataCentre, Directory: func() *lease.Directory { return directory }, Clock: clock.System{}, Logger: logging.Discard(), Count: func(string) {},
			Connect: func(address string) betweenv1connect.StreamServiceClient { return &peer{n: n, name: address} },
		})
	}
	return n
}

func (n *network) set(kind map[string]bool, names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		kind[name] = true
	}
}

// holders returns how many boxes other than one have a record.
func (n *network) holders(k resume.Key, except string) int {
	count := 0
	for name, s := range n.services {
		if _, known := s.get(k); known && name != except {
			count++
		}
	}
	return count
}

const (
	writer   = "dc-0-box-0"
	lifetime = time.Minute
)

// Guards against callers that can't take their streams up at other boxes after the box that began
// them was lost, alone, with its data centre, or with the first box that should have a record.
func TestStreamsAreFoundAfterTheirBoxWasLost(t *testing.T) {
	cases := map[string]struct {
		// silent are lost before the stream begins, lost after it.
		silent, lost []string
		reader       string
	}{
		"at a box of the data centre":              {lost: []string{writer}, reader: "dc-0-box-2"},
		"at a box of another data centre":          {lost: []string{writer}, reader: "dc-2-box-1"},
		"with its data centre":                     {lost: []string{writer, "dc-0-box-1", "dc-0-box-2"}, reader: "dc-1-box-0"},
		"with all other data centres":              {lost: []string{writer, "dc-1-box-0", "dc-1-box-1", "dc-1-box-2", "dc-2-box-0", "dc-2-box-1", "dc-2-box-2"}, reader: "dc-0-box-1"},
		"the own box has the record":               {reader: writer},
		"another box of its data centre is silent": {silent: []string{"dc-0-box-1"}, lost: []string{writer}, reader: "dc-0-box-2"},
		"a box of another data centre is silent":   {silent: []string{"dc-1-box-0"}, lost: []string{writer}, reader: "dc-1-box-1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNetwork(3, 3)
			n.set(n.silent, c.silent...)
			keys := map[resume.Key]software.Identity{}
			for i := range 40 {
				k, id := resume.KeyOf("o", "s", fmt.Sprint(i)), software.Identity(fmt.Sprint("version ", i%3))
				keys[k] = id
				n.services[writer].Record(context.Background(), k, id, lifetime)
			}
			waitUntil(t, func() bool {
				for k := range keys {
					if n.holders(k, writer) < 2 {
						return false
					}
				}
				return true
			})
			n.set(n.dead, c.lost...)
			n.services[c.reader].searchTime = time.Minute
			for k, want := range keys {
				if got, err := n.services[c.reader].Find(context.Background(), k); err != nil || got != want {
					t.Fatalf("found %q (%v), want %q", got, err, want)
				}
			}
		})
	}
}

// stop stops a box as planned, and starts it again without records.
func (n *network) stop(name string) {
	s := n.services[name]
	s.HandOver(context.Background())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.services[name] = New(s.opts)
}

// Guards against streams that can't be taken up once the boxes that held their records have stopped and
// started again, one after the other.
func TestStreamsAreFoundAfterBoxesStoppedInTurn(t *testing.T) {
	cases := map[string]struct{ centres, perCentre int }{
		"one data centre":               {centres: 1, perCentre: 3},
		"data centres with one box":     {centres: 3, perCentre: 1},
		"data centres with two boxes":   {centres: 2, perCentre: 2},
		"data centres with three boxes": {centres: 3, perCentre: 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const streams = 40
			n := newNetwork(c.centres, c.perCentre)
			keys := map[resume.Key]software.Identity{}
			for i := range streams {
				k, id := resume.KeyOf("o", "s", fmt.Sprint(i)), software.Identity(fmt.Sprint("version ", i%3))
				keys[k] = id
				n.services[writer].Record(context.Background(), k, id, lifetime)
			}
			waitUntil(t, func() bool {
				for k := range keys {
					if n.holders(k, writer) < 1 {
						return false
					}
				}
				return true
			})
			var names []string
			for name := range n.services {
				names = append(names, name)
			}
			sort.Strings(names)
			for range 2 {
				for _, name := range names {
					n.stop(name)
				}
			}
			for _, name := range names {
				s := n.services[name]
				s.searchTime = time.Minute
				for k, want := range keys {
					if got, err := s.Find(context.Background(), k); err != nil || got != want {
						t.Fatalf("%s found %q (%v), want %q", name, got, err, want)
					}
				}
			}
		})
	}
}

// Guards against records that nobody takes since the other boxes have missed one request.
func TestHandOverAsksBoxesThatMissedARequest(t *testing.T) {
	n := newNetwork(1, 3)
	k := resume.KeyOf("o", "s", "a")
	w := n.services[writer]
	w.put(k, "v1", lifetime)
	for _, b := range w.currentPlacement().Near(k) {
		w.block(b, errors.New("no answer"))
	}
	w.HandOver(context.Background())
	if n.holders(k, writer) == 0 {
		t.Error("no other box has the record")
	}
}

// Guards against records that are lost at a box that has handed its own over already.
func TestLeavingBoxTakesNoRecords(t *testing.T) {
	n := newNetwork(1, 3)
	n.services["dc-0-box-1"].HandOver(context.Background())
	k := resume.KeyOf("o", "s", "a")
	err := n.services["dc-0-box-1"].StoreRecord(&betweenv1.RecordRequest{Stream: k[:], Software: "v1", Lifetime: 1000})
	if !IsErrLeaving(err) {
		t.Fatalf("got %v, want an ErrLeaving", err)
	}
	n.services[writer].Record(context.Background(), k, "v1", lifetime)
	waitUntil(t, func() bool { return n.holders(k, writer) == 1 })
	if _, known := n.services["dc-0-box-2"].get(k); !known {
		t.Error("the box that stays has no record")
	}
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("timed out")
}

// Guards against a stream that goes on at a guess: what nobody knows, or what boxes disagree on.
func TestUnknownStreams(t *testing.T) {
	k := resume.KeyOf("o", "s", "a")
	record := func(n *network, box string, id software.Identity) { n.services[box].put(k, id, lifetime) }
	cases := map[string]struct {
		prepare    func(n *network)
		unanswered bool
	}{
		"no record":                               {prepare: func(*network) {}},
		"other organisation":                      {prepare: func(n *network) { n.services[writer].put(resume.KeyOf("p", "s", "a"), "v1", lifetime) }},
		"a box does not answer":                   {prepare: func(n *network) { n.set(n.dead, "dc-0-box-0", "dc-1-box-0", "dc-1-box-1") }, unanswered: true},
		"all boxes are silent":                    {prepare: func(n *network) { n.set(n.silent, "dc-0-box-0", "dc-0-box-1", "dc-1-box-0", "dc-1-box-1") }, unanswered: true},
		"this box was told of two":                {prepare: func(n *network) { record(n, "dc-0-box-1", "v1"); record(n, "dc-0-box-1", "v2") }},
		"the holder was told of two":              {prepare: func(n *network) { record(n, writer, "v1"); record(n, writer, "v2") }},
		"the record has expired":                  {prepare: func(n *network) { n.services[writer].put(k, "v1", 0) }},
		"the directory of boxes is not known yet": {prepare: func(n *network) { n.services["dc-0-box-1"].opts.Directory = func() *lease.Directory { return nil } }, unanswered: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNetwork(2, 2)
			c.prepare(n)
			id, err := n.services["dc-0-box-1"].Find(context.Background(), k)
			var unknown ErrUnknown
			if id != "" || !errors.As(err, &unknown) {
				t.Fatalf("found %q (%v)", id, err)
			}
			if (unknown.Unanswered > 0) != c.unanswered {
				t.Fatalf("%d boxes have not answered", unknown.Unanswered)
			}
		})
	}
}

// Guards against first events that wait for boxes that are lost.
func TestRecordDoesNotWaitForLostBoxes(t *testing.T) {
	n := newNetwork(2, 2)
	n.set(n.silent, "dc-0-box-1", "dc-1-box-0", "dc-1-box-1")
	k := resume.KeyOf("o", "s", "a")
	n.held = make(chan struct{})
	n.services[writer].opts.Clock = clock.NewFake()
	n.services[writer].Record(context.Background(), k, "v1", lifetime)
	close(n.held)
	waitUntil(t, func() bool {
		s := n.services[writer]
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.blockedUntil) == 3
	})
	n.mu.Lock()
	n.asked = map[string]int{}
	n.mu.Unlock()
	n.services[writer].Record(context.Background(), resume.KeyOf("o", "s", "b"), "v1", lifetime)
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.asked) != 0 {
		t.Fatalf("silent boxes were asked again at once: %v", n.asked)
	}
}

// Guards against a box that is short of descriptors and leaves the others out for it.
func TestShortageOfDescriptorsBlocksNoHolder(t *testing.T) {
	n := newNetwork(2, 2)
	n.set(n.starved, "dc-0-box-1", "dc-1-box-0", "dc-1-box-1")
	s := n.services[writer]
	s.Record(context.Background(), resume.KeyOf("o", "s", "a"), "v1", lifetime)
	waitUntil(t, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.asked) == 3
	})
	n.mu.Lock()
	clear(n.starved)
	n.mu.Unlock()
	k := resume.KeyOf("o", "s", "b")
	s.Record(context.Background(), k, "v1", lifetime)
	waitUntil(t, func() bool { return n.holders(k, writer) > 0 })
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.blockedUntil) != 0 {
		t.Errorf("boxes left out: %v", s.blockedUntil)
	}
}

func TestInvalidRecordsOfOtherBoxes(t *testing.T) {
	s := newNetwork(1, 1).services[writer]
	k := resume.KeyOf("o", "s", "a")
	cases := map[string]struct {
		stream   []byte
		software string
		field    string
	}{
		"no stream":            {software: "v1", field: "stream"},
		"short stream":         {stream: k[:5], software: "v1", field: "stream"},
		"long stream":          {stream: append(k[:], 1), software: "v1", field: "stream"},
		"no software":          {stream: k[:], field: "software"},
		"very long software":   {stream: k[:], software: string(make([]byte, maxSoftware+1)), field: "software"},
		"a valid one is taken": {stream: k[:], software: "v1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := s.StoreRecord(&betweenv1.RecordRequest{Stream: c.stream, Software: c.software, Lifetime: 1000})
			var invalid ErrInvalidRecord
			if c.field == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if !errors.As(err, &invalid) || invalid.Field != c.field {
				t.Fatalf("got %v, want field %s", err, c.field)
			}
		})
	}
}

// Guards against clients of boxes that have left the fleet, kept for as long as this box runs.
func TestClientsOfBoxesThatHaveLeftAreDropped(t *testing.T) {
	n := newNetwork(1, 3)
	s := n.services[writer]
	var directory atomic.Pointer[lease.Directory]
	directory.Store(s.opts.Directory())
	s.opts.Directory = directory.Load
	for i := range 40 {
		s.Record(context.Background(), resume.KeyOf("o", "s", fmt.Sprint(i)), "v1", lifetime)
	}
	directory.Store(lease.NewDirectory([]lease.Box{{Name: writer, DataCentre: "dc-0", Address: writer}, {Name: "new", DataCentre: "dc-0", Address: "new"}}))
	n.set(n.dead, "new")
	s.Record(context.Background(), resume.KeyOf("o", "s", "last"), "v1", lifetime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for address := range s.clients {
		if address != "new" {
			t.Errorf("the client of %s is kept", address)
		}
	}
}
