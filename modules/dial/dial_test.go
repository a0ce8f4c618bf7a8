// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dial

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// countingConn counts the connections that were closed.
type countingConn struct {
	net.Conn
	closed *atomic.Int64
}

func (c countingConn) Close() error {
	c.closed.Add(1)
	return nil
}

// Guards against waiting for the retransmission of a SYN. After a power failure of the
// whole fleet, entry boxes received their routing table 0.5 s after control had a leader:
// they dialled before the control boxes were up, and the system retransmitted the SYN a
// second later. In the logs of eight boxes, each connected 1.06 s after its own start,
// whenever control had started.
func TestUnansweredAttemptIsHedged(t *testing.T) {
	refused, shortage := errors.Wrap(syscall.ECONNREFUSED, "dial"), errors.Wrap(syscall.EMFILE, "socket")
	tests := map[string]struct {
		// answers are the results of the attempts in order, nil for a connection. Attempts
		// beyond them get no answer.
		answers []error
		// unanswered is the number of attempts before them that get no answer.
		unanswered int
		err        error
	}{
		"first attempt":   {answers: []error{nil}},
		"lost SYN":        {unanswered: 1, answers: []error{nil}},
		"peer not up yet": {unanswered: 4, answers: []error{nil}},
		"refused":         {answers: []error{refused}, err: syscall.ECONNREFUSED},
		"refused later":   {unanswered: 2, answers: []error{refused}, err: syscall.ECONNREFUSED},
		"no descriptor":   {answers: []error{shortage}, err: syscall.EMFILE},
		// The dial that is pending has its descriptor.
		"no second descriptor": {unanswered: 1, answers: []error{shortage, nil}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			// Counters rather than a wait group, since an attempt may start while the test
			// already waits for the others, and Add must not run concurrently with Wait.
			var attempts, closed, open atomic.Int64
			dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
				open.Add(1)
				defer open.Add(-1)
				n := int(attempts.Add(1)) - 1 - test.unanswered
				if n < 0 || n >= len(test.answers) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				if test.answers[n] != nil {
					return nil, test.answers[n]
				}
				return countingConn{closed: &closed}, nil
			}
			c, err := Hedged(dial, time.Millisecond)(context.Background(), "tcp", "127.0.0.1:1")
			if !errors.Is(err, test.err) || (err == nil) != (c != nil) {
				t.Fatalf("%v, %v", c, err)
			}
			// Wait until all other attempts have ended.
			for open.Load() > 0 {
				time.Sleep(time.Millisecond)
			}
			if closed.Load() != 0 {
				t.Fatal("the connection was closed")
			}
		})
	}
}

// Surplus connections must be closed, and the context must end all attempts.
func TestSurplusAttemptsEnd(t *testing.T) {
	var closed, made atomic.Int64
	release := make(chan struct{})
	dial := func(context.Context, string, string) (net.Conn, error) {
		if made.Add(1) == 3 {
			close(release)
		}
		<-release
		return countingConn{closed: &closed}, nil
	}
	if _, err := Hedged(dial, time.Millisecond)(context.Background(), "tcp", "127.0.0.1:1"); err != nil {
		t.Fatal(err)
	}
	for closed.Load() < made.Load()-1 {
		time.Sleep(time.Millisecond)
	}
	silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if _, err := WithTimeout(Hedged(silent, time.Millisecond), 5*time.Millisecond)(context.Background(), "tcp", "127.0.0.1:1"); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
}

func TestIsShortage(t *testing.T) {
	failed := func(call string, e syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, e)}
	}
	tests := map[string]struct {
		err  error
		want bool
	}{
		"none":                    {},
		"too many open files":     {failed("socket", syscall.EMFILE), true},
		"file table overflow":     {failed("socket", syscall.ENFILE), true},
		"no buffer space":         {failed("connect", syscall.ENOBUFS), true},
		"no memory":               {failed("socket", syscall.ENOMEM), true},
		"no local port":           {failed("connect", syscall.EADDRNOTAVAIL), true},
		"wrapped":                 {errors.WithMessage(failed("socket", syscall.EMFILE), "dial"), true},
		"refused":                 {failed("connect", syscall.ECONNREFUSED), false},
		"reset":                   {failed("connect", syscall.ECONNRESET), false},
		"timed out":               {failed("connect", syscall.ETIMEDOUT), false},
		"no route":                {failed("connect", syscall.EHOSTUNREACH), false},
		"no network":              {failed("connect", syscall.ENETUNREACH), false},
		"not in time":             {context.DeadlineExceeded, false},
		"text of another process": {errors.New("socket: too many open files"), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := IsShortage(test.err); got != test.want {
				t.Errorf("IsShortage(%v) = %v, want %v", test.err, got, test.want)
			}
		})
	}
}
