// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/standin/platform"
	"havenwinch.dev/havenwinch/tests/fleet"
	"havenwinch.dev/havenwinch/tests/flood"
)

const (
	// floodMemoryMB is the memory of the box.
	floodMemoryMB = 128
	// floodWait is the deadline of the calls in seconds, and floodSlack how long after it one has ended.
	floodWait  = 5
	floodSlack = 5 * time.Second
	// floodCalls is how many calls the box gets at once, floodTargets how many engines answer them.
	floodCalls, floodTargets = 240, 48
	// leastServed is the least share of other calls that are served, otherPause the time between two of them.
	leastServed = 0.9
	otherPause  = 50 * time.Millisecond
)

// floodTargetSet has targets that send without end. Calls name the form.
type floodTargetSet struct {
	quit chan struct{}

	mu sync.Mutex
	// met counts the answers by kind of request and form, forms has the forms of runs by id.
	met   map[string]int
	forms map[string]string
}

// start starts a target. Its load reports are of a form, or sound without one.
func (s *floodTargetSet) start(t *testing.T, report string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				s.serve(c, report)
			}()
		}
	}()
	return l.Addr().String()
}

// serve answers one request.
func (s *floodTargetSet) serve(c net.Conn, report string) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, _ := io.ReadAll(r.Body)
	isReport := r.URL.Path == "/load" || r.URL.Path == "/cache/events"
	if isReport && report == "" {
		const sound = `{"running":0,"queued":0,"prompt_queued":0,"epoch":"1","events":[]}`
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(sound), sound)
		return
	}
	id := r.Header.Get("X-Request-Id")
	name, kind := s.formOf(r, id, string(body))
	if isReport {
		name, kind = report, "report"
	}
	form, ok := flood.Forms[name]
	if !ok {
		return
	}
	s.mu.Lock()
	s.met[kind+" "+name]++
	s.mu.Unlock()
	event := fmt.Sprintf("id: 1\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":\"m2\",\"choices\":[{\"delta\":{\"content\":\"w1-a \"}}]}\n\n", id)
	form.Send(c, flood.Request{ID: id, Event: event, Trickles: strings.Contains(string(body), "trickle")}, s.quit)
}

// formOf returns the form that a request names, or that its run has got, and the kind of the request.
func (s *floodTargetSet) formOf(r *http.Request, id, body string) (form, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/streams/"):
		return s.forms[strings.Split(r.URL.Path, "/")[3]], "run"
	case r.URL.Path == "/v1/chat/completions":
		_, rest, _ := strings.Cut(body, "form<")
		name, _, _ := strings.Cut(rest, ">")
		s.forms[id] = name
		return name, "stream"
	default:
		return strings.ReplaceAll(path.Base(r.URL.Path), "-", " "), "service"
	}
}

// floodCall is a call to a target that sends without end, and what came of it.
type floodCall struct {
	form                string
	isService, trickles bool

	took   time.Duration
	bytes  int64
	status string
	err    error
}

// send sends the call and reads until its connection ends.
func (c *floodCall) send(address, key string) {
	began := time.Now()
	defer func() { c.took = time.Since(began) }()
	limit := began.Add(floodWait*time.Second + floodSlack)
	conn, err := (&net.Dialer{Deadline: limit}).Dial("tcp", address)
	if err != nil {
		c.err = err
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(limit)
	pace := "fast"
	if c.trickles {
		pace = "trickle"
	}
	target, body := "/v1/chat/completions", fmt.Sprintf(`{"model":"m2","messages":[{"role":"user","content":"form<%s> %s %s"}],"max_tokens":20,"stream":true}`, c.form, pace, key)
	if c.isService {
		target, body = "/services/portal/"+strings.ReplaceAll(c.form, " ", "-"), pace
	}
	if _, c.err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer %s\r\nPrefer: wait=%d\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		target, accessKey, floodWait, len(body), body); c.err != nil {
		return
	}
	lines := bufio.NewReader(conn)
	c.status, _ = lines.ReadString('\n')
	c.bytes, c.err = io.Copy(io.Discard, lines)
}

// peakMemory returns the most memory that a process has had resident, in kB.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatalf("no VmHWM in the status of process %d", pid)
	}
	kB, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	return kB
}

// sendOthers sends calls to sound engines until stop is closed, and returns how many there were and how many
// were served.
func (tb *testbed) sendOthers(box string, stop <-chan struct{}) (tries, served int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for {
		select {
		case <-stop:
			wg.Wait()
			return tries, served
		case <-time.After(otherPause):
		}
		tries++
		prompt := fmt.Sprint("other ", tries)
		wg.Go(func() {
			r, err := tb.sendWithin(waitLimit, box, prompt, 10)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && r.status == http.StatusOK && r.complete {
				served++
			}
		})
	}
}

// Guards against boxes that keep what engines and services send without end until their memory is full.
func TestMemoryUnderBytesWithoutEnd(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "havenwinch.dev/havenwinch/cmd/havenwinchd").CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	const box = "box-a"
	flags := append([]string{"--memory-mb", strconv.Itoa(floodMemoryMB)}, quickFlags...)
	tb := newTestbed(t, []fleet.BoxSpec{{Name: box, DataCentre: "dc-a", Roles: "entry,keeper,control", Flags: flags, Bin: dir}}, quickEngine, 10_000_000)
	tb.command("set group north/a budget north/main models m1,m2 services portal")
	s := &floodTargetSet{quit: make(chan struct{}), met: map[string]int{}, forms: map[string]string{}}
	t.Cleanup(func() { close(s.quit) })
	for n := range floodTargets {
		tb.platform.Put(platform.Target{Name: fmt.Sprint("flood-", n), Address: s.start(t, ""), Kind: "engine", Models: []string{"m2"}, DataCentre: "dc-a", State: "live"})
		tb.platform.Put(platform.Target{Name: fmt.Sprint("portal-", n), Address: s.start(t, ""), Kind: "service", Service: "portal", DataCentre: "dc-a", State: "live"})
	}
	for i, form := range flood.Names() {
		if !flood.Forms[form].IsStream {
			tb.platform.Put(platform.Target{Name: fmt.Sprint("report-", i), Address: s.start(t, form), Kind: "engine", Models: []string{"m3"}, DataCentre: "dc-a", State: "live"})
		}
	}
	tb.waitConfigured(box)
	address := tb.fleet.Boxes[box].Caller
	for _, isService := range []bool{false, true} {
		tb.waitFor("calls reach the targets", func() bool {
			c := &floodCall{form: "lines without a head", isService: isService}
			c.send(address, "first")
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.met[map[bool]string{false: "stream ", true: "service "}[isService]+c.form] > 0
		})
	}
	stop, others := make(chan struct{}), make(chan [2]int)
	go func() {
		tries, served := tb.sendOthers(box, stop)
		others <- [2]int{tries, served}
	}()
	list := tb.sendFlood(address)
	close(stop)
	o := <-others
	t.Logf("%d of %d other calls served; answers without end: %v", o[1], o[0], s.met)
	if float64(o[1]) < leastServed*float64(o[0]) {
		t.Errorf("%d of %d other calls served, want nine in ten", o[1], o[0])
	}
	for _, c := range list {
		var timeout net.Error
		if errors.As(c.err, &timeout) && timeout.Timeout() {
			t.Errorf("%q (service %v, trickle %v) has not ended %s after its deadline: %q, %d bytes", c.form, c.isService, c.trickles, floodSlack, c.status, c.bytes)
		}
	}
	tb.checkFloodMet(s)
	kB := peakMemory(t, tb.fleet.Pid(box))
	t.Logf("%s: at most %d kB resident", box, kB)
	if kB > floodMemoryMB<<10 {
		t.Errorf("%s had %d kB resident, want at most %d MB", box, kB, floodMemoryMB)
	}
}

// sendFlood sends calls in all forms at once and waits for them.
func (tb *testbed) sendFlood(address string) []*floodCall {
	rng := rand.New(rand.NewSource(1))
	var list []*floodCall
	var wg sync.WaitGroup
	names := flood.Names()
	for n := range floodCalls {
		c := &floodCall{form: names[n%len(names)], trickles: rng.Intn(4) == 0}
		c.isService = rng.Intn(2) == 0 && !flood.Forms[c.form].IsStream
		list = append(list, c)
		wg.Go(func() { c.send(address, fmt.Sprint(n)) })
	}
	wg.Wait()
	return list
}

// checkFloodMet checks that targets have sent all forms, and waits for those of the load reports.
func (tb *testbed) checkFloodMet(s *floodTargetSet) {
	tb.t.Helper()
	for name, form := range flood.Forms {
		if !form.IsStream {
			tb.waitFor("a load report has the form "+name, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.met["report "+name] > 0
			})
		}
		s.mu.Lock()
		if s.met["stream "+name]+s.met["service "+name] == 0 {
			tb.t.Errorf("no target sent %q without end", name)
		}
		s.mu.Unlock()
	}
}
