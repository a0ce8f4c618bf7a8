// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	mebibyte = 1 << 20
	// endlessMemory is the number of bytes that the clients of these tests may hold.
	endlessMemory = 8 * mebibyte
	// memoryPerCall is what a call may need beyond what it holds: buffers of its connection, its goroutine.
	memoryPerCall = 128 << 10
)

// endlessAnswers are answers without end: the start and what is repeated.
var endlessAnswers = map[string][2]string{
	"status line":         {"HTTP/1.1 200 ", strings.Repeat("a", 8192)},
	"field":               {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("a", 8192)},
	"fields":              {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 1024)},
	"interim answers":     {"", strings.Repeat("HTTP/1.1 103 X\r\nA: b\r\n\r\n", 256)},
	"empty lines":         {"", strings.Repeat("\r\n", 4096)},
	"body":                {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("a", 64<<10)},
	"body of huge length": {"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", strings.Repeat("a", 64<<10)},
	"chunks":              {chunked, asChunks(strings.Repeat("a", 64<<10))},
	"small chunks":        {chunked, strings.Repeat(asChunks(strings.Repeat("a", 32)), 1024)},
	"chunks of a byte":    {chunked, strings.Repeat(asChunks("a"), 4096)},
	"one chunk":           {chunked + "fffffffffffff\r\n", strings.Repeat("a", 64<<10)},
	"size line":           {chunked + "1;", strings.Repeat("a", 8192)},
	"digits of a size":    {chunked, strings.Repeat("0", 8192)},
	"trailer":             {chunked + "0\r\n", strings.Repeat("A: b\r\n", 1024)},
	"error":               {"HTTP/1.1 500 X\r\n\r\n", strings.Repeat("a", 64<<10)},
}

// endlessEvents are bytes without end within a stream.
var endlessEvents = map[string]string{
	"comments":      strings.Repeat(": a\n\n", 2048),
	"empty lines":   strings.Repeat("\n", 16384),
	"fields":        strings.Repeat("a: b\n", 4096),
	"ids":           strings.Repeat("id: 1\n", 4096),
	"a line":        strings.Repeat("a", 32<<10),
	"old events":    strings.Repeat("id: 0\ndata: {\"id\":\"id-1\"}\n\n", 1024),
	"carriage ends": strings.Repeat("\r", 32<<10),
}

// Guards against calls that end only when the client closes, and keep all that came until then.
func TestEndlessAnswersAreGivenUp(t *testing.T) {
	for name, parts := range endlessAnswers {
		address := serveRaw(t, endlessly(parts[0], parts[1]))
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// Chunks of a byte take long to fill more than this.
			if got := call(t, newLimitedClient(mebibyte), address, http.MethodPost, nil); !isBroken(got.err) {
				t.Errorf("a call got %d, %d bytes, %v", got.code, len(got.body), got.err)
			}
			for query, q := range queries {
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				if got, err := q.ask(ctx, newLimitedClient(endlessMemory), address); err == nil {
					t.Errorf("%s got %v", query, got)
				}
				cancel()
			}
		})
	}
}

// Guards against a stream that reads on for as long as bytes come that are no event.
func TestEndlessStreamsAreGivenUp(t *testing.T) {
	for name, part := range endlessEvents {
		for way := range openers {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				address := serveRaw(t, endlessly(chunked+asChunks(eventText(1)), asChunks(part)))
				events, err := readStream(t, newLimitedClient(endlessMemory), address, way)
				if !isBroken(err) {
					t.Errorf("got %d events, %v", len(events), err)
				}
			})
		}
	}
}

// Guards against copies of a body that take several times its memory.
func TestAllocationForOneCallIsNearItsBody(t *testing.T) {
	const size = 16 * mebibyte
	body := strings.Repeat("a", size)
	for name, text := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body), "to the end": "HTTP/1.1 200 OK\r\n\r\n" + body, "chunks": chunked + asChunks(body) + "0\r\n\r\n",
	} {
		address := serveRaw(t, sends(text))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		a, err := newClient().CallService(context.Background(), address, ServiceCall{Method: "GET", Path: "/", Timeout: testTimeout})
		runtime.ReadMemStats(&after)
		if err != nil {
			t.Fatal(err)
		}
		if got := after.TotalAlloc - before.TotalAlloc; got > size*5/4+mebibyte {
			t.Errorf("%s: %d bytes allocated for a body of %d", name, got, size)
		}
		if bodyOf(t, a) != body {
			t.Errorf("%s: got another body", name)
		}
	}
}

// Guards against a box that runs out of memory while faulty servers send without end, and against sound
// calls that fail with them.
func TestManyEndlessAnswersStayWithinTheMemory(t *testing.T) {
	const calls = 24
	c := newLimitedClient(endlessMemory)
	small := serveRaw(t, sends("HTTP/1.1 200 OK\r\n"+sized))
	var wg sync.WaitGroup
	done := make(chan struct{})
	peak := watchMemory(done)
	for _, name := range []string{"body", "body of huge length", "chunks", "one chunk", "field", "small chunks"} {
		address := serveRaw(t, endlessly(endlessAnswers[name][0], endlessAnswers[name][1]))
		for range calls / 6 {
			wg.Go(func() {
				if got := call(t, c, address, http.MethodPost, nil); !isBroken(got.err) {
					t.Errorf("%s: got %d, %d bytes, %v", name, got.code, len(got.body), got.err)
				}
			})
		}
	}
	for range calls {
		if got := call(t, c, small, http.MethodPost, nil); got.body != soundBody {
			t.Errorf("a sound call got %+v", got)
		}
	}
	wg.Wait()
	close(done)
	// The collector lets garbage grow to the size of what is in use.
	if got, limit := <-peak, uint64(2*(endlessMemory+calls*memoryPerCall)); got > limit {
		t.Errorf("the heap grew by %d bytes, want at most %d", got, limit)
	}
}

// watchMemory samples the heap until done is closed, and then sends by how much it grew at most.
func watchMemory(done <-chan struct{}) <-chan uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, result := m.HeapAlloc, make(chan uint64, 1)
	go func() {
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		var peak uint64
		for {
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
			select {
			case <-ticker.C:
			case <-done:
				result <- peak - min(peak, before)
				return
			}
		}
	}()
	return result
}

// Guards against a head or a line that comes in a trickle and outlasts its call.
func TestTricklesEndWithTheCall(t *testing.T) {
	for name, parts := range map[string][2]string{"head": {"HTTP/1.1 200 OK\r\nA: ", "a"}, "interim answers": {"", "HTTP/1.1 103 X\r\n\r\n"}, "size line": {chunked + "1;", "a"}, "body": {"HTTP/1.1 200 OK\r\n\r\n", "a"}, "line": {chunked, asChunks("a")}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stopped := make(chan struct{})
			address := serveRaw(t, func(c *net.TCPConn, _ *http.Request) {
				_, err := c.Write([]byte(parts[0]))
				ticker := time.NewTicker(5 * time.Millisecond)
				defer ticker.Stop()
				for err == nil {
					<-ticker.C
					_, err = c.Write([]byte(parts[1]))
				}
				stopped <- struct{}{}
			})
			c := newClient()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			if got, err := c.CallService(ctx, address, ServiceCall{Method: "GET", Path: "/", Timeout: 100 * time.Millisecond}); !isBroken(err) {
				t.Errorf("got %v, %v", got, err)
			}
			<-stopped
			ctx, cancel = context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			s, err := openers["generate"](ctx, c, address)
			if err == nil {
				_, err = s.Next()
				s.Close()
			}
			if !isBroken(err) {
				t.Errorf("a stream got %v", err)
			}
			<-stopped
		})
	}
}
