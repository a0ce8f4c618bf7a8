// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// queries are the short queries, each with the request that it sends, a sound answer and what that says.
var queries = map[string]struct {
	ask           func(ctx context.Context, c *Client, address string) (any, error)
	request, body string
	want          any
}{
	"cancel": {
		func(ctx context.Context, c *Client, address string) (any, error) {
			return c.Cancel(ctx, address, "id-1")
		},
		"DELETE /v1/streams/id-1", `{"known":true,"ended":true,"prompt_tokens":3,"completion_tokens":4}`, RunState{Known: true, Ended: true, PromptTokens: 3, CompletionTokens: 4},
	},
	"status": {
		func(ctx context.Context, c *Client, address string) (any, error) {
			return c.Status(ctx, address, "id-1")
		},
		"GET /v1/streams/id-1/status", `{"known":false}`, RunState{},
	},
	"load": {
		func(ctx context.Context, c *Client, address string) (any, error) { return c.Load(ctx, address) },
		"GET /load", `{"running":1,"queued":2,"prompt_queued":3}`, Load{Running: 1, Queued: 2, PromptQueued: 3},
	},
	"cache events": {
		func(ctx context.Context, c *Client, address string) (any, error) {
			return c.CacheEvents(ctx, address, "e", 5)
		},
		"GET /cache/events?epoch=e&after=5", `{"epoch":"e","events":[{"seq":6,"op":"insert","block":"ff"}]}`, CacheEvents{Epoch: "e", Events: []CacheEvent{{Sequence: 6, Op: "insert", Block: "ff"}}},
	},
	"order": {
		func(ctx context.Context, c *Client, address string) (any, error) {
			return nil, orders(c, address).Send(ctx, "t", &statev1.Order{Token: 7, Kind: statev1.Order_KIND_ROLE, Value: "v"})
		},
		"POST /orders", `{}`, nil,
	},
	"order in force": {
		func(ctx context.Context, c *Client, address string) (any, error) {
			return orders(c, address).InForce(ctx, "t", statev1.Order_KIND_ROLE)
		},
		"GET /orders/role", `{"token":7}`, uint64(7),
	},
}

func orders(c *Client, address string) *Orders {
	return &Orders{Client: c, Address: func(string) string { return address }}
}

func TestQueries(t *testing.T) {
	for name, q := range queries {
		for form, head := range map[string]string{"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(q.body)), "to the end": "HTTP/1.1 200 OK\r\n\r\n"} {
			t.Run(name+", "+form, func(t *testing.T) {
				asked := make(chan string, 1)
				address := serveRaw(t, func(c *net.TCPConn, r *http.Request) {
					asked <- r.Method + " " + r.URL.String()
					sends(head+q.body)(c, r)
				})
				got, err := q.ask(context.Background(), newClient(), address)
				if diff := cmp.Diff(q.want, got); err != nil || diff != "" {
					t.Fatalf("%v %s", err, diff)
				}
				if request := <-asked; request != q.request {
					t.Errorf("sent %s, want %s", request, q.request)
				}
			})
		}
	}
}

// Guards against a query that takes bytes that are no answer for one.
func TestBrokenAnswersToQueriesAreNone(t *testing.T) {
	for name, q := range queries {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for form, text := range brokenAnswers() {
				text = strings.Replace(text, "Content-Length: 21\r\n\r\n"+soundBody, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(q.body), q.body), 1)
				if got, err := q.ask(context.Background(), newClient(), serveRaw(t, sends(text))); !isBroken(err) {
					t.Errorf("%s: got %v, %v", form, got, err)
				}
			}
		})
	}
}

// Guards against an answer that is cut off and passes as whole.
func TestCutAnswersToQueriesAreNone(t *testing.T) {
	for name, q := range queries {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(q.body), q.body)
			for at := range len(text) {
				for end, handle := range map[string]func(string) handler{"closed": sends, "reset": sendsAndResets} {
					if got, err := q.ask(context.Background(), newClient(), serveRaw(t, handle(text[:at]))); !isBroken(err) {
						t.Errorf("%s at %d: got %v, %v", end, at, got, err)
					}
				}
			}
		})
	}
}

// Guards against a run that is taken for unknown since its engine sent a body that does not say.
func TestIncompleteBodiesOfQueries(t *testing.T) {
	for _, name := range []string{"cancel", "status", "load", "cache events", "order in force"} {
		for _, body := range []string{"", "null", "{}", "[]", "1", `{"known":`, `{"known":null}`, `{"error":"x"}`} {
			address := serveRaw(t, sends(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
			if got, err := queries[name].ask(context.Background(), newClient(), address); err == nil {
				t.Errorf("%s, %q: got %+v", name, body, got)
			}
		}
	}
}

func TestStatusesOfQueries(t *testing.T) {
	for name, q := range queries {
		for _, status := range []int{204, 304, 404, 500} {
			address := serveRaw(t, sends(fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)))
			_, err := q.ask(context.Background(), newClient(), address)
			if got, ok := errors.Cause(err).(ErrStatus); name == "order" && status == 204 {
				if err != nil {
					t.Errorf("%s, %d: got %v", name, status, err)
				}
			} else if !ok || got.Code != status {
				t.Errorf("%s, %d: got %v", name, status, err)
			}
		}
	}
}

// Guards against an answer that was sent before its query, and belongs to an earlier one.
func TestSurplusAnswerIsNotTakenForTheNext(t *testing.T) {
	state := func(known bool) string {
		body := fmt.Sprintf(`{"known":%v}`, known)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	read, sent := make(chan struct{}), make(chan struct{})
	address := serveKept(t, func(c *net.TCPConn, path string) {
		if !strings.Contains(path, "run-1") {
			_, _ = io.WriteString(c, state(true))
			return
		}
		_, _ = io.WriteString(c, state(false))
		<-read
		_, _ = io.WriteString(c, state(false))
		sent <- struct{}{}
	})
	c := newClient()
	if got, err := c.Status(context.Background(), address, "run-1"); err != nil || got.Known {
		t.Fatalf("got %v, %v", got, err)
	}
	read <- struct{}{}
	<-sent
	if got, err := c.Status(context.Background(), address, "run-2"); err != nil || !got.Known {
		t.Fatalf("got the answer to another query: %v, %v", got, err)
	}
}
