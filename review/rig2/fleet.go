// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rig2 runs the cases of the second review: a small deployment of the project's own
// processes on loopback addresses, with stand-ins for servers, clients and the operator that
// follow the users' pages.
package rig2

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Fleet is a small deployment.
type Fleet struct {
	Record   *Record
	Controls []*Box
	Entries  []*Box

	root, dir string
	subnet    string
	// ports are the same on all machines.
	between, caller, ready, registry int
	nextServer                       int
	mu                               sync.Mutex
}

// Box is one machine with its process.
type Box struct {
	Name, Zone, IP, Role string

	fleet *Fleet
	cmd   *exec.Cmd
	done  chan struct{}
}

// zones are the zones of the deployment; box i of a class is in zone i.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// NewFleet prepares a deployment with three control boxes and the given number of entry boxes, and
// starts nothing.
func NewFleet(r *Record, entries int) (*Fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "havenwinch-review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: r, root: root, dir: dir, subnet: fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+time.Now().Nanosecond()/1000%250)}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	f.between, f.caller, f.ready, f.registry = ports[0], ports[1], ports[2], ports[3]
	for i := range 3 {
		f.Controls = append(f.Controls, &Box{fleet: f, Name: fmt.Sprintf("core-%d", i+1), Zone: zones[i], IP: fmt.Sprintf("%s.%d", f.subnet, 11+i), Role: "control"})
	}
	for i := range entries {
		f.Entries = append(f.Entries, &Box{fleet: f, Name: fmt.Sprintf("edge-%d", i+1), Zone: zones[i%len(zones)], IP: fmt.Sprintf("%s.%d", f.subnet, 31+i), Role: "entry"})
	}
	return f, nil
}

// freePorts returns ports that are free on loopback.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// ServerAddress returns a free address for a server.
func (f *Fleet) ServerAddress() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextServer++
	return fmt.Sprintf("%s.%d:%d", f.subnet, 100+f.nextServer, f.caller)
}

// Registries returns the addresses of the control boxes for servers and operators.
func (f *Fleet) Registries() []string {
	var list []string
	for _, b := range f.Controls {
		list = append(list, fmt.Sprintf("%s:%d", b.IP, f.registry))
	}
	return list
}

// CallerAddress returns the address of an entry box for clients.
func (b *Box) CallerAddress() string { return fmt.Sprintf("%s:%d", b.IP, b.fleet.caller) }

// ReadyAddress returns the address of an entry box for the platform's question whether it is ready.
func (b *Box) ReadyAddress() string { return fmt.Sprintf("%s:%d", b.IP, b.fleet.ready) }

// settings returns the settings file of a box, in the form of deploy/settings.env.
func (b *Box) settings(first bool) string {
	f := b.fleet
	var seeds []string
	for _, c := range f.Controls {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.IP, f.registry))
	}
	lines := []string{
		"HAVENWINCH_BOX=" + b.Name,
		"HAVENWINCH_DATA_CENTRE=" + b.Zone,
		"HAVENWINCH_DATA_CENTRES=" + strings.Join(zones, ","),
		"HAVENWINCH_IP=" + b.IP,
		fmt.Sprintf("HAVENWINCH_BETWEEN_PORT=%d", f.between),
		"HAVENWINCH_SEEDS=" + strings.Join(seeds, ","),
		fmt.Sprintf("HAVENWINCH_FIRST_START=%v", first),
		"HAVENWINCH_TOLERATED=1", "HAVENWINCH_MEMORY_MB=284", "HAVENWINCH_MAX_DESCRIPTORS=4200", "HAVENWINCH_LINK_MBPS=1000",
		"HAVENWINCH_RETRY_RATIO=0.2", "HAVENWINCH_RETRY_STOCK=52", "HAVENWINCH_RETRY_WINDOW=10s", "HAVENWINCH_STOP_LIMIT=8s",
		"HAVENWINCH_SECRET_FILE=deploy/between.secret",
	}
	if b.Role == "entry" {
		lines = append(lines, "HAVENWINCH_CALLER_LISTEN="+b.CallerAddress(), "HAVENWINCH_READY_LISTEN="+b.ReadyAddress())
	} else {
		lines = append(lines, fmt.Sprintf("HAVENWINCH_REGISTRY_LISTEN=%s:%d", b.IP, f.registry), "HAVENWINCH_DATA_DIR="+filepath.Join(f.dir, b.Name))
	}
	return strings.Join(lines, "\n") + "\n"
}

// Start starts the process of a box with the command of the deploy file.
func (b *Box) Start(first bool) error {
	f := b.fleet
	path := filepath.Join(f.dir, b.Name+".env")
	if err := os.WriteFile(path, []byte(b.settings(first)), 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(f.dir, b.Name), 0o700); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, b.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(f.root, "target/havenwinchd"), "forward", "--role", b.Role)
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HAVENWINCH_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	b.cmd, b.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	f.Record.Printf("start %s", b.Name)
	return nil
}

// Signal sends a signal to the process of a box.
func (b *Box) Signal(s syscall.Signal) {
	b.fleet.Record.Printf("signal %s: %s", b.Name, s)
	_ = b.cmd.Process.Signal(s)
}

// Kill kills the process of a box and waits for its end.
func (b *Box) Kill() {
	b.Signal(syscall.SIGKILL)
	<-b.done
}

// Restart stops a box as the platform does, by SIGTERM and after the grace time by SIGKILL, and starts it
// again.
func (b *Box) Restart(grace time.Duration) error {
	b.Signal(syscall.SIGTERM)
	select {
	case <-b.done:
	case <-time.After(grace):
		b.Kill()
	}
	b.fleet.Record.Printf("%s has ended", b.Name)
	return b.Start(false)
}

// StartAll starts all boxes.
func (f *Fleet) StartAll(first bool) error {
	for _, b := range append(append([]*Box(nil), f.Controls...), f.Entries...) {
		if err := b.Start(first); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes and removes the temporary folder. With KEEP=1 it keeps the folder.
func (f *Fleet) Close() {
	for _, b := range append(append([]*Box(nil), f.Controls...), f.Entries...) {
		if b.cmd != nil {
			_ = b.cmd.Process.Signal(syscall.SIGKILL)
			<-b.done
		}
	}
	if os.Getenv("KEEP") == "1" {
		fmt.Println("kept", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// Leader returns the control box that was the last to say in its log that it leads, nil if none has.
func (f *Fleet) Leader() *Box {
	var leader *Box
	last := ""
	for _, b := range f.Controls {
		data, err := os.ReadFile(filepath.Join(f.dir, b.Name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, `"msg":"leads the control group"`) && line > last {
				leader, last = b, line
			}
		}
	}
	return leader
}
