// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/structs"
)

// lockedBuffer is a buffer for logs.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// with starts another server with changed options.
func (f *fixture) with(t *testing.T, change func(o *Options)) *fixture {
	t.Helper()
	opts := f.server.opts
	change(&opts)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := New(opts)
	go func() { _ = s.Serve(l) }()
	return &fixture{server: s, address: l.Addr().String(), cancel: f.cancel, callers: f.callers}
}

// dialCaller connects a caller to the server of a fixture.
func dialCaller(t *testing.T, f *fixture) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against targets whose answers are read, and held, for callers that do not read, and against calls
// that go on for these.
func TestCallerThatDoesNotReadStopsItsTarget(t *testing.T) {
	const most = 64 << 20
	for route, length := range map[string]string{"stream": "", "plain": strconv.Itoa(2 * most), "safe": ""} {
		t.Run(route, func(t *testing.T) {
			var sent atomic.Int64
			ended := make(chan struct{})
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				defer close(ended)
				w.Header().Set("X-Signed", "s")
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				for id := 0; sent.Load() < most; id++ {
					n, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, strings.Repeat("a", 1000))
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			log := &lockedBuffer{}
			f = f.with(t, func(o *Options) {
				o.Logger, o.WriteTimeout = slog.New(slog.NewJSONHandler(log, nil)), 40*time.Millisecond
			})
			c := dialCaller(t, f)
			_, _ = fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok", route)
			<-ended
			if n := sent.Load(); n >= most {
				t.Errorf("%d bytes were taken from the target", n)
			}
			line := log.String()
			if !strings.Contains(line, `"caller does not read","request":"a","bytes_left":`) || strings.Contains(line, `"bytes_left":0,`) {
				t.Errorf("logged %s", line)
			}
		})
	}
}

// bodyRequest returns a POST request with a body, in chunks if chunked.
func bodyRequest(id, fields, body string, chunked bool) string {
	head := "POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n" + fields
	if chunked {
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against bodies that together exceed the memory of the box, and refusals that callers can't read.
func TestBodiesBeyondMemoryAreRefused(t *testing.T) {
	body := strings.Repeat("a", 1500)
	tests := map[string]struct {
		limit    int64
		sends    string
		accepted bool
	}{
		"it fits":                      {limit: 1500, sends: bodyRequest("a", "", body, false), accepted: true},
		"it does not fit":              {limit: 1499, sends: bodyRequest("a", "", body, false)},
		"it does not fit, not sent":    {limit: 1499, sends: "POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nContent-Length: 1500\r\n\r\n"},
		"the caller waits to be asked": {limit: 1499, sends: "POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nExpect: 100-continue\r\nContent-Length: 1500\r\n\r\n"},
		"chunks that fit":              {limit: 2048, sends: bodyRequest("a", "", body, true), accepted: true},
		"chunks that do not fit":       {limit: 1400, sends: bodyRequest("a", "", body, true)},
		"no body":                      {limit: 0, sends: "GET /plain/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\n\r\n", accepted: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("X-Signed", "s")
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				_, _ = io.WriteString(w, "ok")
			})
			budget := bytebudget.New(test.limit)
			f = f.with(t, func(o *Options) { o.Memory = budget })
			c := dialCaller(t, f)
			_, _ = io.WriteString(c, test.sends)
			r := bufio.NewReader(c)
			got, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(got.Body)
			if err != nil {
				t.Fatal(err)
			}
			if test.accepted {
				if got.StatusCode != 200 || string(text) != "ok" || calls.Load() != 1 {
					t.Errorf("got %d %q after %d calls", got.StatusCode, text, calls.Load())
				}
			} else {
				checkMemoryRefusal(t, got, text)
				if rest, err := io.ReadAll(r); len(rest) > 0 || err != nil || calls.Load() > 0 {
					t.Errorf("%q, %v after the refusal, %d calls", rest, err, calls.Load())
				}
			}
			_ = c.Close()
			for budget.Held() > 0 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

func checkMemoryRefusal(t *testing.T, got *http.Response, text []byte) {
	t.Helper()
	var body structs.ErrorBody
	if err := json.Unmarshal(text, &body); err != nil {
		t.Fatal(err)
	}
	after, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
	if got.StatusCode != http.StatusServiceUnavailable || body.Error.Kind != structs.KindBoxOverloaded || body.Error.Run != structs.RunNo || !got.Close || err != nil || after < 0.02 || after > 0.06 {
		t.Errorf("got %d, %s, Retry-After %q", got.StatusCode, text, got.Header.Get("Retry-After"))
	}
}

// Guards against a body that counts as held after its call, and one that is not counted while the call runs.
func TestBodyIsHeldDuringItsCall(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		begun <- struct{}{}
		<-release
		w.Header().Set("X-Signed", "s")
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
	})
	budget := bytebudget.New(1500)
	f = f.with(t, func(o *Options) { o.Memory = budget })
	send := func() *http.Response {
		c := dialCaller(t, f)
		_, _ = io.WriteString(c, bodyRequest("a", "", strings.Repeat("a", 1000), false))
		got, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Error(err)
			return &http.Response{}
		}
		return got
	}
	first := make(chan *http.Response)
	go func() { first <- send() }()
	<-begun
	if n := budget.Held(); n != 1000 {
		t.Errorf("%d bytes are held", n)
	}
	if got := send(); got.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the second call got %d", got.StatusCode)
	}
	close(release)
	if got := <-first; got.StatusCode != http.StatusOK {
		t.Errorf("the first call got %d", got.StatusCode)
	}
	for budget.Held() > 0 {
		time.Sleep(time.Millisecond)
	}
}
