// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command fleet measures a small fleet of real processes with the default
// timings: what an idle daemon costs, how long a change takes until it is in
// force everywhere, and how long recovery takes.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/standin/engine"
	"havenwinch.dev/havenwinch/standin/platform"
	"havenwinch.dev/havenwinch/structs"
	"havenwinch.dev/havenwinch/tests/fleet"
)

const (
	idleTime    = 20 * time.Second
	clockTick   = 100.0
	rounds      = 20
	fewChanges  = 500
	manyChanges = 50_000
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

// bench is the fleet and its next command number.
type bench struct {
	fleet  *fleet.Fleet
	number uint64
}

func run() error {
	folder, err := os.MkdirTemp("", "havenwinch-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	idleOnly := len(os.Args) > 1 && os.Args[1] == "idle"
	list := httptest.NewServer(targets().Handler())
	defer list.Close()
	specs := []fleet.BoxSpec{
		{Name: "box-a", DataCentre: "dc-a", Roles: "entry,keeper,control"},
		{Name: "box-b", DataCentre: "dc-b", Roles: "entry,keeper,control"},
		{Name: "box-c", DataCentre: "dc-c", Roles: "entry,keeper,control"},
		{Name: "entry-a", DataCentre: "dc-a", Roles: "entry"},
		{Name: "entry-b", DataCentre: "dc-b", Roles: "entry"},
	}
	f, err := fleet.New("bin", folder, list.URL, specs)
	if err != nil {
		return err
	}
	defer f.Close()
	b := &bench{fleet: f}
	if err := f.StartAll(); err != nil {
		return err
	}
	if err := b.command("create organisation north share 1"); err != nil {
		return err
	}
	if err := f.WaitReady(); err != nil {
		return err
	}
	if idleOnly {
		return b.idle()
	}
	for _, step := range []func() error{b.idle, b.change, b.failover, func() error { return b.restart(fewChanges) }, func() error { return b.restart(manyChanges) }} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// targetsEach is how many engines a data centre has at the target of two years.
const targetsEach = 132

// targets lists so many engines for the first data centre, which all answer.
func targets() *platform.Platform {
	p := platform.New(1)
	for i := range targetsEach {
		e := engine.New(engine.Options{Slots: 8, PrefillPerSecond: 1000, CacheBlocks: 64})
		server := httptest.NewServer(e.Handler())
		p.Put(platform.Target{Name: fmt.Sprint("engine-", i), Address: server.Listener.Addr().String(), Kind: "engine", Models: []string{"m1"}, DataCentre: "dc-a", State: "live"})
	}
	return p
}

func (b *bench) command(text string) error {
	b.number++
	deadline := time.Now().Add(time.Minute)
	for try := 0; ; try++ {
		err := b.post(b.fleet.Names()[(int(b.number)+try)%3], text)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

func (b *bench) post(box, text string) error {
	body, err := json.Marshal(structs.Command{Number: b.number, Text: text})
	if err != nil {
		return err
	}
	req, err := http.NewRequest("POST", "http://"+b.fleet.Boxes[box].Admin+"/admin/v1/commands", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

func (b *bench) status(box string) (structs.BoxStatus, error) {
	var s structs.BoxStatus
	req, err := http.NewRequest("GET", "http://"+b.fleet.Boxes[box].Admin+"/admin/v1/status", nil)
	if err != nil {
		return s, err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
	resp, err := client.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// idle prints what each daemon costs while nothing happens.
func (b *bench) idle() error {
	time.Sleep(2 * time.Second)
	before := map[string]float64{}
	bytes := map[string]int64{}
	for _, name := range b.fleet.Names() {
		before[name] = cpu(b.fleet.Pid(name))
		bytes[name] = b.fleet.Network.Bytes(b.fleet.Boxes[name].IP)
	}
	time.Sleep(idleTime)
	fmt.Println("| idle box | roles | role in control | % of a core | resident MB | bytes/s in and out |")
	fmt.Println("|---|---|---|---:|---:|---:|")
	for _, name := range b.fleet.Names() {
		s, err := b.status(name)
		if err != nil {
			return err
		}
		role := "-"
		if s.Control != nil {
			role = s.Control.Role
		}
		used := (cpu(b.fleet.Pid(name)) - before[name]) / idleTime.Seconds()
		rate := float64(b.fleet.Network.Bytes(b.fleet.Boxes[name].IP)-bytes[name]) / idleTime.Seconds()
		fmt.Printf("| %s | %s | %s | %.2f | %.0f | %.0f |\n", name, b.fleet.Boxes[name].Spec.Roles, role, 100*used, resident(b.fleet.Pid(name)), rate)
	}
	return nil
}

// cpu returns the seconds of processor time that a process has used.
func cpu(pid int) float64 {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTick
}

// resident returns the resident memory of a process in MB.
func resident(pid int) float64 {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// change prints the time from sending a command until every box has it.
func (b *bench) change() error {
	var worst, sum time.Duration
	for i := range rounds {
		begin := time.Now()
		if err := b.command(fmt.Sprintf("rollout target-slots = %d", 1+i)); err != nil {
			return err
		}
		s, err := b.status("box-a")
		if err != nil {
			return err
		}
		revision := s.Revision
		for _, name := range b.fleet.Names() {
			if err := b.await(name, revision); err != nil {
				return err
			}
		}
		took := time.Since(begin)
		worst, sum = max(worst, took), sum+took
	}
	fmt.Printf("\nchange in force on 5 boxes: mean %d ms, worst %d ms of %d\n", (sum / rounds).Milliseconds(), worst.Milliseconds(), rounds)
	return nil
}

func (b *bench) await(name string, revision uint64) error {
	deadline := time.Now().Add(time.Minute)
	for time.Now().Before(deadline) {
		if s, err := b.status(name); err == nil && s.Revision >= revision {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return errors.Errorf("box %s did not reach revision %d", name, revision)
}

// failover prints the time from killing the leader to the next accepted
// command.
func (b *bench) failover() error {
	var times []string
	for range 5 {
		leader := b.leader()
		if err := b.fleet.Kill(leader); err != nil {
			return err
		}
		begin := time.Now()
		if err := b.command("rollout target-slots = 9"); err != nil {
			return err
		}
		times = append(times, fmt.Sprintf("%.1f s", time.Since(begin).Seconds()))
		if err := b.fleet.Start(leader); err != nil {
			return err
		}
		if err := b.fleet.WaitFor(leader, "/readyz"); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	fmt.Printf("kill of the leader to the next accepted command: %s\n", strings.Join(times, ", "))
	return nil
}

func (b *bench) leader() string {
	for {
		for _, name := range b.fleet.Names() {
			if s, err := b.status(name); err == nil && s.Control != nil && s.Control.Role == "leader" {
				return name
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// restart prints the time from a box's start to its readiness at the current
// revision, after so many changes.
func (b *bench) restart(changes int) error {
	done := make(chan error, 64)
	limit := make(chan struct{}, 64)
	leader := b.leader()
	for i := range changes {
		limit <- struct{}{}
		b.number++
		n := b.number
		go func() {
			defer func() { <-limit }()
			one := &bench{fleet: b.fleet, number: n}
			if err := one.post(leader, fmt.Sprintf("rollout target-slots = %d", 1+i%100)); err != nil {
				select {
				case done <- err:
				default:
				}
			}
		}()
	}
	for range cap(limit) {
		limit <- struct{}{}
	}
	select {
	case err := <-done:
		return errors.Wrap(err, "a change failed")
	default:
	}
	s, err := b.status(leader)
	if err != nil {
		return err
	}
	for _, name := range []string{"box-c", "entry-b"} {
		if err := b.fleet.Kill(name); err != nil {
			return err
		}
		begin := time.Now()
		if err := b.fleet.Start(name); err != nil {
			return err
		}
		if err := b.fleet.WaitFor(name, "/readyz"); err != nil {
			return err
		}
		if err := b.await(name, s.Revision); err != nil {
			return err
		}
		fmt.Printf("start of %s to ready at revision %d: %d ms\n", name, s.Revision, time.Since(begin).Milliseconds())
	}
	return nil
}
