// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/resume"
	"havenwinch.dev/havenwinch/models/software"
)

// starts registers targets with the given versions, all born at the given time.
func starts(f *Forwarder, versions map[string]string, born int64) {
	rows, revision := f.opts.Store.Targets()
	message := &betweenv1.FollowResponse{HasSoftwareEnds: true, TargetRevision: revision + uint64(len(rows))}
	for i, row := range rows {
		if version, known := versions[row.GetId()]; known {
			message.Targets = append(message.Targets, &statev1.RegisteredTarget{Id: row.GetId(), Service: row.GetService(), Address: row.GetAddress(), DataCentre: row.GetDataCentre(), State: row.GetState(), Version: version, Born: born, Revision: revision + uint64(i) + 1})
		}
	}
	_, _ = f.opts.Store.Apply(message)
	f.Refresh()
}

// keepConnection leaves an idle connection to a target that was dialled some time ago, none for zero.
func keepConnection(t *testing.T, f *Forwarder, id string, ago time.Duration) {
	t.Helper()
	if ago == 0 {
		return
	}
	c, err := f.pool.get(context.Background(), f.targets.ByID(id), useCalls, "before")
	if err != nil {
		t.Fatal(err)
	}
	c.dialledAt -= ago
	f.pool.put(c, 0)
}

// Guards against a stream that goes on at a target which has started again under its id, with other
// software that this box has not heard of yet.
func TestStreamDoesNotGoOnAtATargetThatStartedAgain(t *testing.T) {
	cases := map[string]struct {
		// reports is what the near target answers to a query of its report.
		reports script
		// connectedFor is how long ago the connection to the near target was dialled, zero for a new one.
		connectedFor time.Duration
		target       string
	}{
		"the start that is registered": {reports: respond(200, "0 0 10"), target: "a"},
		"a later start":                {reports: respond(200, "0 0 20"), target: "b"},
		"it does not tell its start":   {reports: respond(200, "0 0"), target: "a"},
		"it tells nothing":             {reports: closeConn(), target: "b"},
		"a later start that can't register over an old connection": {reports: respond(200, "0 0 20"), connectedFor: 2 * registrationTime, target: "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			answer := func(report script) script {
				return func(conn net.Conn, r received) {
					if r.path == "/report" {
						report(conn, r)
						return
					}
					chunks(true, event(3))(conn, r)
				}
			}
			whole := answer(respond(200, "0 0 10"))
			targets := map[string]*target{"a": newTarget(t, "a", answer(c.reports), answer(c.reports)), "b": newTarget(t, "b", whole, whole)}
			f := newForwarder(t, &fakeLeases{}, targets["a"], targets["b"])
			f.opts.EngineAPI = testEngineAPI{}
			starts(f, map[string]string{"a": "v1", "b": "v1"}, 10)
			f.opts.Streams = &memory{records: map[resume.Key]software.Identity{resume.KeyOf("o", "s", "first"): "version v1"}}
			call := newCall("resume")
			call.LastEvent, call.FirstAttempt = 2, "first"
			keepConnection(t, f, "a", c.connectedFor)
			if err := f.Serve(context.Background(), call, &collector{}); err != nil {
				t.Fatal(err)
			}
			for id, tg := range targets {
				calls := 0
				for _, r := range tg.requests() {
					if r.path != "/report" {
						calls++
					}
				}
				if calls > 0 != (id == c.target) {
					t.Errorf("target %s got %d calls, want the call at %s", id, calls, c.target)
				}
			}
		})
	}
}

// Guards against a new stream that counts as one of the registered start of its target although a later
// start, with other software, has begun it: it went on at the former software when that start ended
// before it was registered.
func TestStreamOfAStartThatIsNotRegistered(t *testing.T) {
	begun, whole := event(0)+event(1), event(0)+event(1)+event(2)
	registered := respond(200, "0 0 10")
	cases := map[string]struct {
		// report is what the near target answers to a query of its report.
		report script
		// connectedFor is how long ago the connection to the near target was dialled, zero for a new one.
		connectedFor time.Duration
		want         string
		record       software.Identity
	}{
		"the start that is registered": {report: registered, want: whole, record: "version v1"},
		"a later start":                {report: respond(200, "0 0 20"), want: begun, record: software.Unverified},
		"it does not tell its start":   {report: respond(200, "0 0"), want: whole, record: "version v1"},
		"it tells nothing":             {report: closeConn(), want: begun, record: software.Unverified},
		"it tells nothing in time":     {report: func(net.Conn, received) { time.Sleep(3 * bindWait) }, want: begun, record: software.Unverified},
		"a later start that can't register over an old connection": {report: respond(200, "0 0 20"), connectedFor: 2 * registrationTime, want: begun, record: software.Unverified},
		"it tells nothing over an old connection":                  {report: closeConn(), connectedFor: 2 * registrationTime, want: whole, record: "version v1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			near := func(conn net.Conn, r received) {
				if r.path == "/report" {
					c.report(conn, r)
					return
				}
				chunks(false, event(0), event(1))(conn, r)
			}
			far := func(conn net.Conn, r received) {
				if r.path == "/report" {
					registered(conn, r)
					return
				}
				chunks(true, event(2))(conn, r)
			}
			f := newForwarder(t, &fakeLeases{}, newTarget(t, "a", near, near), newTarget(t, "b", far, far))
			f.opts.EngineAPI = testEngineAPI{}
			m := &memory{}
			f.opts.Streams = m
			starts(f, map[string]string{"a": "v1", "b": "v1"}, 10)
			keepConnection(t, f, "a", c.connectedFor)
			got := &collector{}
			_ = f.Serve(context.Background(), newCall("resume"), got)
			if got.body.String() != c.want {
				t.Errorf("got %q, want %q", got.body.String(), c.want)
			}
			if diff := cmp.Diff([]software.Identity{c.record}, m.all()); diff != "" {
				t.Errorf("recorded: %s", diff)
			}
		})
	}
}

// Guards against a query for each new connection to a target that does not tell its start.
func TestTargetThatTellsNoStartIsAskedOnce(t *testing.T) {
	answer := func(c net.Conn, r received) {
		if r.path == "/report" {
			respond(200, "0 0")(c, r)
			return
		}
		chunks(true, event(0))(c, r)
	}
	one := newTarget(t, "a", answer, answer, answer, answer, answer, answer, answer, answer)
	f := newForwarder(t, &fakeLeases{}, one)
	f.opts.EngineAPI = testEngineAPI{}
	starts(f, map[string]string{"a": "v1"}, 10)
	for range 3 {
		if err := f.Serve(context.Background(), newCall("resume"), &collector{}); err != nil {
			t.Fatal(err)
		}
		f.pool.dropIdle("s", true)
		f.pool.dropIdle("s", false)
	}
	queries := 0
	for _, r := range one.requests() {
		if r.path == "/report" {
			queries++
		}
	}
	if queries != 1 {
		t.Errorf("%d queries for the start of a target that does not tell it, want 1", queries)
	}
}

// Guards against a stream that goes on at the software of a later start of its target, or at that of the
// registered one, while the box can't tell which of them wrote its events.
func TestStreamOfATargetThatHadStartedAgain(t *testing.T) {
	registered, none := respond(200, "0 0 10"), closeConn()
	cases := map[string]struct {
		// report is what the target answers to a query of its report before it has registered again.
		report script
		// goesOn is the target at which the stream goes on, empty if it breaks off.
		goesOn string
		record []software.Identity
	}{
		"events of the former start arrive late": {report: registered, goesOn: "b", record: []software.Identity{"version v1"}},
		"it tells nothing":                       {report: none, record: []software.Identity{software.Unverified}},
		"it does not tell its start":             {report: respond(200, "0 0"), record: []software.Identity{"version v1", software.Unverified}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			begun, restarted := make(chan struct{}), make(chan struct{})
			answer := func(conn net.Conn, r received) {
				if r.path == "/report" {
					c.report(conn, r)
					return
				}
				chunk := func(text string) { _, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }
				_, _ = io.WriteString(conn, head(r.id, "Transfer-Encoding: chunked\r\n\r\n"))
				chunk(event(0))
				close(begun)
				<-restarted
				chunk(event(1))
				_ = conn.Close()
			}
			one := newTarget(t, "a", answer, answer)
			rest := func(conn net.Conn, r received) {
				if r.path == "/report" {
					registered(conn, r)
					return
				}
				chunks(true, event(2))(conn, r)
			}
			others := map[string]*target{"b": newTarget(t, "b", rest, rest), "c": newTarget(t, "c", rest, rest)}
			f := newForwarder(t, &fakeLeases{}, one, others["b"], others["c"])
			f.opts.EngineAPI = testEngineAPI{}
			starts(f, map[string]string{"a": "v1", "b": "v1", "c": "v2"}, 10)
			m := &memory{}
			f.opts.Streams = m
			go func() {
				<-begun
				for len(m.all()) == 0 {
					time.Sleep(time.Millisecond)
				}
				starts(f, map[string]string{"a": "v2"}, 20)
				close(restarted)
			}()
			sink := &collector{}
			_ = f.Serve(context.Background(), newCall("resume"), sink)
			want := event(0) + event(1)
			if c.goesOn != "" {
				want += event(2)
			}
			if got := sink.body.String(); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			for id, other := range others {
				calls := slices.DeleteFunc(other.requests(), func(r received) bool { return r.path == "/report" })
				if (len(calls) > 0) != (id == c.goesOn) {
					t.Errorf("target %s got %d calls, want the rest of the stream at %q only", id, len(calls), c.goesOn)
				}
			}
			if diff := cmp.Diff(c.record, m.all()); diff != "" {
				t.Errorf("recorded: %s", diff)
			}
		})
	}
}
