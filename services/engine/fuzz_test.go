// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/logging"
)

// fuzzWait is the time of a call: a target may announce more bytes than it sends.
const fuzzWait = 500 * time.Millisecond

// FuzzAnswers checks that, whatever bytes a target sends, a call returns what the standard library reads from
// them or an error, that streams and queries return, and that nothing stays held.
func FuzzAnswers(f *testing.F) {
	add := func(text string) {
		for kind := range byte(3) {
			f.Add([]byte(text), kind)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(soundAnswers)) {
		add(soundAnswers[name].text)
	}
	broken := brokenAnswers()
	for _, name := range slices.Sorted(maps.Keys(broken)) {
		add(broken[name])
	}
	for _, name := range slices.Sorted(maps.Keys(endlessEvents)) {
		add(chunked + asChunks(eventText(1), endlessEvents[name][:256]))
	}
	for _, text := range []string{chunked + asChunks(wholeStream()) + "0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n" + wholeStream(), chunked + asChunks(eventText(1), lastEvent)} {
		add(text)
	}
	var answer atomic.Pointer[[]byte]
	address := serveRaw(f, func(c *net.TCPConn, _ *http.Request) { _, _ = c.Write(*answer.Load()) })
	f.Fuzz(func(t *testing.T, text []byte, kind byte) {
		if len(text) > 16<<10 {
			return
		}
		answer.Store(&text)
		memory := bytebudget.New(mebibyte)
		c := New(Options{Memory: memory, Logger: logging.Discard()})
		ctx, cancel := context.WithTimeout(context.Background(), fuzzWait)
		defer cancel()
		// One connection each, as closed ones keep their ports for a while.
		switch kind % 3 {
		case 0:
			checkFuzzedCall(t, c, ctx, address, text)
		case 1:
			if s, err := openers["generate"](ctx, c, address); err == nil {
				for e := (Event{}); err == nil && !e.End; {
					e, err = s.Next()
				}
				s.Close()
			}
		default:
			_, _ = queries["cancel"].ask(ctx, c, address)
		}
		if memory.Held() != 0 {
			t.Errorf("%d bytes stay held", memory.Held())
		}
	})
}

// checkFuzzedCall compares the answer to a call with what the standard library reads.
func checkFuzzedCall(t *testing.T, c *Client, ctx context.Context, address string, text []byte) {
	t.Helper()
	a, err := c.CallService(ctx, address, ServiceCall{Method: http.MethodPost, Path: "/", ID: "id-1", Timeout: fuzzWait})
	if err != nil {
		return
	}
	got := bodyOf(t, a)
	r := bufio.NewReader(bytes.NewReader(text))
	for range 16 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("took %q for an answer, the standard library returns %v", text, err)
		}
		if resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != a.Code || string(body) != got {
			t.Fatalf("%q: got %d %q, the standard library %d %q, %v", text, a.Code, got, resp.StatusCode, body, err)
		}
		return
	}
}
