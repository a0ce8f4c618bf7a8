// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"io"
	"log/slog"
	"math/rand"
	"net"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/dial"
)

const (
	// hedgeDelay is how long a box may take before a further one is asked as well.
	hedgeDelay = 60 * time.Millisecond
	// openTimeout limits a dial, over all boxes that are asked.
	openTimeout = 500 * time.Millisecond
	// noPathTime is how long no box is asked after none had a path, or none has answered in time
	// silentAfter times in a row.
	noPathTime  = 250 * time.Millisecond
	silentAfter = 2
)

// DialerOptions configure a Dialer.
type DialerOptions struct {
	Box        string
	DataCentre string
	// Directory returns the entry boxes of the fleet, nil while they are not known.
	Directory func() *lease.Directory
	// Connect returns a client of the box at an address.
	Connect func(address string) betweenv1connect.RelayServiceClient
	Clock   clock.Clock
	Logger  *slog.Logger
}

// Dialer opens connections to targets through other boxes.
type Dialer struct {
	opts DialerOptions

	mu      sync.Mutex
	rng     *rand.Rand
	peers   *peerTable
	clients map[string]betweenv1connect.RelayServiceClient
	// noPathUntil is until when no box is asked for a service, as none had a path to it. silent
	// counts the dials in a row to which no box has answered in time.
	noPathUntil map[string]time.Duration
	silent      map[string]int
	open        int
}

// NewDialer returns a dialer without connections.
func NewDialer(opts DialerOptions) *Dialer {
	seed := opts.Clock.Wall().UnixNano()
	return &Dialer{opts: opts, rng: rand.New(rand.NewSource(seed)), peers: newPeerTable(), clients: map[string]betweenv1connect.RelayServiceClient{}, noPathUntil: map[string]time.Duration{}, silent: map[string]int{}}
}

// HasPath reports whether a box may have a path to a service, as far as is known.
func (d *Dialer) HasPath(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Boot()
	return d.noPathUntil[service] <= now && len(d.candidates(now)) > 0
}

// Open returns the number of open connections.
func (d *Dialer) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// candidates returns the boxes to ask, in order. The caller holds d.mu.
func (d *Dialer) candidates(now time.Duration) []lease.Box {
	directory := d.opts.Directory()
	if directory == nil {
		return nil
	}
	return d.peers.order(directory.Boxes, d.opts.Box, d.opts.DataCentre, now, d.rng)
}

// attempt is the result of asking one box.
type attempt struct {
	box  lease.Box
	conn *Conn
	err  error
}

// Dial opens a connection to a target of a service. It asks one box after the other, and a
// further one while there is no answer. The error is an ErrNoPath if none of them has a path, a
// shortage (dial.IsShortage) if one could not be asked for that, else the error of the target.
func (d *Dialer) Dial(ctx context.Context, service, target string) (net.Conn, error) {
	d.mu.Lock()
	now := d.opts.Clock.Boot()
	var boxes []lease.Box
	if d.noPathUntil[service] <= now {
		boxes = d.candidates(now)
	}
	d.mu.Unlock()
	if len(boxes) == 0 {
		return nil, errors.WithStack(ErrNoPath{Reason: "no other box is known to have one"})
	}
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	c, err := d.dialAny(openCtx, boxes, target)
	switch {
	case err == nil:
		d.recordResult(service, false, false)
		return c, nil
	case ctx.Err() != nil:
		return nil, errors.WithStack(ctx.Err())
	}
	d.recordResult(service, IsErrNoPath(err), openCtx.Err() != nil)
	return nil, err
}

// recordResult records whether no box had a path to a service, and whether that is since none has
// answered in time.
func (d *Dialer) recordResult(service string, noPath, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !silent {
		d.silent[service] = 0
	} else {
		d.silent[service]++
	}
	if noPath && (!silent || d.silent[service] >= silentAfter) {
		d.noPathUntil[service] = d.opts.Clock.Boot() + noPathTime
	}
}

// dialAny asks the boxes until one has opened the connection or reports an error of the target.
func (d *Dialer) dialAny(ctx context.Context, boxes []lease.Box, target string) (*Conn, error) {
	results := make(chan attempt)
	ctx, done := context.WithCancel(ctx)
	defer done()
	running, next := 0, 0
	start := func() {
		if next == len(boxes) {
			return
		}
		b := boxes[next]
		next++
		running++
		go func() { d.ask(ctx, b, target, results) }()
	}
	start()
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	var last error = ErrNoPath{Reason: "no box has answered in time"}
	for running > 0 {
		select {
		case <-ctx.Done():
			return nil, errors.WithStack(last)
		case <-hedge.C:
			start()
		case a := <-results:
			running--
			if a.err == nil {
				return a.conn, nil
			}
			if cause := targetError(a.err); cause != nil {
				return nil, cause
			}
			switch {
			case dial.IsShortage(a.err):
				last = a.err
			case !dial.IsShortage(last):
				last = ErrNoPath{Reason: a.box.Name + ": " + a.err.Error()}
			}
			start()
		}
	}
	return nil, errors.WithStack(last)
}

// ask opens a connection through one box. A connection that nobody waits for is closed.
func (d *Dialer) ask(ctx context.Context, b lease.Box, target string, results chan<- attempt) {
	began := d.opts.Clock.Boot()
	c, err := d.openThrough(ctx, b, target)
	switch {
	case ctx.Err() == nil || err == nil:
		d.record(b, err)
	case d.opts.Clock.Boot()-began >= hedgeDelay:
		d.recordSlow(b)
	}
	select {
	case results <- attempt{box: b, conn: c, err: err}:
	case <-ctx.Done():
		if c != nil {
			_ = c.Close()
		}
	}
}

// openThrough opens a connection through one box.
func (d *Dialer) openThrough(ctx context.Context, b lease.Box, target string) (*Conn, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	stream := d.client(b.Address).Connect(streamCtx)
	err := stream.Send(&betweenv1.ConnectRequest{Target: target, ConfirmsEnd: true})
	if err == nil || errors.Is(err, io.EOF) {
		// The error of a stream that has ended comes with the answer.
		_, err = stream.Receive()
	}
	if !stop() || err != nil {
		cancel()
		_ = stream.CloseRequest()
		if err == nil {
			err = errors.WithStack(ctx.Err())
		}
		return nil, err
	}
	d.addOpen(1)
	return newConn(stream, cancel, b.Name, func() { d.addOpen(-1) }), nil
}

func (d *Dialer) addOpen(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open += n
}

func (d *Dialer) client(address string) betweenv1connect.RelayServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	client := d.clients[address]
	if client == nil {
		client = d.opts.Connect(address)
		d.clients[address] = client
	}
	return client
}

// record records the answer of a box.
func (d *Dialer) record(b lease.Box, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Boot()
	switch {
	case dial.IsShortage(err):
	case err == nil:
		d.peers.recordOpened(b.Name, now)
	case targetError(err) != nil:
		d.peers.recordFailure(b.Name, now)
	default:
		if block := d.peers.recordNoPath(b.Name, connect.CodeOf(err) == connect.CodeUnimplemented, now); block > 0 {
			d.opts.Logger.Info("box without path to targets", "peer", b.Name, "ms", block.Milliseconds(), "reason", err.Error())
		}
	}
}

// recordSlow records that a box had not answered when another one had.
func (d *Dialer) recordSlow(b lease.Box) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.recordSlow(b.Name, d.opts.Clock.Boot())
}
