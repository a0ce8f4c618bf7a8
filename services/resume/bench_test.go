// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package resume_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/lease"
	streams "havenwinch.dev/havenwinch/models/resume"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/services/peers"
	"havenwinch.dev/havenwinch/services/resume"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

type server struct{ s *resume.Service }

func (h server) Record(_ context.Context, r *connect.Request[betweenv1.RecordRequest]) (*connect.Response[betweenv1.RecordResponse], error) {
	return connect.NewResponse(&betweenv1.RecordResponse{}), h.s.StoreRecord(r.Msg)
}

func (h server) Find(_ context.Context, r *connect.Request[betweenv1.FindRequest]) (*connect.Response[betweenv1.FindResponse], error) {
	resp, err := h.s.LookUp(r.Msg)
	return connect.NewResponse(resp), err
}

// startFleet starts a box in each of two data centres besides the first, and returns the service of
// the first one and the bytes between the boxes.
func startFleet(b *testing.B) (*resume.Service, *atomic.Int64) {
	bytes := &atomic.Int64{}
	var directory *lease.Directory
	boxes := []lease.Box{{Name: "self", DataCentre: "dc-0", Address: "127.0.0.1:1"}}
	newService := func(name, centre string) *resume.Service {
		p := peers.New(peers.Options{Box: name, Secret: []byte("a secret for tests on loopback only"), Clock: clock.System{}, Stamps: hlc.New(clock.System{})})
		s := resume.New(resume.Options{Box: name, DataCentre: centre, Directory: func() *lease.Directory { return directory }, Connect: p.Streams, Clock: clock.System{}, Logger: logging.Discard(), Count: func(string) {}})
		if name == "self" {
			return s
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		mux := http.NewServeMux()
		mux.Handle(betweenv1connect.NewStreamServiceHandler(server{s}, p.HandlerOptions()...))
		h := p.Server(mux)
		go func() { _ = h.Serve(countingListener{l, bytes}) }()
		b.Cleanup(func() { _ = h.Close() })
		boxes = append(boxes, lease.Box{Name: name, DataCentre: centre, Address: l.Addr().String()})
		return s
	}
	self := newService("self", "dc-0")
	newService("near", "dc-0")
	newService("far", "dc-1")
	directory = lease.NewDirectory(boxes)
	return self, bytes
}

// BenchmarkRecord measures how long a first event waits for its record, and the bytes between boxes
// for each stream, with two boxes on loopback.
func BenchmarkRecord(b *testing.B) {
	s, bytes := startFleet(b)
	n := 0
	for b.Loop() {
		n++
		s.Record(context.Background(), streams.KeyOf("o", "s", fmt.Sprint(n)), "version v1.1", time.Minute)
	}
	time.Sleep(100 * time.Millisecond)
	b.ReportMetric(float64(bytes.Load())/float64(n), "B/stream")
}

// BenchmarkFind measures how a box finds a stream that another one has begun.
func BenchmarkFind(b *testing.B) {
	s, _ := startFleet(b)
	k := streams.KeyOf("o", "s", "unknown")
	for b.Loop() {
		if _, err := s.Find(context.Background(), k); !resume.IsErrUnknown(err) {
			b.Fatal(err)
		}
	}
}
