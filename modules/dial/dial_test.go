// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dial

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// closing counts the connections that were closed.
type closing struct {
	net.Conn
	closed *atomic.Int64
}

func (c closing) Close() error {
	c.closed.Add(1)
	return nil
}

// After a loss of power of everything entry boxes had their table 0.5 s after control
// led: their first connection was tried before the control boxes ran, and its opening
// packet was sent again a second later. Seen in the logs of eight boxes: each connected
// 1.06 s after its own start, whenever control had started.
func TestAnAttemptWithoutAnswerIsNotWaitedFor(t *testing.T) {
	refused := errors.Wrap(syscall.ECONNREFUSED, "dial")
	tests := map[string]struct {
		// answers are those of the attempts in their order: nil for a connection; an
		// attempt beyond them has no answer.
		answers []error
		// silent is how many attempts before them have no answer.
		silent int
		err    error
	}{
		"at once":                   {answers: []error{nil}},
		"the first packet was lost": {silent: 1, answers: []error{nil}},
		"the box was not there yet": {silent: 4, answers: []error{nil}},
		"refused":                   {answers: []error{refused}, err: syscall.ECONNREFUSED},
		"refused later":             {silent: 2, answers: []error{refused}, err: syscall.ECONNREFUSED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			// An attempt may begin after the first has answered: a wait group must not be
			// added to beside its wait.
			var tries, closed, open atomic.Int64
			dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
				open.Add(1)
				defer open.Add(-1)
				n := int(tries.Add(1)) - 1 - test.silent
				if n < 0 || n >= len(test.answers) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				if test.answers[n] != nil {
					return nil, test.answers[n]
				}
				return closing{closed: &closed}, nil
			}
			c, err := Again(dial, time.Millisecond)(context.Background(), "tcp", "127.0.0.1:1")
			if !errors.Is(err, test.err) || (err == nil) != (c != nil) {
				t.Fatalf("%v, %v", c, err)
			}
			// All others have ended.
			for open.Load() > 0 {
				time.Sleep(time.Millisecond)
			}
			if closed.Load() != 0 {
				t.Fatal("the connection was closed")
			}
		})
	}
}

// Connections that are made beside the one that is used are closed, and the context
// ends all attempts.
func TestOtherAttemptsEnd(t *testing.T) {
	var closed, made atomic.Int64
	release := make(chan struct{})
	dial := func(context.Context, string, string) (net.Conn, error) {
		if made.Add(1) == 3 {
			close(release)
		}
		<-release
		return closing{closed: &closed}, nil
	}
	if _, err := Again(dial, time.Millisecond)(context.Background(), "tcp", "127.0.0.1:1"); err != nil {
		t.Fatal(err)
	}
	for closed.Load() < made.Load()-1 {
		time.Sleep(time.Millisecond)
	}
	silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if _, err := Within(Again(silent, time.Millisecond), 5*time.Millisecond)(context.Background(), "tcp", "127.0.0.1:1"); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
}
