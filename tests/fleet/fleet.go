// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fleet starts a small fleet as separate processes on loopback, for
// whole-path tests and for the tour of make run.
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

// OperatorKey is the key of the operator that every fleet has.
const OperatorKey = "operator-key-of-a-test-fleet"

const (
	startLimit  = 30 * time.Second
	pollPause   = 20 * time.Millisecond
	secretText  = "a secret for fleets on loopback only\n"
	filePrivate = 0o600
)

// BoxSpec describes one box.
type BoxSpec struct {
	Name       string
	DataCentre string
	Roles      string
	// Flags are added to the command line.
	Flags []string
	// Bin is the folder of the box's daemon; empty means that of the fleet.
	Bin string
}

// Box is one box of a fleet, and its process while it runs.
type Box struct {
	Spec    BoxSpec
	Caller  string
	Admin   string
	Between string
	// IP is the box's own address on loopback; Via is its relay.
	IP     string
	Via    string
	Folder string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	log  bytes.Buffer
}

// Fleet is a set of boxes that know each other.
type Fleet struct {
	Bin      string
	Folder   string
	Platform string
	Boxes    map[string]*Box
	Network  *Network
	order    []string
}

// New lays a fleet out in a folder; nothing runs yet.
func New(bin, folder, platform string, specs []BoxSpec) (*Fleet, error) {
	f := &Fleet{Bin: bin, Folder: folder, Platform: platform, Boxes: map[string]*Box{}, Network: NewNetwork()}
	if err := os.WriteFile(f.secretFile(), []byte(secretText), filePrivate); err != nil {
		return nil, errors.WithStack(err)
	}
	operators := "tester " + digest.Of([]byte(OperatorKey)) + "\nsecond " + digest.Of([]byte(OperatorKey+"-2")) + "\n"
	if err := os.WriteFile(f.operatorsFile(), []byte(operators), filePrivate); err != nil {
		return nil, errors.WithStack(err)
	}
	fleetNumber := fleets.Add(1)
	for i, spec := range specs {
		ip := address(int(fleetNumber%nets), i)
		if err := f.add(spec, ip); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Each fleet has addresses of its own on the loopback net, told apart by the
// process and a count, so that fleets that run at once don't meet.
const (
	firstNet = 10
	nets     = 200
	firstIP  = 11
)

var fleets atomic.Int64

func address(fleetNumber, box int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstNet+os.Getpid()%nets, fleetNumber, firstIP+box)
}

// Addresses returns those that the first boxes of any fleet of this process
// can have, for certificates.
func Addresses(boxes int) []string {
	var list []string
	for n := range nets {
		for i := range boxes {
			list = append(list, address(n, i))
		}
	}
	return list
}

func (f *Fleet) add(spec BoxSpec, ip string) error {
	// The relay listens before free ports are looked for, since it would be
	// given one of those that were found and closed again.
	relay, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return errors.WithStack(err)
	}
	addresses, err := freeAddresses(ip, 3)
	if err != nil {
		return err
	}
	b := &Box{Spec: spec, Caller: addresses[0], Admin: addresses[1], Between: addresses[2], IP: ip, Folder: filepath.Join(f.Folder, spec.Name)}
	b.Via = relay.Addr().String()
	go f.Network.Serve(relay, ip, b.Between)
	f.Boxes[spec.Name] = b
	f.order = append(f.order, spec.Name)
	return nil
}

// freeAddresses asks the kernel for ports that are free now. All are open at
// once, so that they differ.
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

func (f *Fleet) secretFile() string    { return filepath.Join(f.Folder, "secret") }
func (f *Fleet) operatorsFile() string { return filepath.Join(f.Folder, "operators") }

func (f *Fleet) controlBoxes() string {
	var list []string
	for _, name := range f.order {
		if b := f.Boxes[name]; strings.Contains(b.Spec.Roles, "control") {
			list = append(list, name+"="+b.Via)
		}
	}
	return strings.Join(list, ",")
}

// Admins returns the admin addresses of all boxes, parted by commas.
func (f *Fleet) Admins() string {
	var list []string
	for _, name := range f.order {
		list = append(list, f.Boxes[name].Admin)
	}
	return strings.Join(list, ",")
}

// Args returns the command line of a box.
func (f *Fleet) Args(b *Box) []string {
	args := []string{
		"--box", b.Spec.Name, "--data-centre", b.Spec.DataCentre, "--roles", b.Spec.Roles,
		"--caller-listen", b.Caller, "--admin-listen", b.Admin, "--between-listen", b.Between, "--between-address", b.Via,
		"--control-boxes", f.controlBoxes(), "--secret-file", f.secretFile(), "--operators-file", f.operatorsFile(),
		"--platform-url", f.Platform,
	}
	if strings.Contains(b.Spec.Roles, "keeper") || strings.Contains(b.Spec.Roles, "control") {
		args = append(args, "--data-dir", b.Folder)
	}
	return append(args, b.Spec.Flags...)
}

// Start starts one box.
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

// lockedWriter gathers a box's log.
type lockedWriter struct{ b *Box }

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	return w.b.log.Write(p)
}

// Log returns what a box has logged.
func (b *Box) Log() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.log.String()
}

// StartAll starts all boxes and waits until they are alive.
func (f *Fleet) StartAll() error {
	for _, name := range f.order {
		if err := f.Start(name); err != nil {
			return err
		}
	}
	for _, name := range f.order {
		if err := f.Await(name, "/healthz"); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until every box is ready for callers.
func (f *Fleet) AwaitReady() error {
	for _, name := range f.order {
		if err := f.Await(name, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// Await waits until a path of a box's admin listener answers with 200.
func (f *Fleet) Await(name, path string) error {
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
			return errors.Errorf("box %s has ended:\n%s", name, b.Log())
		case <-time.After(pollPause):
		}
	}
	return errors.Errorf("box %s did not answer %s in time:\n%s", name, path, b.Log())
}

func (b *Box) exited() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done
}

// Signal sends a signal to a box's process.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	b := f.Boxes[name]
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		return nil
	}
	return errors.WithStack(b.cmd.Process.Signal(s))
}

// Pid returns a box's process number.
func (f *Fleet) Pid(name string) int {
	b := f.Boxes[name]
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cmd.Process.Pid
}

// Kill ends a box at once.
func (f *Fleet) Kill(name string) error {
	if err := f.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	<-f.Boxes[name].exited()
	return nil
}

// Stop ends a box as planned and returns the error of its exit.
func (f *Fleet) Stop(name string) error {
	if err := f.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	return f.Exit(name)
}

// Exit waits for a box's process and returns the error of its exit.
func (f *Fleet) Exit(name string) error {
	b := f.Boxes[name]
	<-b.exited()
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.WithStack(b.err)
}

// Close kills whatever still runs.
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

// Tool runs the command-line tool against the fleet and returns what it
// printed.
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

// FirstEntry returns the first box with the role entry.
func (f *Fleet) FirstEntry() string {
	for _, name := range f.order {
		if strings.Contains(f.Boxes[name].Spec.Roles, "entry") {
			return name
		}
	}
	return ""
}

// Names returns the boxes' names in their order.
func (f *Fleet) Names() []string { return append([]string(nil), f.order...) }

// String describes where the fleet listens.
func (f *Fleet) String() string {
	var b strings.Builder
	for _, name := range f.order {
		box := f.Boxes[name]
		fmt.Fprintf(&b, "%-10s %-6s %-22s callers %s  admin %s\n", name, box.Spec.DataCentre, box.Spec.Roles, box.Caller, box.Admin)
	}
	return b.String()
}
