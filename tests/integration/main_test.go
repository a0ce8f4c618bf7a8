// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package integration proves whole paths on real processes that are killed,
// frozen, cut off and stripped of their disks.
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
	accessKey = "hw-key-of-an-integration-test"
	limit     = 40 * time.Second
	pause     = 20 * time.Millisecond
)

// bin is the folder of the programs, built with the race detector.
var bin string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

func build(m *testing.M) int {
	folder, err := os.MkdirTemp("", "havenwinch-bin-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	const module = "havenwinch.dev/havenwinch/"
	for _, args := range [][]string{
		{"build", "-race", "-o", folder + "/", module + "cmd/havenwinchd"},
		{"build", "-o", folder + "/", module + "cmd/havenwinch", module + "standin", module + "tests/tour"},
	} {
		if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	bin = folder
	return m.Run()
}

// quick makes elections and deaths show soon.
var quick = []string{"--election-timeout", "400ms", "--heartbeat", "60ms", "--sync-interval", "50ms", "--box-timeout", "1500ms"}

// three is a fleet of three data centres with all roles on each box.
func three() []fleet.BoxSpec {
	return []fleet.BoxSpec{
		{Name: "box-a", DataCentre: "dc-a", Roles: "entry,keeper,control", Flags: quick},
		{Name: "box-b", DataCentre: "dc-b", Roles: "entry,keeper,control", Flags: quick},
		{Name: "box-c", DataCentre: "dc-c", Roles: "entry,keeper,control", Flags: quick},
	}
}

// withEntry adds an entry box without a disk.
func withEntry(specs []fleet.BoxSpec) []fleet.BoxSpec {
	return append(specs, fleet.BoxSpec{Name: "entry-a", DataCentre: "dc-a", Roles: "entry", Flags: quick})
}

// bench is a fleet with stand-in engines.
type bench struct {
	t        *testing.T
	fleet    *fleet.Fleet
	platform *platform.Platform
	engines  map[string]*standin.Engine
	number   uint64
	// answers are what callers get.
	answers observe.Recorder
}

var quickEngine = standin.Options{Slots: 8, PrefillPerSecond: 1_000_000, TokenTime: 2 * time.Millisecond, CacheBlocks: 256}

// newBench starts a fleet with one engine in each data centre, and a group
// whose budget holds the named tokens.
func newBench(t *testing.T, specs []fleet.BoxSpec, engine standin.Options, tokens int) *bench {
	t.Helper()
	t.Parallel()
	b := &bench{t: t, platform: platform.New(1), engines: map[string]*standin.Engine{}}
	for _, spec := range specs {
		if b.engines[spec.DataCentre] == nil {
			b.addEngine("engine-"+spec.DataCentre, spec.DataCentre, engine)
		}
	}
	list := b.serve(b.platform.Handler())
	f, err := fleet.New(bin, t.TempDir(), "http://"+list, specs)
	if err != nil {
		t.Fatal(err)
	}
	b.fleet = f
	t.Cleanup(func() {
		f.Close()
		b.reportRaces()
		if err := b.answers.Check(); err != nil {
			t.Error(err)
		}
	})
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	b.setup(tokens)
	if err := f.AwaitReady(); err != nil {
		t.Fatal(err)
	}
	b.inForce(f.Names()...)
	return b
}

// inForce waits until the newest revision is in force on boxes.
func (b *bench) inForce(boxes ...string) {
	b.t.Helper()
	revision, err := strconv.ParseUint(b.query("show revision")[0]["revision"], 10, 64)
	b.ok(err)
	for _, name := range boxes {
		b.eventually("the configuration is in force at "+name, func() bool {
			s, err := b.status(name)
			return err == nil && s.Revision >= revision
		})
	}
}

func (b *bench) reportRaces() {
	for _, name := range b.fleet.Names() {
		if log := b.fleet.Boxes[name].Log(); strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic:") {
			b.t.Errorf("box %s:\n%s", name, log)
		}
	}
}

func (b *bench) addEngine(name, dc string, o standin.Options) {
	e := standin.New(o)
	b.engines[dc] = e
	b.platform.Put(platform.Target{Name: name, Address: b.serve(e.Handler()), Kind: "engine", Models: []string{"m1"}, DataCentre: dc, State: "live"})
}

func (b *bench) serve(h http.Handler) string {
	server := httptest.NewUnstartedServer(h)
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	server.Start()
	b.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (b *bench) setup(tokens int) {
	b.t.Helper()
	b.command("create organisation north share 1")
	b.command(fmt.Sprintf("create budget north/main tokens %d", tokens))
	b.command("create group north/a budget north/main models m1")
	b.command("add key " + digest.Of([]byte(accessKey)) + " to north/a")
}

// command sends a command with the next number until its outcome is known.
func (b *bench) command(text string) structs.CommandResult {
	b.t.Helper()
	b.number++
	return b.commandAs(b.number, text)
}

func (b *bench) commandAs(number uint64, text string) structs.CommandResult {
	b.t.Helper()
	var result structs.CommandResult
	deadline := time.Now().Add(limit)
	for {
		out, err := b.fleet.Tool(context.Background(), "--output", "json", "command", "--number", strconv.FormatUint(number, 10), text)
		if json.Unmarshal([]byte(out), &result) == nil && err == nil {
			return result
		}
		if time.Now().After(deadline) {
			b.t.Fatalf("%s: %v\n%s", text, err, out)
		}
		time.Sleep(pause)
	}
}

// query returns the rows of a query, by column.
func (b *bench) query(text string) []map[string]string {
	b.t.Helper()
	var result structs.QueryResult
	deadline := time.Now().Add(limit)
	for {
		out, err := b.fleet.Tool(context.Background(), "--output", "json", "query", text)
		if err == nil && json.Unmarshal([]byte(out), &result) == nil {
			break
		}
		if time.Now().After(deadline) {
			b.t.Fatalf("%s: %v\n%s", text, err, out)
		}
		time.Sleep(pause)
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

func (b *bench) eventually(what string, met func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(limit)
	for !met() {
		if time.Now().After(deadline) {
			for _, name := range b.fleet.Names() {
				b.t.Logf("%s:\n%s", name, b.fleet.Boxes[name].Log())
			}
			b.t.Fatalf("not met: %s", what)
		}
		time.Sleep(pause)
	}
}

// reply is a caller's view of an answer.
type reply struct {
	status int
	text   string
	billed int
	whole  bool
	err    structs.Error
}

// send sends a streamed request to a box. first is called after the first
// event, if it is set.
func (b *bench) send(box string, prompt string, tokens int, first func(), headers ...string) (reply, error) {
	return b.sendFor(limit, box, prompt, tokens, first, headers)
}

// sendWithin sends a request and waits for its answer for a while only.
func (b *bench) sendWithin(patience time.Duration, box, prompt string, tokens int, headers ...string) (reply, error) {
	return b.sendFor(patience, box, prompt, tokens, nil, headers)
}

func (b *bench) sendFor(patience time.Duration, box, prompt string, tokens int, first func(), headers []string) (reply, error) {
	body := fmt.Sprintf(`{"model":"m1","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, prompt, tokens)
	req, err := http.NewRequest("POST", "http://"+b.fleet.Boxes[box].Caller+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+accessKey)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true, DialContext: b.answers.DialContext}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	return read(resp, first)
}

func read(resp *http.Response, first func()) (reply, error) {
	r := reply{status: resp.StatusCode}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok || strings.HasPrefix(line, "{") {
			if !ok {
				data = line
			}
			r.take(data)
			if first != nil && r.text != "" {
				first()
				first = nil
			}
		}
		if err == io.EOF && r.status == http.StatusOK && r.text != "" && !r.whole {
			return r, errors.New("a part of an answer ended its body well")
		}
		if err == io.EOF {
			return r, nil
		}
		if err != nil {
			return r, err
		}
	}
}

func (r *reply) take(data string) {
	if data == "[DONE]" {
		r.whole = true
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

func (b *bench) mustSend(box, prompt string, tokens int, headers ...string) reply {
	b.t.Helper()
	r, err := b.send(box, prompt, tokens, nil, headers...)
	if err != nil || r.status != 200 || !r.whole {
		b.t.Fatalf("box %s: %+v %v\n%s", box, r, err, b.fleet.Boxes[box].Log())
	}
	return r
}

// words counts the words of a whole answer, and checks that they are in order.
func words(t *testing.T, text string) int {
	t.Helper()
	number := regexp.MustCompile(`^w(\d+)-`)
	list := strings.Fields(text)
	for i, w := range list {
		m := number.FindStringSubmatch(w)
		if m == nil || m[1] != strconv.Itoa(i+1) {
			t.Errorf("word %d of the answer is %q", i+1, w)
		}
	}
	return len(list)
}

// served returns how often all engines began a run, and the tokens they made.
func (b *bench) served() (runs int, tokens uint64) {
	for _, e := range b.engines {
		_, n, made := e.Counts()
		runs += n
		tokens += made
	}
	return runs, tokens
}

// leader returns the control box that leads.
func (b *bench) leader() string {
	b.t.Helper()
	name := ""
	b.eventually("a control box leads", func() bool {
		name = b.findLeader("")
		return name != ""
	})
	return name
}

// findLeader returns a leading box other than one, empty when there is none.
func (b *bench) findLeader(not string) string {
	for _, name := range b.fleet.Names() {
		if name == not {
			continue
		}
		if s, err := b.status(name); err == nil && s.Control != nil && s.Control.Role == "leader" {
			return name
		}
	}
	return ""
}

func (b *bench) status(name string) (structs.BoxStatus, error) {
	var s structs.BoxStatus
	req, err := http.NewRequest("GET", "http://"+b.fleet.Boxes[name].Admin+"/admin/v1/status", nil)
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

func (b *bench) ok(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}
