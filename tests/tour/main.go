// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command tour demonstrates the main use case on a small fleet of separate processes: an
// operator creates a budget, a caller gets a streamed answer with its bill and then a
// refusal, and the timeline of the request is shown. With --stay the fleet keeps running
// until it is interrupted.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/modules/digest"
	"havenwinch.dev/havenwinch/tests/fleet"
)

const (
	groupKey  = "hw-key-of-the-tour"
	waitLimit = 10 * time.Second
)

// specs are the boxes of the tour: three entry boxes in two data centres and a control box.
var specs = []fleet.BoxSpec{
	{Name: "entry-a1", DataCentre: "dc-a", Roles: "entry,keeper"},
	{Name: "entry-a2", DataCentre: "dc-a", Roles: "entry"},
	{Name: "entry-b1", DataCentre: "dc-b", Roles: "entry,keeper"},
	{Name: "control-1", DataCentre: "dc-a", Roles: "control"},
}

func main() {
	stay := flag.Bool("stay", false, "leave the fleet running until interrupted")
	bin := flag.String("bin", "bin", "directory of the binaries")
	flag.Parse()
	if err := run(*bin, *stay); err != nil {
		fmt.Fprintln(os.Stderr, "tour:", err)
		os.Exit(1)
	}
}

// tour is a running fleet with its simulated platform and targets.
type tour struct {
	fleet     *fleet.Fleet
	simulator *exec.Cmd
}

func run(bin string, stay bool) error {
	dir, err := os.MkdirTemp("", "havenwinch-tour-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	t := &tour{}
	platform, err := t.startSimulator(bin, dir)
	if err != nil {
		return err
	}
	defer t.stopSimulator()
	if t.fleet, err = fleet.New(bin, dir, platform, specs); err != nil {
		return err
	}
	defer t.fleet.Close()
	if err := t.fleet.StartAll(); err != nil {
		return err
	}
	fmt.Print("== the fleet\n", t.fleet)
	if err := t.runSteps(); err != nil {
		return err
	}
	if stay {
		fmt.Printf("\nrunning until interrupted; use:\n  export HAVENWINCH_ADMIN=%s\n  export HAVENWINCH_OPERATOR_KEY=%s\n  export HAVENWINCH_KEY=%s HAVENWINCH_CALLER=%s\n",
			t.fleet.Admins(), fleet.OperatorKey, groupKey, t.fleet.Boxes["entry-a1"].Caller)
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		<-ctx.Done()
	}
	return t.stopBoxes()
}

func (t *tour) startSimulator(bin, dir string) (string, error) {
	file := filepath.Join(dir, "platform")
	t.simulator = exec.Command(filepath.Join(bin, "standin"), "--data-centre", "dc-a", "--data-centre", "dc-b", "--address-file", file)
	if err := t.simulator.Start(); err != nil {
		return "", errors.WithStack(err)
	}
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		data, err := os.ReadFile(file)
		if err == nil && strings.HasPrefix(string(data), "http://") {
			return string(data), nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return "", errors.New("timed out waiting for the simulated platform to start")
}

func (t *tour) stopSimulator() {
	_ = t.simulator.Process.Signal(syscall.SIGTERM)
	_ = t.simulator.Wait()
}

// runSteps runs the steps and prints each command with its output.
func (t *tour) runSteps() error {
	setup := []string{
		"create organisation north share 1",
		"create budget north/main tokens 1000",
		"create group north/texts budget north/main models small-1 services portal",
		"add key " + digest.Of([]byte(groupKey)) + " to north/texts",
	}
	for i, text := range setup {
		if err := t.runStep(true, "command", "--number", fmt.Sprint(i+1), text); err != nil {
			return err
		}
	}
	if err := t.fleet.WaitReady(); err != nil {
		return err
	}
	answer, err := t.runTool("send", "--key", groupKey, "--model", "small-1", "--max-tokens", "12", "--idempotency-key", "tour-1", "Sum up the minutes of Monday.")
	if err != nil {
		return err
	}
	fmt.Printf("\n== havenwinch send (a caller's request)\n%s", answer)
	if err := t.runStep(false, "send", "--key", groupKey, "--model", "small-1", "--max-tokens", "5000", "A request that the budget can't cover."); err == nil {
		return errors.New("the request over budget was not refused")
	}
	if err := t.waitBilled(); err != nil {
		return err
	}
	if err := t.runStep(true, "query", "show groups"); err != nil {
		return err
	}
	if err := t.runStep(true, "query", "show budgets"); err != nil {
		return err
	}
	request := regexp.MustCompile(`request ([0-9a-f-]{36}) billed`).FindStringSubmatch(answer)
	if request == nil {
		return errors.New("the answer has no request id")
	}
	return t.runStep(true, "timeline", "--request", request[1])
}

// waitBilled waits until the keepers have reported the bill to control.
func (t *tour) waitBilled() error {
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		out, err := t.runTool("query", "show groups where requests = 1 and reserved = 0 and waiting = 0")
		if err == nil && strings.Contains(out, "north/texts") {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("timed out waiting for the bill to reach control")
}

func (t *tour) runTool(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return t.fleet.Tool(ctx, args...)
}

func (t *tour) runStep(must bool, args ...string) error {
	out, err := t.runTool(args...)
	fmt.Printf("\n== havenwinch %s\n%s", strings.Join(args, " "), out)
	if err != nil && must {
		return errors.Wrapf(err, "havenwinch %s", args[0])
	}
	return err
}

// stopBoxes shuts all boxes down gracefully, the control box last.
func (t *tour) stopBoxes() error {
	fmt.Print("\n== stopping\n")
	for _, name := range t.fleet.Names() {
		if err := t.fleet.Stop(name); err != nil {
			return errors.Wrapf(err, "box %s", name)
		}
		fmt.Printf("%s stopped\n", name)
	}
	return nil
}
