// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/resume"
	"havenwinch.dev/havenwinch/models/software"
	"havenwinch.dev/havenwinch/models/spread"
	resumes "havenwinch.dev/havenwinch/services/resume"
	"havenwinch.dev/havenwinch/structs"
)

// memory is a Streams that holds its records in one place.
type memory struct {
	mu      sync.Mutex
	records map[resume.Key]software.Identity
	// unanswered is the number of boxes that may know what is not held here.
	unanswered int
	// onRecord is called by Record; may be nil.
	onRecord func()
	// history lists all that was recorded.
	history []software.Identity
}

// all returns all that was recorded, in order.
func (m *memory) all() []software.Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]software.Identity(nil), m.history...)
}

func (m *memory) Record(_ context.Context, k resume.Key, id software.Identity, _ time.Duration) {
	if m.onRecord != nil {
		m.onRecord()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records == nil {
		m.records = map[resume.Key]software.Identity{}
	}
	m.records[k] = id
	m.history = append(m.history, id)
}

func (m *memory) Find(_ context.Context, k resume.Key) (software.Identity, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id, known := m.records[k]; known {
		return id, nil
	}
	return "", errors.WithStack(resumes.ErrUnknown{Reason: "no record", Unanswered: m.unanswered})
}

// setVersions registers the targets of a forwarder again, each with its version. Those without one
// have ended.
func setVersions(f *Forwarder, versions map[string]string) {
	rows, revision := f.opts.Store.Targets()
	message := &betweenv1.FollowResponse{HasSoftwareEnds: true, TargetRevision: revision + uint64(len(rows))}
	for i, row := range rows {
		next := &statev1.RegisteredTarget{Id: row.GetId(), Service: row.GetService(), Address: row.GetAddress(), DataCentre: row.GetDataCentre(), State: row.GetState(), Revision: revision + uint64(i) + 1}
		version, runs := versions[row.GetId()]
		if next.Version = version; !runs {
			next.State = statev1.RegisteredTarget_STATE_GONE
		}
		message.Targets = append(message.Targets, next)
	}
	_, _ = f.opts.Store.Apply(message)
	f.Refresh()
}

// Guards against an answer that holds events of two software versions: a stream that broke off went
// on at any target.
func TestStreamGoesOnAtItsSoftwareWithinItsAnswer(t *testing.T) {
	begun, rest := chunks(false, event(0), event(1)), chunks(true, event(2))
	cases := map[string]struct {
		versions map[string]string
		// first is what the first target answers, others the rest.
		first script
		want  string
		ended bool
	}{
		"one version":                {versions: map[string]string{"a": "v1", "b": "v1"}, first: begun, want: event(0) + event(1) + event(2), ended: true},
		"another version":            {versions: map[string]string{"a": "v1", "b": "v2"}, first: begun, want: event(0) + event(1)},
		"version not known":          {versions: map[string]string{"a": "", "b": ""}, first: begun, want: event(0) + event(1)},
		"nothing had been relayed":   {versions: map[string]string{"a": "v1", "b": "v2"}, first: chunks(false), want: event(0) + event(1) + event(2), ended: true},
		"a comment had been relayed": {versions: map[string]string{"a": "v1", "b": "v2"}, first: chunks(false, ": c\n\n"), want: ": c\n\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			other := rest
			if name == "nothing had been relayed" {
				other = chunks(true, event(0), event(1), event(2))
			}
			one, two := newTarget(t, "a", c.first), newTarget(t, "b", other)
			f := newForwarder(t, &fakeLeases{}, one, two)
			setVersions(f, c.versions)
			got := &collector{}
			_ = f.Serve(context.Background(), newCall("resume"), got)
			if got.body.String() != c.want || got.ended != c.ended {
				t.Fatalf("got %q, ended %v", got.body.String(), got.ended)
			}
		})
	}
}

// Guards against a stream that its caller takes up at another software version, and against refusals
// of streams that can go on.
func TestCallerTakesItsStreamUp(t *testing.T) {
	const first = "first-attempt"
	record := func(version string) *memory {
		return &memory{records: map[resume.Key]software.Identity{resume.KeyOf("o", "s", first): software.Of(&statev1.RegisteredTarget{Version: version})}}
	}
	two := map[string]string{"a": "v1", "b": "v2"}
	cases := map[string]struct {
		versions map[string]string
		streams  *memory
		attempt  string
		// target is the one that gets the call, kind that of the refusal.
		target     string
		kind       structs.Kind
		retryAfter bool
	}{
		"the one version":                      {versions: two, streams: record("v1"), attempt: first, target: "a"},
		"the other version":                    {versions: two, streams: record("v2"), attempt: first, target: "b"},
		"a version that is gone":               {versions: two, streams: record("v3"), attempt: first, kind: structs.KindVersionGone},
		"no record":                            {versions: two, streams: &memory{}, attempt: first, kind: structs.KindVersionUnknown},
		"a box that may know does not answer":  {versions: two, streams: &memory{unanswered: 1}, attempt: first, kind: structs.KindVersionUnknown, retryAfter: true},
		"no record, one version":               {versions: map[string]string{"b": "v2"}, streams: &memory{}, attempt: first, target: "b"},
		"no attempt named, one version":        {versions: map[string]string{"b": "v2"}, streams: record("v1"), target: "b"},
		"no attempt named, two versions":       {versions: two, streams: record("v1"), kind: structs.KindVersionUnknown},
		"another attempt named":                {versions: two, streams: record("v1"), attempt: "other", kind: structs.KindVersionUnknown},
		"no record, version not known":         {versions: map[string]string{"a": ""}, streams: &memory{}, attempt: first, kind: structs.KindVersionUnknown},
		"an attempt of another organisation":   {versions: two, streams: &memory{records: map[resume.Key]software.Identity{resume.KeyOf("other", "s", first): "version v1"}}, attempt: first, kind: structs.KindVersionUnknown},
		"an attempt at another service":        {versions: two, streams: &memory{records: map[resume.Key]software.Identity{resume.KeyOf("o", "t", first): "version v1"}}, attempt: first, kind: structs.KindVersionUnknown},
		"an attempt that took the stream up":   {versions: two, streams: record("v1"), attempt: "second-attempt", kind: structs.KindVersionUnknown},
		"an attempt that can't be one":         {versions: two, streams: record("v1"), attempt: strings.Repeat("\x00%s/../", 800), kind: structs.KindVersionUnknown},
		"a target whose start was not known":   {versions: map[string]string{"a": "v1", "b": "v1"}, streams: &memory{records: map[resume.Key]software.Identity{resume.KeyOf("o", "s", first): software.Unverified}}, attempt: first, kind: structs.KindVersionUnknown},
		"a record, and versions not known now": {versions: map[string]string{"a": "", "b": ""}, streams: record("v1"), attempt: first, kind: structs.KindVersionGone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			targets := map[string]*target{"a": newTarget(t, "a", chunks(true, event(3))), "b": newTarget(t, "b", chunks(true, event(3)))}
			f := newForwarder(t, &fakeLeases{}, targets["a"], targets["b"])
			f.opts.Streams = c.streams
			setVersions(f, c.versions)
			call := newCall("resume")
			call.LastEvent, call.FirstAttempt = 2, c.attempt
			stop := make(chan struct{})
			defer close(stop)
			go confirm(f, stop)
			err := f.Serve(context.Background(), call, &collector{})
			var refusal *Refusal
			switch {
			case c.kind == "" && err != nil:
				t.Fatal(err)
			case c.kind != "" && (!errors.As(err, &refusal) || refusal.Kind != c.kind || refusal.Run != structs.RunNo || (refusal.RetryAfter > 0) != c.retryAfter):
				t.Fatalf("got %+v, want %s", err, c.kind)
			}
			for id, tg := range targets {
				if got := len(tg.requests()); got > 0 != (id == c.target) {
					t.Errorf("target %s got %d requests", id, got)
				}
			}
		})
	}
}

// Guards against a caller that returns twice at once and whose stream is then joined from two versions,
// or charged other than each attempt by itself.
func TestCallerReturnsTwiceAtOnce(t *testing.T) {
	leases := &fakeLeases{}
	hold := make(chan struct{})
	rest := func(c net.Conn, r received) {
		<-hold
		chunks(true, event(3), event(4))(c, r)
	}
	one, two := newTarget(t, "a", rest, rest), newTarget(t, "b", rest, rest)
	f := newForwarder(t, leases, one, two)
	setVersions(f, map[string]string{"a": "v1", "b": "v2"})
	f.opts.Streams = &memory{records: map[resume.Key]software.Identity{resume.KeyOf("o", "s", "first"): "version v2"}}
	answers := map[string]*collector{"second": {}, "third": {}}
	var wg sync.WaitGroup
	for id, sink := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			call := newCall("resume")
			call.ID, call.Fields, call.LastEvent, call.FirstAttempt = id, []Field{{Name: "X-Id", Value: id}}, 2, "first"
			if err := f.Serve(context.Background(), call, sink); err != nil {
				t.Error(err)
			}
		}()
	}
	for len(two.requests()) < len(answers) {
		time.Sleep(time.Millisecond)
	}
	close(hold)
	wg.Wait()
	for id, sink := range answers {
		if got := sink.body.String(); got != event(3)+event(4) || !sink.ended {
			t.Errorf("%s got %q", id, got)
		}
	}
	if len(one.requests()) > 0 || len(leases.settled) != len(answers) {
		t.Errorf("%d requests at the other version, %d settlements", len(one.requests()), len(leases.settled))
	}
}

// confirm tells a box every few milliseconds that its copy is up to date.
func confirm(f *Forwarder, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
			_, _ = f.opts.Store.Apply(&betweenv1.FollowResponse{})
		}
	}
}

// Guards against a stream that goes on at the only version that a box knows while it is cut off from
// control, and so from news of others, and against a box that lets callers wait in vain meanwhile.
func TestBoxThatIsCutOffKnowsNoSoleSoftware(t *testing.T) {
	cases := map[string]struct {
		attempt string
		// age is that of the box's copy when the call arrives, negative for later news.
		age      time.Duration
		ok, wait bool
	}{
		"news after the call":                  {attempt: "first", age: -time.Millisecond, ok: true},
		"news just before the call":            {attempt: "first", age: maxSoleAge / 2, wait: true},
		"cut off":                              {attempt: "first", age: 2 * maxSoleAge},
		"no attempt named":                     {age: maxSoleAge / 2, ok: true},
		"no attempt named, cut off":            {age: 2 * maxSoleAge},
		"no attempt named, cut off for longer": {age: time.Minute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newForwarder(t, &fakeLeases{}, newTarget(t, "a"))
			setVersions(f, map[string]string{"a": "v1"})
			call := newCall("resume")
			call.LastEvent, call.FirstAttempt = 2, c.attempt
			fl := &inflightCall{f: f, call: call}
			if refusal := fl.resolve(); refusal != nil {
				t.Fatal(refusal)
			}
			_, _ = f.opts.Store.Apply(&betweenv1.FollowResponse{})
			call.Arrived = f.opts.Clock.Boot() - f.opts.Store.Confirmed() + c.age
			id, ok, wait := fl.checkSole()
			if ok != c.ok || wait != c.wait || ok && id != "version v1" {
				t.Fatalf("got %q, %v, wait %v", id, ok, wait)
			}
		})
	}
}

// Guards against a caller that holds the first event of a stream before any record of it exists, and
// against records of streams that can't be taken up.
func TestStreamIsRecordedBeforeItsFirstEvent(t *testing.T) {
	for route, want := range map[string]int{"resume": 1, "stream": 0} {
		f := newForwarder(t, &fakeLeases{}, newTarget(t, "a", chunks(true, event(0), event(1))))
		setVersions(f, map[string]string{"a": "v1"})
		sink := &collector{}
		m := &memory{onRecord: func() {
			if sink.heads > 0 {
				t.Error("the answer began before its stream was recorded")
			}
		}}
		f.opts.Streams = m
		if err := f.Serve(context.Background(), newCall(route), sink); err != nil {
			t.Fatal(err)
		}
		if len(m.records) != want {
			t.Errorf("route %s: %d records, want %d", route, len(m.records), want)
		}
		if id, known := m.records[resume.KeyOf("o", "s", "id-1")]; want > 0 && (!known || id != "version v1") {
			t.Errorf("route %s: recorded %v", route, m.records)
		}
	}
}

// Guards against a returning caller that is sent to another service of a split route than the one
// that began its stream.
func TestReturnGoesToTheServiceThatBeganTheStream(t *testing.T) {
	f := newForwarder(t, &fakeLeases{}, newTarget(t, "a"))
	index := f.opts.Store.Index()
	table := &statev1.RoutingTable{Version: 2, Payers: index.Table.GetPayers(), Services: []*statev1.Service{{Name: "s"}, {Name: "t"}}, Routes: []*statev1.Route{{
		Name: "r", Host: "h", PathPrefix: "/resume/", Kind: statev1.Route_KIND_STREAM, Resumable: true, Timeout: 1000,
		Splits: []*statev1.Split{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}},
	}}}
	if _, err := f.opts.Store.Apply(&betweenv1.FollowResponse{Routing: table}); err != nil {
		t.Fatal(err)
	}
	service := func(call *Call) string {
		fl := &inflightCall{f: f, call: call}
		if refusal := fl.resolve(); refusal != nil {
			t.Fatal(refusal)
		}
		return fl.service.GetName()
	}
	used := map[string]int{}
	for n := range 40 {
		first := newCall("resume")
		first.ID = fmt.Sprint("first-", n)
		want := service(first)
		used[want]++
		back := newCall("resume")
		back.ID, back.FirstAttempt, back.LastEvent = fmt.Sprint("second-", n), first.ID, 3
		if got := service(back); got != want {
			t.Fatalf("attempt %d began at %s and returned to %s", n, want, got)
		}
	}
	if len(used) != 2 {
		t.Fatalf("all calls go to %v", used)
	}
}

// Guards against a stream that can't go on once the weights of its route's services have changed.
func TestStreamGoesOnAfterTheWeightsOfItsRouteChanged(t *testing.T) {
	const streams = 20
	weights := func(a, b uint32) []*statev1.Split {
		return []*statev1.Split{{Service: "s", Weight: a}, {Service: "t", Weight: b}}
	}
	cases := map[string]struct {
		before, after []*statev1.Split
		// gone is the service that has lost the route, if any.
		gone string
	}{
		"the same weights":            {before: weights(1, 1), after: weights(1, 1)},
		"most to the other one":       {before: weights(9, 1), after: weights(1, 9)},
		"a service that is added":     {before: weights(1, 0), after: weights(1, 99)},
		"a service that loses it all": {before: weights(1, 0), after: weights(0, 1), gone: "s"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			begin, rest := make([]script, streams), make([]script, streams)
			for i := range streams {
				begin[i], rest[i] = chunks(false, event(0), event(1)), chunks(true, event(2))
			}
			// Both services run two versions, so that a stream without a record can't go on.
			targets := map[string]*target{}
			for _, id := range []string{"s1", "s2", "t1", "t2"} {
				targets[id] = newTarget(t, id)
			}
			f := newForwarder(t, &fakeLeases{}, targets["s1"], targets["s2"], targets["t1"], targets["t2"])
			f.opts.Streams = &memory{}
			payers := f.opts.Store.Index().Table.GetPayers()
			registered := &betweenv1.FollowResponse{HasSoftwareEnds: true, TargetRevision: 100}
			for i, id := range []string{"s1", "s2", "t1", "t2"} {
				registered.Targets = append(registered.Targets, &statev1.RegisteredTarget{Id: id, Service: id[:1], Address: targets[id].l.Addr().String(), DataCentre: "dc", Version: "v" + id[1:], State: statev1.RegisteredTarget_STATE_READY, Revision: uint64(90 + i)})
			}
			setSplits := func(version uint64, splits []*statev1.Split) {
				registered.Routing = &statev1.RoutingTable{Version: version, Payers: payers, Services: []*statev1.Service{{Name: "s"}, {Name: "t"}}, Routes: []*statev1.Route{{
					Name: "r", Host: "h", PathPrefix: "/resume/", Kind: statev1.Route_KIND_STREAM, Resumable: true, Timeout: 20000, MaxAttempts: 1, Splits: splits,
				}}}
				if _, err := f.opts.Store.Apply(registered); err != nil {
					t.Fatal(err)
				}
				f.Refresh()
			}
			setScripts := func(scripts []script) {
				for _, tg := range targets {
					tg.mu.Lock()
					tg.scripts, tg.requestsRead = scripts, nil
					tg.mu.Unlock()
				}
			}
			// targetOf returns the target that got a request, empty for none.
			targetOf := func(id string) string {
				for name, tg := range targets {
					for _, r := range tg.requests() {
						if r.id == id {
							return name
						}
					}
				}
				return ""
			}
			setSplits(2, c.before)
			setScripts(begin)
			beganAt := map[string]string{}
			for n := range streams {
				call := newCall("resume")
				call.ID = fmt.Sprint("first-", n)
				call.Fields = []Field{{Name: "X-Id", Value: call.ID}}
				_ = f.Serve(context.Background(), call, &collector{})
				beganAt[call.ID] = targetOf(call.ID)
			}
			setSplits(3, c.after)
			setScripts(rest)
			for n := range streams {
				call := newCall("resume")
				call.ID, call.FirstAttempt, call.LastEvent = fmt.Sprint("second-", n), fmt.Sprint("first-", n), 1
				call.Fields = []Field{{Name: "X-Id", Value: call.ID}}
				err := f.Serve(context.Background(), call, &collector{})
				want := beganAt[call.FirstAttempt]
				if want[:1] == c.gone {
					want = ""
				}
				if got := targetOf(call.ID); got != want {
					t.Errorf("stream %d began at %s and went on at %q, want %q: %v", n, beganAt[call.FirstAttempt], got, want, err)
				}
			}
		})
	}
}

// Guards against runs that are moved to another software version with their memory.
func TestRunsMoveWithinTheirSoftware(t *testing.T) {
	for name, c := range map[string]struct {
		to    software.Identity
		moves bool
	}{"same": {to: "v1", moves: true}, "other": {to: "v2"}} {
		t.Run(name, func(t *testing.T) {
			f := newForwarder(t, &fakeLeases{}, newTarget(t, "a"))
			f.opts.EngineAPI = testEngineAPI{}
			fl := &inflightCall{f: f, call: newCall("resume"), service: &statev1.Service{Name: "s", Engine: &statev1.EngineLimits{Moves: true}}}
			choice := spread.Choice{IsDedicated: true, Target: &spread.Target{ID: "a", Software: "v1"}, AffinityTarget: &spread.Target{ID: "b", Software: c.to}}
			if diff := cmp.Diff(c.moves, fl.mover(choice) != nil); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}
