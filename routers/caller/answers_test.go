// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/bytebudget"
	standin "havenwinch.dev/havenwinch/standin/engine"
	"havenwinch.dev/havenwinch/structs"
	"havenwinch.dev/havenwinch/tests/single"
)

// mark is in all bytes of a target that must not reach a caller.
const mark = "not-an-answer"

// rawAnswer answers with start, repeats part until the connection fails if there is any, and closes.
func rawAnswer(w http.ResponseWriter, r *http.Request, start, part string) {
	_, _ = io.Copy(io.Discard, r.Body)
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, err = io.WriteString(c, start)
	for data := []byte(part); err == nil && len(data) > 0; {
		_, err = c.Write(data)
	}
}

// noAnswers are bytes that are no answer, with what is repeated without end.
func noAnswers() map[string][2]string {
	rest := fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(mark), mark)
	chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	return map[string][2]string{
		"status 000": {"HTTP/1.1 000 OK\r\n" + rest}, "status 001": {"HTTP/1.1 001 OK\r\n" + rest}, "status 999": {"HTTP/1.1 999 OK\r\n" + rest},
		"version": {"HTTP/1.2 200 OK\r\n" + rest}, "blanks": {"HTTP/1.1  200 OK\r\n" + rest}, "blank in a name": {"HTTP/1.1 200 OK\r\nA b: c\r\n" + rest},
		"blank after a name": {"HTTP/1.1 200 OK\r\nA : c\r\n" + rest}, "control byte in a name": {"HTTP/1.1 200 OK\r\nA\x01b: c\r\n" + rest}, "control byte in the reason": {"HTTP/1.1 200 O\x01K\r\n" + rest},
		"cut head": {"HTTP/1.1 200 OK\r\nContent-Type: text/" + mark}, "head without its end": {"HTTP/1.1 200 OK\r\n"}, "cut body": {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + mark},
		"cut chunks": {chunks + "d\r\n" + mark + "\r\n"}, "two framings": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest}, "no HTTP": {mark},
		"endless head": {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat(mark, 512)}, "endless body": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat(mark, 4096)},
		"endless chunks": {chunks, strings.Repeat("d\r\n"+mark+"\r\n", 1024)}, "endless size line": {chunks + "1;", strings.Repeat(mark, 512)},
	}
}

// Guards against bytes of a faulty server that reach a caller as an answer.
func TestNoAnswersOfServicesReachNoCaller(t *testing.T) {
	for name, parts := range noAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faulty := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { rawAnswer(w, r, parts[0], parts[1]) })
			sound := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "sound") })
			memory := bytebudget.New(4 << 20)
			s := single.New(t, single.Options{Tokens: 1000, Services: []http.Handler{faulty}, Memory: memory})
			got := send(t, s, "POST", "/services/portal/x", "body", "Idempotency-Key: k1")
			if got.status != http.StatusBadGateway || got.Error.Kind != structs.KindTargetFailed || got.Error.Run != structs.RunUnknown || strings.Contains(got.body, mark) {
				t.Errorf("not repeatable: status %d: %.200s", got.status, got.body)
			}
			s.WaitFor("the memory is free", func() bool { return memory.Held() == 0 })
			s = single.New(t, single.Options{Tokens: 1000, Services: []http.Handler{faulty, sound}, Memory: memory})
			for range 2 {
				if got := send(t, s, "GET", "/services/portal/x", ""); got.status != http.StatusOK || got.body != "sound" {
					t.Errorf("repeatable: status %d: %.200s", got.status, got.body)
				}
			}
			s.WaitFor("the memory is free", func() bool { return memory.Held() == 0 })
		})
	}
}

// Guards against bytes of a faulty engine that reach a caller as an answer.
func TestNoAnswersOfEnginesReachNoCaller(t *testing.T) {
	for name, parts := range noAnswers() {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %v", name, stream), func(t *testing.T) {
				t.Parallel()
				var once sync.Once
				engines := []standin.Options{single.DefaultEngine, single.DefaultEngine}
				s := single.New(t, single.Options{Tokens: 1000, Engines: engines, Memory: bytebudget.New(4 << 20), Wrap: func(h http.Handler, _ func()) http.Handler {
					return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						faulty := false
						if r.URL.Path == chatPath {
							once.Do(func() { faulty = true })
						}
						if faulty {
							rawAnswer(w, r, parts[0], parts[1])
							return
						}
						h.ServeHTTP(w, r)
					})
				}})
				got, err := sendAny(t, s, "POST", chatPath, chat("hi", 8, fmt.Sprintf(`,"stream":%v`, stream)), "Prefer: wait=10")
				if strings.Contains(got.body, mark) {
					t.Fatalf("status %d, %v: %.300s", got.status, err, got.body)
				}
				if err != nil || got.status != http.StatusOK || !strings.HasPrefix(wordNumbers(t, got, stream), "w1 w2 w3 w4 w5 w6 w7 w8") {
					t.Errorf("status %d, %v: %.300s", got.status, err, got.body)
				}
			})
		}
	}
}

// Guards against a large answer that is refused, or whose memory stays counted.
func TestLargeAnswerOfAServiceComesThrough(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 512<<10)
	for name, declared := range map[string]bool{"length": true, "chunks": false} {
		t.Run(name, func(t *testing.T) {
			memory := bytebudget.New(32 << 20)
			s := single.New(t, single.Options{Tokens: 1000, Memory: memory, Services: []http.Handler{http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "a/b")
				if declared {
					w.Header().Set("Content-Length", fmt.Sprint(len(body)))
				}
				_, _ = io.WriteString(w, body)
			})}})
			if got := send(t, s, "GET", "/services/portal/x", ""); got.status != 200 || got.body != body || got.header.Get("Content-Type") != "a/b" {
				t.Errorf("status %d, %d bytes", got.status, len(got.body))
			}
			if got := send(t, s, "HEAD", "/services/portal/x", ""); got.status != 200 || got.body != "" || declared && got.header.Get("Content-Length") != fmt.Sprint(len(body)) {
				t.Errorf("HEAD: status %d, length %s", got.status, got.header.Get("Content-Length"))
			}
			s.WaitFor("the memory is free", func() bool { return memory.Held() == 0 })
		})
	}
}

// Guards against events without end that a box collects for a caller that wants one answer.
func TestEndlessEventsAreNotCollected(t *testing.T) {
	memory := bytebudget.New(2 << 20)
	s := single.New(t, single.Options{Tokens: 1000, Memory: memory, Wrap: func(h http.Handler, _ func()) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != chatPath {
				h.ServeHTTP(w, r)
				return
			}
			id := r.Header.Get("X-Request-Id")
			var err error
			for n := 1; err == nil; n++ {
				_, err = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", n, id, strings.Repeat("w", 4096))
			}
		})
	}})
	got, err := sendAny(t, s, "POST", chatPath, chat("hi", 8, ""), "Prefer: wait=2")
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal(err)
	}
	if got.status != http.StatusServiceUnavailable || got.Error.Kind != structs.KindBoxOverloaded || got.Error.Run == structs.RunNo {
		t.Errorf("status %d: %.300s", got.status, got.body)
	}
	s.WaitFor("the memory is free", func() bool { return memory.Held() == 0 })
}

// Guards against a caller that follows an earlier attempt beyond its own deadline.
func TestFollowerEndsAtItsDeadline(t *testing.T) {
	ended := make(chan struct{})
	s := single.New(t, single.Options{Tokens: 1000, Wrap: func(h http.Handler, _ func()) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != chatPath && r.Header.Get("Last-Event-ID") == "" {
				h.ServeHTTP(w, r)
				return
			}
			_, _ = io.WriteString(w, ": queued\n\n")
			w.(http.Flusher).Flush()
			select {
			case <-ended:
			case <-r.Context().Done():
			}
		})
	}})
	first := make(chan struct{})
	go func() {
		defer close(first)
		_, _ = sendAny(t, s, "POST", chatPath, chat("hi", 8, ""), "Idempotency-Key: k1", "Prefer: wait=5")
	}()
	s.WaitFor("the first attempt runs", func() bool {
		return s.Record("north/a", "k1").GetState() == statev1.RequestState_REQUEST_STATE_STARTED
	})
	got := send(t, s, "POST", chatPath, chat("hi", 8, ""), "Idempotency-Key: k1", "Prefer: wait=1")
	if got.status != http.StatusConflict || got.Error.Kind != structs.KindInProgress || got.Error.Run != structs.RunUnknown {
		t.Errorf("status %d: %s", got.status, got.body)
	}
	select {
	case <-first:
		t.Error("the follower waited for the end of the first attempt")
	default:
	}
	close(ended)
	<-first
}
