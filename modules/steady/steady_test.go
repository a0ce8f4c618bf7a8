// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package steady

import (
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against writes that end although they may go on.
func TestWriteGoesOnAfterStall(t *testing.T) {
	stalls := 0
	w := &Writer{Conn: &slowConn{takes: make([]int, 2*looks)}, Timeout: time.Hour, OnStall: func(int) bool {
		stalls++
		return true
	}}
	if n, err := w.Write(make([]byte, 10)); n != 10 || err != nil || stalls != 2 {
		t.Errorf("wrote %d bytes after %d stalls: %v", n, stalls, err)
	}
}

// slowConn takes a number of bytes at each write that ends at its deadline, and all bytes once there are no
// more of these.
type slowConn struct {
	takes []int
	got   int
}

func (c *slowConn) SetWriteDeadline(time.Time) error { return nil }

func (c *slowConn) Write(p []byte) (int, error) {
	if len(c.takes) == 0 {
		c.got += len(p)
		return len(p), nil
	}
	n := c.takes[0]
	c.takes = c.takes[1:]
	c.got += n
	return n, os.ErrDeadlineExceeded
}

// Guards against callers that are cut although they read, and calls that go on for callers that don't.
func TestWritesEndWithoutProgress(t *testing.T) {
	const size = 3 * writeSize
	tests := map[string]struct {
		takes  []int
		unsent []int
		// left is what is left of the write, zero if it succeeds.
		left int
	}{
		"fast":                             {},
		"no progress":                      {takes: []int{0, 0, 0, 0}, left: size},
		"no progress after some":           {takes: []int{100, 0, 0, 0, 0}, left: size - 100},
		"a few bytes now and then":         {takes: []int{1, 0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0}},
		"the kernel's buffer drains":       {takes: []int{0, 0, 0, 0, 0, 0, 0, 0}, unsent: []int{90, 90, 80, 80, 80, 70, 70, 70}},
		"the kernel's buffer stays":        {takes: []int{0, 0, 0, 0, 0, 0}, unsent: []int{90, 80, 80, 80, 80, 80, 80}, left: size + 80},
		"the kernel's buffer has not less": {takes: []int{0, 0, 0, 0}, unsent: []int{90, 90, 91, 91, 91, 91}, left: size + 91},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, left := &slowConn{takes: test.takes}, 0
			w := &Writer{Conn: c, Timeout: time.Hour, OnStall: func(n int) bool {
				left = n
				return false
			}}
			if test.unsent != nil {
				w.Unsent = func() int {
					n := test.unsent[0]
					test.unsent = test.unsent[1:]
					return n
				}
			}
			n, err := w.Write(make([]byte, size))
			if left != test.left || n != c.got || errors.Is(err, os.ErrDeadlineExceeded) != (test.left > 0) || test.left == 0 && n != size {
				t.Errorf("wrote %d of %d bytes, left %d, want %d: %v", n, size, left, test.left, err)
			}
		})
	}
}
