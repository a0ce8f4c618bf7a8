// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package resume replicates which software began each stream to a few entry boxes, and finds it when
// the caller of a stream returns at any box. See models/resume for where the records are held.
package resume

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/resume"
	"havenwinch.dev/havenwinch/models/software"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/dial"
)

const (
	// ackWait limits how long the first event of a stream waits for another box to have its record.
	ackWait = 25 * time.Millisecond
	// recordTimeout limits a request to record a stream, findTimeout a search over all boxes.
	recordTimeout = 200 * time.Millisecond
	findTimeout   = 300 * time.Millisecond
	// silenceBlock is how long a box that has not answered is no holder of new records.
	silenceBlock = time.Second
	// maxSoftware limits the identity of a software, in bytes.
	maxSoftware = 1024
)

// Options configure a Service.
type Options struct {
	Box        string
	DataCentre string
	// Directory returns the entry boxes of the fleet, nil while they are not known.
	Directory func() *lease.Directory
	// Connect returns a client of the box at an address.
	Connect func(address string) betweenv1connect.StreamServiceClient
	Clock   clock.Clock
	Logger  *slog.Logger
	// Count counts records that were sent to other boxes, by outcome.
	Count func(outcome string)
}

// Outcomes of records in metrics.
const (
	outcomeHeld   = "held"
	outcomeFailed = "failed"
)

// Service keeps the records of streams, of this box and of others.
type Service struct {
	opts Options
	// searchTime limits a search.
	searchTime time.Duration

	mu        sync.Mutex
	table     *resume.Table
	placement *resume.Placement
	// version is that of the directory from which placement was made.
	version uint64
	clients map[string]betweenv1connect.StreamServiceClient
	// blockedUntil has, by name, until when a box is no holder of new records.
	blockedUntil map[string]time.Duration
	// leaving is set once this box hands its records over.
	leaving bool
}

// New returns a service without records.
func New(opts Options) *Service {
	return &Service{opts: opts, searchTime: findTimeout, table: resume.NewTable(), clients: map[string]betweenv1connect.StreamServiceClient{}, blockedUntil: map[string]time.Duration{}}
}

// Len returns the number of records that this box holds.
func (s *Service) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// StoreRecord stores the record of a stream of another box. The error is an ErrInvalidRecord, or an
// ErrLeaving once this box hands its records over.
func (s *Service) StoreRecord(r *betweenv1.RecordRequest) error {
	k, err := keyOf(r.GetStream())
	if err != nil {
		return err
	}
	if r.GetSoftware() == "" || len(r.GetSoftware()) > maxSoftware {
		return errors.WithStack(ErrInvalidRecord{Field: "software", Remedy: "must be given, in at most 1024 bytes"})
	}
	if !s.putUnlessLeaving(k, software.Identity(r.GetSoftware()), time.Duration(r.GetLifetime())*time.Millisecond) {
		return errors.WithStack(ErrLeaving{})
	}
	if p := s.currentPlacement(); p != nil && r.GetReplicate() {
		s.replicate(p, k, r)
	}
	return nil
}

// LookUp answers another box from the records of this one. The error is an ErrInvalidRecord.
func (s *Service) LookUp(r *betweenv1.FindRequest) (*betweenv1.FindResponse, error) {
	k, err := keyOf(r.GetStream())
	if err != nil {
		return nil, err
	}
	id, known := s.get(k)
	return &betweenv1.FindResponse{Found: known, Software: string(id)}, nil
}

func keyOf(stream []byte) (k resume.Key, err error) {
	if len(stream) != len(k) {
		return k, errors.WithStack(ErrInvalidRecord{Field: "stream", Remedy: "must have 16 bytes"})
	}
	copy(k[:], stream)
	return k, nil
}

func (s *Service) put(k resume.Key, id software.Identity, lifetime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Put(k, id, lifetime, s.opts.Clock.Boot())
}

// putUnlessLeaving stores a record that is handed over with the others when this box leaves. It returns
// false if that has begun.
func (s *Service) putUnlessLeaving(k resume.Key, id software.Identity, lifetime time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.table.Put(k, id, lifetime, s.opts.Clock.Boot())
	return true
}

func (s *Service) get(k resume.Key) (id software.Identity, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Get(k, s.opts.Clock.Boot())
}

// currentPlacement returns the placement for the directory in force, nil while there is none.
func (s *Service) currentPlacement() *resume.Placement {
	directory := s.opts.Directory()
	if directory == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.placement == nil || s.version != directory.Version {
		s.placement, s.version = resume.NewPlacement(directory.Boxes, s.opts.Box, s.opts.DataCentre), directory.Version
		s.forgetOthers(directory.Boxes)
	}
	return s.placement
}

// forgetOthers drops the clients and blocks of boxes that are not in the directory any more. The caller
// holds s.mu.
func (s *Service) forgetOthers(boxes []lease.Box) {
	names, addresses := make(map[string]bool, len(boxes)), make(map[string]bool, len(boxes))
	for _, b := range boxes {
		names[b.Name], addresses[b.Address] = true, true
	}
	maps.DeleteFunc(s.clients, func(address string, _ betweenv1connect.StreamServiceClient) bool { return !addresses[address] })
	maps.DeleteFunc(s.blockedUntil, func(name string, _ time.Duration) bool { return !names[name] })
}

func (s *Service) client(address string) betweenv1connect.StreamServiceClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	client := s.clients[address]
	if client == nil {
		client = s.opts.Connect(address)
		s.clients[address] = client
	}
	return client
}

// Record stores which software began a stream, here and at another box of the data centre, which
// replicates it to others. It returns as soon as that box has it, or one elsewhere if none takes it in
// the data centre. If none answers in time, the stream goes on all the same: should this box be lost
// then, its caller may have to begin anew.
func (s *Service) Record(ctx context.Context, k resume.Key, id software.Identity, lifetime time.Duration) {
	s.put(k, id, lifetime)
	p := s.currentPlacement()
	if p == nil {
		return
	}
	r := &betweenv1.RecordRequest{Stream: k[:], Software: string(id), Lifetime: lifetime.Milliseconds(), Replicate: true}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The caller may leave now and return elsewhere.
		if !s.recordAtOne(context.WithoutCancel(ctx), p.Near(k), r) {
			<-s.replicate(p, k, r)
		}
	}()
	timer := time.NewTimer(ackWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// replicate sends a record to other data centres in the background. The channel is closed as soon as a
// box has it or none takes it.
func (s *Service) replicate(p *resume.Placement, k resume.Key, r *betweenv1.RecordRequest) <-chan struct{} {
	r = &betweenv1.RecordRequest{Stream: r.GetStream(), Software: r.GetSoftware(), Lifetime: r.GetLifetime()}
	lists := p.Far(k)
	answers, done := make(chan bool, len(lists)), make(chan struct{})
	for _, boxes := range lists {
		go func() { answers <- s.recordAtOne(context.Background(), boxes, r) }()
	}
	go func() {
		defer close(done)
		for range lists {
			if <-answers {
				return
			}
		}
	}()
	return done
}

// recordAtOne sends a record to the first of the boxes that takes it, and reports whether one did.
func (s *Service) recordAtOne(ctx context.Context, boxes []lease.Box, r *betweenv1.RecordRequest) bool {
	for _, b := range boxes {
		if s.isBlocked(b) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		_, err := s.client(b.Address).Record(callCtx, connect.NewRequest(r))
		cancel()
		if err == nil {
			s.opts.Count(outcomeHeld)
			return true
		}
		s.opts.Count(outcomeFailed)
		if !dial.IsShortage(err) {
			s.block(b, err)
		}
	}
	return false
}

func (s *Service) isBlocked(b lease.Box) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blockedUntil[b.Name] > s.opts.Clock.Boot()
}

// block keeps a box from being asked to hold records for some time.
func (s *Service) block(b lease.Box, err error) {
	s.mu.Lock()
	now := s.opts.Clock.Boot()
	known := s.blockedUntil[b.Name] > now
	s.blockedUntil[b.Name] = now + silenceBlock
	s.mu.Unlock()
	if !known {
		s.opts.Logger.Info("box takes no records of streams", "peer", b.Name, "ms", silenceBlock.Milliseconds(), "reason", err.Error())
	}
}

// Find returns the software that began a stream. It asks the boxes that may hold the record all at
// once and takes the first one found. The error is an ErrUnknown.
func (s *Service) Find(ctx context.Context, k resume.Key) (software.Identity, error) {
	if id, known := s.get(k); known {
		return checkFound(id)
	}
	p := s.currentPlacement()
	if p == nil {
		return "", errors.WithStack(ErrUnknown{Reason: "the other boxes are not known yet", Unanswered: 1})
	}
	ctx, cancel := context.WithTimeout(ctx, s.searchTime)
	defer cancel()
	boxes := p.Candidates(k)
	answers := make(chan *betweenv1.FindResponse, len(boxes))
	for _, b := range boxes {
		go func() { answers <- s.ask(ctx, b, k) }()
	}
	unanswered := 0
	for range boxes {
		resp := <-answers
		switch {
		case resp == nil:
			unanswered++
		case resp.GetFound():
			return checkFound(software.Identity(resp.GetSoftware()))
		}
	}
	return "", errors.WithStack(ErrUnknown{Reason: "no box that answers has a record of it", Unanswered: unanswered})
}

// ask asks one box for a stream. It returns nil if the box does not answer.
func (s *Service) ask(ctx context.Context, b lease.Box, k resume.Key) *betweenv1.FindResponse {
	resp, err := s.client(b.Address).Find(ctx, connect.NewRequest(&betweenv1.FindRequest{Stream: k[:]}))
	if err != nil {
		return nil
	}
	return resp.Msg
}

func checkFound(id software.Identity) (software.Identity, error) {
	if id == "" {
		return "", errors.WithStack(ErrUnknown{Reason: "its attempt id was used for streams of different software"})
	}
	return id, nil
}
