// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package accept

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// script is a listener whose accepts return the errors of a list, then a connection, then net.ErrClosed.
type script struct {
	net.Listener
	errs     []error
	accepted bool
}

func (s *script) Accept() (net.Conn, error) {
	if len(s.errs) > 0 {
		err := s.errs[0]
		s.errs = s.errs[1:]
		return nil, err
	}
	if s.accepted {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}
	}
	s.accepted = true
	c, _ := net.Pipe()
	return c, nil
}

func TestListenerEndsOnlyWhenClosed(t *testing.T) {
	failure := func(e syscall.Errno) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", e)}
	}
	cases := map[string][]error{
		"no failure":             nil,
		"too many open files":    {failure(syscall.EMFILE), failure(syscall.EMFILE)},
		"no memory":              {failure(syscall.ENOBUFS), failure(syscall.ENOMEM)},
		"an error of the client": {failure(syscall.EPROTO)},
	}
	for name, errs := range cases {
		t.Run(name, func(t *testing.T) {
			failed := 0
			l := New(&script{errs: errs}, func(error) { failed++ })
			if c, err := l.Accept(); err != nil || c == nil {
				t.Fatalf("got %v, want a connection", err)
			}
			if failed != len(errs) {
				t.Errorf("told of %d failures, want %d", failed, len(errs))
			}
			if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Errorf("got %v of a closed listener, want net.ErrClosed", err)
			}
		})
	}
}
