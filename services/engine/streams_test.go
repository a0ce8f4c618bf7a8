// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// eventText returns an event of run id-1.
func eventText(n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"id-1\",\"choices\":[{\"delta\":{\"content\":\"w%d\"}}]}\n\n", n, n)
}

const (
	lastEvent = "id: 3\ndata: {\"id\":\"id-1\",\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}\n\n"
	streamEnd = "data: [DONE]\n\n"
)

func wholeStream() string { return eventText(1) + eventText(2) + lastEvent + streamEnd }

// asChunks encodes each part as a chunk, without the last chunk.
func asChunks(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
	}
	return b.String()
}

// openers open a stream in each way.
var openers = map[string]func(ctx context.Context, c *Client, address string) (*Stream, error){
	"generate": func(ctx context.Context, c *Client, address string) (*Stream, error) {
		return c.Generate(ctx, address, GenerateCall{ID: "id-1", Body: []byte("{}")})
	},
	"resume": func(ctx context.Context, c *Client, address string) (*Stream, error) {
		return c.Resume(ctx, address, "id-1", 0)
	},
}

// readStream opens a stream and reads it up to its end or an error.
func readStream(t testing.TB, c *Client, address, way string) (events []Event, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s, err := openers[way](ctx, c, address)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	for {
		e, err := s.Next()
		if ctx.Err() != nil {
			return events, errNotGivenUp
		}
		if err != nil || e.End {
			return events, err
		}
		events = append(events, e)
	}
}

func TestSoundStreams(t *testing.T) {
	forms := map[string]string{
		"chunks":               chunked + asChunks(eventText(1), eventText(2), lastEvent, streamEnd) + "0\r\n\r\n",
		"odd chunks":           chunked + asChunks(eventText(1)[:7], eventText(1)[7:]+eventText(2), lastEvent+streamEnd) + "0\r\n\r\n",
		"length":               fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(wholeStream()), wholeStream()),
		"to the end":           "HTTP/1.1 200 OK\r\n\r\n" + wholeStream(),
		"comments":             chunked + asChunks(": queued\n\n", eventText(1), ":\n", eventText(2), lastEvent, streamEnd),
		"CRLF":                 "HTTP/1.1 200 OK\r\n\r\n" + strings.ReplaceAll(wholeStream(), "\n", "\r\n"),
		"early hints":          "HTTP/1.1 103 X\r\n\r\n" + chunked + asChunks(wholeStream()),
		"events sent twice":    chunked + asChunks(eventText(1), eventText(1), eventText(2), eventText(1), lastEvent, streamEnd),
		"long comment":         chunked + asChunks(":"+strings.Repeat("a", 100<<10)+"\n", wholeStream()),
		"long line":            chunked + asChunks(strings.Replace(eventText(1), "w1", strings.Repeat("w", 500<<10), 1), eventText(2), lastEvent, streamEnd),
		"no line end, framed":  chunked + asChunks(strings.TrimSpace(wholeStream())) + "0\r\n\r\n",
		"blanks without value": chunked + asChunks(strings.ReplaceAll(wholeStream(), ": ", ":")),
	}
	for name, text := range forms {
		for way := range openers {
			t.Run(name+", "+way, func(t *testing.T) {
				events, err := readStream(t, newClient(), serveRaw(t, sends(text)), way)
				if err != nil || len(events) != 3 {
					t.Fatalf("got %d events, %v", len(events), err)
				}
				last := events[2]
				if last.Sequence != 3 || last.Finish != "stop" || last.Usage == nil || last.Usage.Total() != 6 || events[0].Usage != nil || events[0].Sequence != 1 {
					t.Errorf("got %+v", events)
				}
			})
		}
	}
}

// Guards against a stream that begins with bytes that are no answer.
func TestBrokenAnswersAreNoStreams(t *testing.T) {
	for name, text := range brokenAnswers() {
		// Bodies are not JSON here; their framing is the subject of other tests.
		head, _, found := strings.Cut(text, "\r\n\r\n")
		if !found || strings.HasPrefix(head, strings.TrimSuffix(chunked, "\r\n\r\n")) {
			continue
		}
		for way := range openers {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				if events, err := readStream(t, newClient(), serveRaw(t, sends(text)), way); !isBroken(err) {
					t.Errorf("got %v, %v", events, err)
				}
			})
		}
	}
}

// Guards against a stream that is cut off and passes as ended.
func TestCutStreamsHaveNoEnd(t *testing.T) {
	forms := map[string]string{
		"chunks":     chunked + asChunks(eventText(1), eventText(2), lastEvent, strings.TrimSpace(streamEnd)),
		"length":     fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(wholeStream()), strings.TrimSpace(wholeStream())),
		"to the end": "HTTP/1.1 200 OK\r\n\r\n" + strings.TrimSpace(wholeStream()),
	}
	ends := map[string]func(string) handler{"closed": sends, "reset": sendsAndResets}
	for name, text := range forms {
		for end, handle := range ends {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				for at := range len(text) + 1 {
					if _, err := readStream(t, newClient(), serveRaw(t, handle(text[:at])), "generate"); !isBroken(err) {
						t.Errorf("cut at %d of %d, %q: got %v", at, len(text), text[max(0, at-9):at], err)
					}
				}
			})
		}
	}
}

func TestStatusesOfStreams(t *testing.T) {
	for status, notRun := range map[int]bool{201: false, 204: false, 302: false, 400: true, 404: true, 429: true, 500: false, 503: false} {
		for way := range openers {
			address := serveRaw(t, sends(fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\nno", status)))
			_, err := readStream(t, newClient(), address, way)
			if got, ok := errors.Cause(err).(ErrStatus); !ok || got != (ErrStatus{Code: status, NotRun: notRun}) {
				t.Errorf("%d, %s: got %v", status, way, err)
			}
		}
	}
}

func TestBrokenEvents(t *testing.T) {
	for name, text := range map[string]string{"no JSON": "data: {\n\n", "null": "data: null\n\n", "no id": "data: {}\n\n", "another run": "data: {\"id\":\"id-2\"}\n\n", "an answer": "data: HTTP/1.1 200 OK\n\n"} {
		_, err := readStream(t, newClient(), serveRaw(t, sends(chunked+asChunks(text))), "generate")
		_, wrongRun := errors.Cause(err).(ErrWrongRun)
		if !isBroken(err) && !wrongRun {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Guards against a call that goes on after its context has ended.
func TestContextEndsAStream(t *testing.T) {
	for name, start := range map[string]string{"no byte": "", "a part of a head": "HTTP/1.1 2", "a head": chunked, "a part of an event": chunked + asChunks(eventText(1)[:9])} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			address := serveRaw(t, func(c *net.TCPConn, _ *http.Request) {
				_, _ = c.Write([]byte(start))
				cancel()
				_, _ = c.Read(make([]byte, 1))
			})
			s, err := openers["generate"](ctx, newClient(), address)
			if err == nil {
				defer s.Close()
				_, err = s.Next()
			}
			if err == nil || !isBroken(err) && !IsErrNotSent(err) {
				t.Errorf("got %v", err)
			}
		})
	}
}
