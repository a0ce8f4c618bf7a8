// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package integration tests a fleet of real processes end to end while boxes are killed,
// paused and partitioned and lose their disks.
package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/modules/digest"
	standin "havenwinch.dev/havenwinch/standin/engine"
	"havenwinch.dev/havenwinch/standin/platform"
	"havenwinch.dev/havenwinch/structs"
	"havenwinch.dev/havenwinch/tests/fleet"
	"havenwinch.dev/havenwinch/tests/observe"
)

const (
	accessKey    = "hw-key-of-an-integration-test"
	waitLimit    = 40 * time.Second
	pollInterval = 20 * time.Millisecond
)

// bin is the directory of the binaries; the daemon is built with the race detector.
var bin string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "havenwinch-bin-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	const module = "havenwinch.dev/havenwinch/"
	for _, args := range [][]string{
		{"build", "-race", "-o", dir + "/", module + "cmd/havenwinchd"},
		{"build", "-o", dir + "/", module + "cmd/havenwinch", module + "standin", module + "tests/tour"},
	} {
		if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	bin = dir
	return m.Run()
}

// quickFlags shortens elections and the detection of dead boxes.
var quickFlags = []string{"--election-timeout", "400ms", "--heartbeat", "60ms", "--sync-interval", "50ms", "--box-timeout", "1500ms"}

// threeBoxes returns three boxes with all roles, each in a data centre of its own.
func threeBoxes() []fleet.BoxSpec {
	return []fleet.BoxSpec{
		{Name: "box-a", DataCentre: "dc-a", Roles: "entry,keeper,control", Flags: quickFlags},
		{Name: "box-b", DataCentre: "dc-b", Roles: "entry,keeper,control", Flags: quickFlags},
		{Name: "box-c", DataCentre: "dc-c", Roles: "entry,keeper,control", Flags: quickFlags},
	}
}

// withEntry adds an entry box without a disk.
func withEntry(specs []fleet.BoxSpec) []fleet.BoxSpec {
	return append(specs, fleet.BoxSpec{Name: "entry-a", DataCentre: "dc-a", Roles: "entry", Flags: quickFlags})
}

// testbed is a running fleet with simulated engines.
type testbed struct {
	t        *testing.T
	fleet    *fleet.Fleet
	platform *platform.Platform
	engines  map[string]*standin.Engine
	// number is the number of the last command.
	number uint64
	// answers records what callers receive, for a strict check at the end.
	answers observe.Recorder
}

var quickEngine = standin.Options{Slots: 8, PrefillPerSecond: 1_000_000, TokenTime: 2 * time.Millisecond, CacheBlocks: 256}

// newTestbed starts a fleet with one engine in each data centre, and creates a group whose
// budget has the given number of tokens.
func newTestbed(t *testing.T, specs []fleet.BoxSpec, engine standin.Options, tokens int) *testbed {
	t.Helper()
	t.Parallel()
	tb := &testbed{t: t, platform: platform.New(1), engines: map[string]*standin.Engine{}}
	for _, spec := range specs {
		if tb.engines[spec.DataCentre] == nil {
			tb.addEngine("engine-"+spec.DataCentre, spec.DataCentre, engine)
		}
	}
	list := tb.serve(tb.platform.Handler())
	f, err := fleet.New(bin, t.TempDir(), "http://"+list, specs)
	if err != nil {
		t.Fatal(err)
	}
	tb.fleet = f
	t.Cleanup(func() {
		f.Close()
		tb.reportRaces()
		if err := tb.answers.Check(); err != nil {
			t.Error(err)
		}
	})
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	tb.setup(tokens)
	if err := f.WaitReady(); err != nil {
		t.Fatal(err)
	}
	tb.waitConfigured(f.Names()...)
	return tb
}

// waitConfigured waits until the boxes use the latest revision of the configuration.
func (tb *testbed) waitConfigured(boxes ...string) {
	tb.t.Helper()
	revision, err := strconv.ParseUint(tb.query("show revision")[0]["revision"], 10, 64)
	tb.noError(err)
	for _, name := range boxes {
		tb.waitFor("the configuration is applied at "+name, func() bool {
			s, err := tb.status(name)
			return err == nil && s.Revision >= revision
		})
	}
}

func (tb *testbed) reportRaces() {
	for _, name := range tb.fleet.Names() {
		if log := tb.fleet.Boxes[name].Log(); strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic:") {
			tb.t.Errorf("box %s:\n%s", name, log)
		}
	}
}

func (tb *testbed) addEngine(name, dc string, o standin.Options) {
	e := standin.New(o)
	tb.engines[dc] = e
	tb.platform.Put(platform.Target{Name: name, Address: tb.serve(e.Handler()), Kind: "engine", Models: []string{"m1"}, DataCentre: dc, State: "live"})
}

func (tb *testbed) serve(h http.Handler) string {
	server := httptest.NewUnstartedServer(h)
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	server.Start()
	tb.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (tb *testbed) setup(tokens int) {
	tb.t.Helper()
	tb.command("create organisation north share 1")
	tb.command(fmt.Sprintf("create budget north/main tokens %d", tokens))
	tb.command("create group north/a budget north/main models m1")
	tb.command("add key " + digest.Of([]byte(accessKey)) + " to north/a")
}

// command sends a command with the next number and retries it until the result is known.
func (tb *testbed) command(text string) structs.CommandResult {
	tb.t.Helper()
	tb.number++
	return tb.commandAs(tb.number, text)
}

func (tb *testbed) commandAs(number uint64, text string) structs.CommandResult {
	tb.t.Helper()
	var result structs.CommandResult
	deadline := time.Now().Add(waitLimit)
	for {
		out, err := tb.fleet.Tool(context.Background(), "--output", "json", "command", "--number", strconv.FormatUint(number, 10), text)
		if json.Unmarshal([]byte(out), &result) == nil && err == nil {
			return result
		}
		if time.Now().After(deadline) {
			tb.t.Fatalf("%s: %v\n%s", text, err, out)
		}
		time.Sleep(pollInterval)
	}
}

// query returns the rows of a query as maps from column to value.
func (tb *testbed) query(text string) []map[string]string {
	tb.t.Helper()
	var result structs.QueryResult
	deadline := time.Now().Add(waitLimit)
	for {
		out, err := tb.fleet.Tool(context.Background(), "--output", "json", "query", text)
		if err == nil && json.Unmarshal([]byte(out), &result) == nil {
			break
		}
		if time.Now().After(deadline) {
			tb.t.Fatalf("%s: %v\n%s", text, err, out)
		}
		time.Sleep(pollInterval)
	}
	var rows []map[string]string
	for _, cells := range result.Rows {
		row := map[string]string{}
		for i, c := range result.Columns {
			row[c] = cells[i]
		}
		rows = append(rows, row)
	}
	return rows
}

func (tb *testbed) waitFor(what string, met func() bool) {
	tb.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !met() {
		if time.Now().After(deadline) {
			for _, name := range tb.fleet.Names() {
				tb.t.Logf("%s:\n%s", name, tb.fleet.Boxes[name].Log())
			}
			tb.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// reply is an answer as the caller receives it.
type reply struct {
	status   int
	text     string
	billed   int
	complete bool
	err      structs.Error
}

// send sends a streaming request to a box. If first is not nil, it is called after the
// first event.
func (tb *testbed) send(box string, prompt string, tokens int, first func(), headers ...string) (reply, error) {
	return tb.sendFor(waitLimit, box, prompt, tokens, first, headers)
}

// sendWithin is like send with a timeout for the whole answer.
func (tb *testbed) sendWithin(timeout time.Duration, box, prompt string, tokens int, headers ...string) (reply, error) {
	return tb.sendFor(timeout, box, prompt, tokens, nil, headers)
}

func (tb *testbed) sendFor(timeout time.Duration, box, prompt string, tokens int, first func(), headers []string) (reply, error) {
	body := fmt.Sprintf(`{"model":"m1","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, prompt, tokens)
	req, err := http.NewRequest("POST", "http://"+tb.fleet.Boxes[box].Caller+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+accessKey)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: tb.answers.DialContext}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	return readReply(resp, first)
}

func readReply(resp *http.Response, first func()) (reply, error) {
	r := reply{status: resp.StatusCode}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok || strings.HasPrefix(line, "{") {
			if !ok {
				data = line
			}
			r.addEvent(data)
			if first != nil && r.text != "" {
				first()
				first = nil
			}
		}
		if err == io.EOF && r.status == http.StatusOK && r.text != "" && !r.complete {
			return r, errors.New("the body of an incomplete answer ended without an error")
		}
		if err == io.EOF {
			return r, nil
		}
		if err != nil {
			return r, err
		}
	}
}

func (r *reply) addEvent(data string) {
	if data == "[DONE]" {
		r.complete = true
		return
	}
	var e struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Havenwinch *struct {
			Billed int `json:"billed"`
		} `json:"havenwinch"`
		Error structs.Error `json:"error"`
	}
	if json.Unmarshal([]byte(data), &e) != nil {
		return
	}
	for _, c := range e.Choices {
		r.text += c.Delta.Content
	}
	if e.Havenwinch != nil {
		r.billed = e.Havenwinch.Billed
	}
	r.err = e.Error
}

func (tb *testbed) mustSend(box, prompt string, tokens int, headers ...string) reply {
	tb.t.Helper()
	r, err := tb.send(box, prompt, tokens, nil, headers...)
	if err != nil || r.status != 200 || !r.complete {
		tb.t.Fatalf("box %s: %+v %v\n%s", box, r, err, tb.fleet.Boxes[box].Log())
	}
	return r
}

// countWords counts the words of a complete answer and checks their order.
func countWords(t *testing.T, text string) int {
	t.Helper()
	number := regexp.MustCompile(`^w(\d+)-`)
	list := strings.Fields(text)
	for i, w := range list {
		m := number.FindStringSubmatch(w)
		if m == nil || m[1] != strconv.Itoa(i+1) {
			t.Errorf("word %d of the answer is out of order: %q", i+1, w)
		}
	}
	return len(list)
}

// engineTotals returns how many runs the engines have started and how many tokens they have
// generated.
func (tb *testbed) engineTotals() (runs int, tokens uint64) {
	for _, e := range tb.engines {
		_, n, made := e.Counts()
		runs += n
		tokens += made
	}
	return runs, tokens
}

// leader waits until there is a leader and returns its name.
func (tb *testbed) leader() string {
	tb.t.Helper()
	name := ""
	tb.waitFor("there is a leader", func() bool {
		name = tb.findLeader("")
		return name != ""
	})
	return name
}

// findLeader returns the name of a leader other than the given box, or "".
func (tb *testbed) findLeader(not string) string {
	for _, name := range tb.fleet.Names() {
		if name == not {
			continue
		}
		if s, err := tb.status(name); err == nil && s.Control != nil && s.Control.Role == "leader" {
			return name
		}
	}
	return ""
}

func (tb *testbed) status(name string) (structs.BoxStatus, error) {
	var s structs.BoxStatus
	req, err := http.NewRequest("GET", "http://"+tb.fleet.Boxes[name].Admin+"/admin/v1/status", nil)
	if err != nil {
		return s, err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

func (tb *testbed) noError(err error) {
	tb.t.Helper()
	if err != nil {
		tb.t.Fatal(err)
	}
}
