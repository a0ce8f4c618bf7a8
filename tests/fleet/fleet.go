// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fleet runs a small fleet of boxes as separate processes on loopback, for
// end-to-end tests and for the tour of make run.
package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/modules/digest"
)

// OperatorKey is the key of an operator that exists in every fleet.
const OperatorKey = "operator-key-of-a-test-fleet"

const (
	startLimit   = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	secretText   = "a secret for fleets on loopback only\n"
	privateMode  = 0o600
)

// BoxSpec is the configuration of a box.
type BoxSpec struct {
	Name       string
	DataCentre string
	Roles      string
	// Flags are appended to the command line.
	Flags []string
	// Bin is the directory of the daemon that the box runs; empty means Fleet.Bin.
	Bin string
}

// Box is a box of a fleet with its process, which may be running or not.
type Box struct {
	Spec    BoxSpec
	Caller  string
	Admin   string
	Between string
	// IP is the loopback address of the box; Relay is the address of the relay through
	// which other boxes connect to Between.
	IP    string
	Relay string
	Dir   string

	mu sync.Mutex
	// cmd is the process started last; nil before the first start.
	cmd *exec.Cmd
	// done is closed when cmd has exited; err is its exit error from then on.
	done chan struct{}
	err  error
	log  bytes.Buffer
}

// Fleet is a set of boxes that are configured to form one system.
type Fleet struct {
	Bin      string
	Dir      string
	Platform string
	Boxes    map[string]*Box
	Network  *Network
	order    []string
}

// New prepares a fleet in an existing directory and starts its relays, but no box.
func New(bin, dir, platform string, specs []BoxSpec) (*Fleet, error) {
	f := &Fleet{Bin: bin, Dir: dir, Platform: platform, Boxes: map[string]*Box{}, Network: NewNetwork()}
	if err := os.WriteFile(f.secretFile(), []byte(secretText), privateMode); err != nil {
		return nil, errors.WithStack(err)
	}
	operators := "tester " + digest.Of([]byte(OperatorKey)) + "\nsecond " + digest.Of([]byte(OperatorKey+"-2")) + "\n"
	if err := os.WriteFile(f.operatorsFile(), []byte(operators), privateMode); err != nil {
		return nil, errors.WithStack(err)
	}
	fleetNumber := fleetCount.Add(1)
	for i, spec := range specs {
		ip := boxAddress(int(fleetNumber%subnetCount), i)
		if err := f.add(spec, ip); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Each fleet has its own loopback subnet, derived from the process id and a counter, so
// that fleets running concurrently do not collide.
const (
	firstSubnet = 10
	subnetCount = 200
	firstIP     = 11
)

var fleetCount atomic.Int64

func boxAddress(fleetNumber, box int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstSubnet+os.Getpid()%subnetCount, fleetNumber, firstIP+box)
}

// Addresses returns all IP addresses that the first boxes of a fleet in this process may
// get, for use in certificates.
func Addresses(boxes int) []string {
	var list []string
	for n := range subnetCount {
		for i := range boxes {
			list = append(list, boxAddress(n, i))
		}
	}
	return list
}

func (f *Fleet) add(spec BoxSpec, ip string) error {
	// The relay has to listen before free ports are determined, since otherwise the kernel
	// could assign it one of the ports that were found and closed again.
	relay, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return errors.WithStack(err)
	}
	addresses, err := freeAddresses(ip, 3)
	if err != nil {
		return err
	}
	b := &Box{Spec: spec, Caller: addresses[0], Admin: addresses[1], Between: addresses[2], IP: ip, Dir: filepath.Join(f.Dir, spec.Name)}
	b.Relay = relay.Addr().String()
	go f.Network.Serve(relay, ip, b.Between)
	f.Boxes[spec.Name] = b
	f.order = append(f.order, spec.Name)
	return nil
}

// freeAddresses returns n addresses with free ports assigned by the kernel. The ports are
// held open together, so that they differ.
func freeAddresses(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, errors.WithStack(err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

func (f *Fleet) secretFile() string    { return filepath.Join(f.Dir, "secret") }
func (f *Fleet) operatorsFile() string { return filepath.Join(f.Dir, "operators") }

func (f *Fleet) controlBoxes() string {
	var list []string
	for _, name := range f.order {
		if b := f.Boxes[name]; strings.Contains(b.Spec.Roles, "control") {
			list = append(list, name+"="+b.Relay)
		}
	}
	return strings.Join(list, ",")
}

// Admins returns the admin addresses of all boxes, separated by commas.
func (f *Fleet) Admins() string {
	var list []string
	for _, name := range f.order {
		list = append(list, f.Boxes[name].Admin)
	}
	return strings.Join(list, ",")
}

// Args returns the command-line arguments for the daemon of a box.
func (f *Fleet) Args(b *Box) []string {
	args := []string{
		"--box", b.Spec.Name, "--data-centre", b.Spec.DataCentre, "--roles", b.Spec.Roles,
		"--caller-listen", b.Caller, "--admin-listen", b.Admin, "--between-listen", b.Between, "--between-address", b.Relay,
		"--control-boxes", f.controlBoxes(), "--secret-file", f.secretFile(), "--operators-file", f.operatorsFile(),
		"--platform-url", f.Platform,
	}
	if strings.Contains(b.Spec.Roles, "keeper") || strings.Contains(b.Spec.Roles, "control") {
		args = append(args, "--data-dir", b.Dir)
	}
	return append(args, b.Spec.Flags...)
}

// Start starts the process of a box, which must not be running. It does not wait until
// the box is ready.
func (f *Fleet) Start(name string) error {
	b := f.Boxes[name]
	b.mu.Lock()
	defer b.mu.Unlock()
	bin := b.Spec.Bin
	if bin == "" {
		bin = f.Bin
	}
	cmd := exec.Command(filepath.Join(bin, "havenwinchd"), f.Args(b)...)
	cmd.Env = []string{"GORACE=atexit_sleep_ms=0"}
	cmd.Stderr = &lockedWriter{b: b}
	if err := cmd.Start(); err != nil {
		return errors.WithStack(err)
	}
	b.cmd, b.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		err := cmd.Wait()
		b.mu.Lock()
		b.err = err
		b.mu.Unlock()
		close(done)
	}(b.done)
	return nil
}

// lockedWriter appends to the log of a box.
type lockedWriter struct{ b *Box }

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	return w.b.log.Write(p)
}

// Log returns everything that the box has logged, over all starts.
func (b *Box) Log() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.log.String()
}

// StartAll starts all boxes and waits until /healthz answers on each.
func (f *Fleet) StartAll() error {
	for _, name := range f.order {
		if err := f.Start(name); err != nil {
			return err
		}
	}
	for _, name := range f.order {
		if err := f.WaitFor(name, "/healthz"); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until /readyz answers with 200 on every box.
func (f *Fleet) WaitReady() error {
	for _, name := range f.order {
		if err := f.WaitFor(name, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// WaitFor waits until the admin listener of a box answers a path with 200. It fails if the
// process exits or after startLimit.
func (f *Fleet) WaitFor(name, path string) error {
	b := f.Boxes[name]
	deadline := time.Now().Add(startLimit)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + b.Admin + path)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-b.exited():
			return errors.Errorf("box %s has exited:\n%s", name, b.Log())
		case <-time.After(pollInterval):
		}
	}
	return errors.Errorf("timed out waiting for box %s to answer %s with 200:\n%s", name, path, b.Log())
}

func (b *Box) exited() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done
}

// Signal sends a signal to the process of a box. It does nothing if the box was never
// started.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	b := f.Boxes[name]
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		return nil
	}
	return errors.WithStack(b.cmd.Process.Signal(s))
}

// Pid returns the process id of a box, which must have been started.
func (f *Fleet) Pid(name string) int {
	b := f.Boxes[name]
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cmd.Process.Pid
}

// Kill sends SIGKILL to a box and waits for its process to exit.
func (f *Fleet) Kill(name string) error {
	if err := f.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	<-f.Boxes[name].exited()
	return nil
}

// Stop shuts a box down gracefully with SIGTERM and returns the exit error of its process.
func (f *Fleet) Stop(name string) error {
	if err := f.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	return f.Exit(name)
}

// Exit waits for the process of a box to exit and returns its exit error.
func (f *Fleet) Exit(name string) error {
	b := f.Boxes[name]
	<-b.exited()
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.WithStack(b.err)
}

// Close kills all processes that are still running, paused ones too.
func (f *Fleet) Close() {
	for _, name := range f.order {
		b := f.Boxes[name]
		if b.exited() != nil {
			_ = f.Signal(name, syscall.SIGCONT)
			_ = f.Signal(name, syscall.SIGKILL)
			<-b.exited()
		}
	}
}

// Tool runs the havenwinch command-line tool against the fleet and returns its combined
// output.
func (f *Fleet) Tool(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(f.Bin, "havenwinch"), args...)
	cmd.Env = []string{
		"HAVENWINCH_ADMIN=" + f.Admins(),
		"HAVENWINCH_OPERATOR_KEY=" + OperatorKey,
		"HAVENWINCH_CALLER=" + f.Boxes[f.FirstEntry()].Caller,
	}
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// FirstEntry returns the name of the first box with the role entry, or "".
func (f *Fleet) FirstEntry() string {
	for _, name := range f.order {
		if strings.Contains(f.Boxes[name].Spec.Roles, "entry") {
			return name
		}
	}
	return ""
}

// Names returns the names of the boxes in the order of their specs.
func (f *Fleet) Names() []string { return append([]string(nil), f.order...) }

// String lists the boxes with their roles and listen addresses, one per line.
func (f *Fleet) String() string {
	var b strings.Builder
	for _, name := range f.order {
		box := f.Boxes[name]
		fmt.Fprintf(&b, "%-10s %-6s %-22s callers %s  admin %s\n", name, box.Spec.DataCentre, box.Spec.Roles, box.Caller, box.Admin)
	}
	return b.String()
}
