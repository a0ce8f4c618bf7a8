// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tcpconn

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (c *Conn, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return New(near.(*net.TCPConn)), far.(*net.TCPConn)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func endsOrderly(c *net.TCPConn) { _ = c.CloseWrite() }

// failWrite writes until that fails.
func failWrite(c *Conn) {
	for {
		if _, err := c.Write([]byte("x")); err != nil {
			return
		}
	}
}

// failPeek looks for bytes until it meets what ended the connection.
func failPeek(c *Conn) {
	for {
		if n, err := c.Peek(); n == 0 && !errors.Is(err, syscall.EAGAIN) {
			return
		}
	}
}

// Guards against a reset that reads as an orderly end because another call was told of it first.
func TestEndOfConnection(t *testing.T) {
	cases := map[string]struct {
		end   func(peer *net.TCPConn)
		first func(c *Conn)
		// want is what reads return at the end.
		want error
	}{
		"reset, read first":                     {end: reset, want: syscall.ECONNRESET},
		"reset, write first":                    {end: reset, first: failWrite, want: syscall.ECONNRESET},
		"reset, look first":                     {end: reset, first: failPeek, want: syscall.ECONNRESET},
		"reset, look, then write":               {end: reset, first: func(c *Conn) { failPeek(c); failWrite(c) }, want: syscall.ECONNRESET},
		"reset, write, then look":               {end: reset, first: func(c *Conn) { failWrite(c); failPeek(c) }, want: syscall.ECONNRESET},
		"orderly, read first":                   {end: endsOrderly, want: io.EOF},
		"orderly, look first":                   {end: endsOrderly, first: failPeek, want: io.EOF},
		"orderly, then reset, read first":       {end: func(peer *net.TCPConn) { endsOrderly(peer); reset(peer) }, want: io.EOF},
		"orderly, then reset, write first":      {end: func(peer *net.TCPConn) { endsOrderly(peer); reset(peer) }, first: failWrite, want: io.EOF},
		"closed with unread bytes, write first": {end: func(peer *net.TCPConn) { _ = peer.Close() }, first: failWrite, want: syscall.ECONNRESET},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c, peer := pair(t)
			if strings.HasPrefix(name, "closed with") {
				if _, err := io.WriteString(c, "unread"); err != nil {
					t.Fatal(err)
				}
			}
			_, _ = io.WriteString(peer, "answer")
			got := make([]byte, len("answer"))
			if _, err := io.ReadFull(c, got); err != nil {
				t.Fatal(err)
			}
			test.end(peer)
			if test.first != nil {
				test.first(c)
			}
			for range 3 {
				if n, err := c.Read(got); n != 0 || !errors.Is(err, test.want) {
					t.Fatalf("read %d bytes: %v, want %v", n, err, test.want)
				}
			}
		})
	}
}

// Guards against bytes that were received before a reset and are not read.
func TestBytesBeforeAReset(t *testing.T) {
	c, peer := pair(t)
	_, _ = io.WriteString(peer, "answer")
	reset(peer)
	failWrite(c)
	if got, err := io.ReadAll(c); string(got) != "answer" || !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("read %q: %v", got, err)
	}
}

// Guards against a read that comes between a write's failure and the record of it.
func TestReadBesideAFailingWrite(t *testing.T) {
	for range 200 {
		c, peer := pair(t)
		var writer sync.WaitGroup
		writer.Go(func() { failWrite(c) })
		reset(peer)
		if _, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("the reset reads as %v", err)
		}
		writer.Wait()
	}
}

// Guards against an end that counts as orderly though the peer has rejected what was sent to it.
func TestConfirmEnd(t *testing.T) {
	cases := map[string]struct {
		end  func(peer *net.TCPConn)
		size int
		want error
	}{
		"all acknowledged":  {end: endsOrderly, size: 100},
		"read on":           {end: func(peer *net.TCPConn) { endsOrderly(peer); _, _ = io.Copy(io.Discard, peer) }, size: 32 << 20},
		"neither":           {end: endsOrderly, size: 32 << 20},
		"rejected":          {end: func(peer *net.TCPConn) { _ = peer.Close() }, size: 32 << 20, want: ErrRequestUnread},
		"rejected, not all": {end: func(peer *net.TCPConn) { endsOrderly(peer); reset(peer) }, want: ErrRequestUnread},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c, peer := pair(t)
			if test.want != nil {
				// What is written after that is rejected.
				test.end(peer)
			}
			var mu sync.Mutex
			written := 0
			go func() {
				n, _ := c.Write(make([]byte, test.size))
				mu.Lock()
				defer mu.Unlock()
				written += n
			}()
			if test.want == nil {
				go test.end(peer)
			}
			if _, err := io.ReadAll(c); err != nil {
				t.Fatal(err)
			}
			err := c.ConfirmEnd(func() (int64, bool) {
				mu.Lock()
				defer mu.Unlock()
				return int64(written), test.size > 0 && written == test.size
			})
			if !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
		})
	}
}

// Guards against an answer that counts as whole after this process has closed its connection.
func TestConfirmEndOfAClosedConnection(t *testing.T) {
	c, peer := pair(t)
	endsOrderly(peer)
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	if err := c.ConfirmEnd(func() (int64, bool) { return 0, false }); err == nil {
		t.Fatal("the end is confirmed")
	}
}
