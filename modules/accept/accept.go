// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package accept keeps listeners going after accepts that failed, as they do while the process is short of
// descriptors. The servers of some libraries end at the first one, and accept nothing from then on.
package accept

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// retryPause is the pause after an accept that failed.
const retryPause = 20 * time.Millisecond

// Listener is a net.Listener whose Accept fails only once the listener is closed.
type Listener struct {
	net.Listener
	onFailure func(err error)
}

// New returns a Listener that accepts from l. onFailure is called with the error of each accept that
// failed before the next try, and may release descriptors.
func New(l net.Listener, onFailure func(err error)) *Listener {
	return &Listener{Listener: l, onFailure: onFailure}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.onFailure(err)
		time.Sleep(retryPause)
	}
}
