// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tcpconn

import (
	"io"
	"sync"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// Guards against a reset that reads as an orderly end since a write and looks meet it at the same time as the read.
func TestReadBesideFailingCalls(t *testing.T) {
	for range 500 {
		c, peer := pair(t)
		var others sync.WaitGroup
		others.Go(func() { failWrite(c) })
		others.Go(func() { failPeek(c) })
		others.Go(func() { failPeek(c) })
		reset(peer)
		if _, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("the reset reads as %v", err)
		}
		others.Wait()
	}
}
