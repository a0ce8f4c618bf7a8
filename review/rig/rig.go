// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rig starts a small deployment of havenwinch as separate processes, with the
// commands of the deploy file, and has stand-ins for its clients, servers and operator.
package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports that the processes of a deployment use on the loopback addresses of their machines.
const (
	betweenPort = 7340
	callerPort  = 8227
	readyPort   = 8220
	controlPort = 8229
	serverPort  = 8080
)

// Record is the record of a run: what was sent, answered and run, with the time in seconds.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// NewRecord returns a record in a file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{start: time.Now(), file: f}, err
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// Box is a machine of the deployment with its process.
type Box struct {
	Name, Role, IP, Zone string

	dir string
	// disk counts the disks that the box has had.
	disk int
	cmd  *exec.Cmd
	log  *os.File
	// started is set after the first start.
	started bool
	done    chan struct{}
}

// Deployment is a set of boxes.
type Deployment struct {
	Root, Dir string
	Record    *Record
	Control   []*Box
	Entry     []*Box

	subnet string
	zones  []string
	nextIP int
	// boxes are all boxes, those that are gone included.
	boxes []*Box
}

// New prepares a deployment of the given numbers of boxes in three zones, and starts none. It must be
// run from the root of the repository.
func New(record *Record, controls, entries int) (*Deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "havenwinch-review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Root: root, Dir: dir, Record: record, zones: []string{"sala-a", "sala-b", "sala-c"}, nextIP: 100}
	if d.subnet, err = freeSubnet(); err != nil {
		return nil, err
	}
	for i := range controls {
		d.Control = append(d.Control, d.box(fmt.Sprintf("core-%d", i+1), "control", 10+i, i))
	}
	for i := range entries {
		d.Entry = append(d.Entry, d.box(fmt.Sprintf("edge-%d", i+1), "entry", 30+i, i))
	}
	return d, nil
}

func (d *Deployment) box(name, role string, host, zone int) *Box {
	b := &Box{Name: name, Role: role, IP: fmt.Sprintf("%s%d", d.subnet, host), Zone: d.zones[zone%len(d.zones)], dir: filepath.Join(d.Dir, name)}
	d.boxes = append(d.boxes, b)
	return b
}

// Spare returns a machine of the core that is not there at the first start.
func (d *Deployment) Spare() *Box {
	b := d.box(fmt.Sprintf("core-%d", len(d.Control)+1), "control", 10+len(d.Control), len(d.Control)-1)
	b.started = true
	return b
}

// freeSubnet returns the start of the addresses of a loopback subnet whose ports are free.
func freeSubnet() (string, error) {
	for range 100 {
		subnet := fmt.Sprintf("127.%d.%d.", 20+rand.Intn(200), 1+rand.Intn(250))
		l, err := net.Listen("tcp4", fmt.Sprintf("%s10:%d", subnet, controlPort))
		if err == nil {
			_ = l.Close()
			return subnet, nil
		}
	}
	return "", fmt.Errorf("no loopback subnet has free ports")
}

// settings returns the settings file of a box, filled in as deploy/settings.env says.
func (d *Deployment) settings(b *Box) string {
	var seeds []string
	for _, c := range d.Control[:min(3, len(d.Control))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.IP, controlPort))
	}
	values := []string{
		"BOX=" + b.Name, "DATA_CENTRE=" + b.Zone, "DATA_CENTRES=" + strings.Join(d.zones, ","), "IP=" + b.IP,
		fmt.Sprintf("BETWEEN_PORT=%d,%d", betweenPort, betweenPort+15), "SEEDS=" + strings.Join(seeds, ","),
		fmt.Sprintf("METRICS_LISTEN=%s:9464", b.IP), fmt.Sprintf("FIRST_START=%v", !b.started), "TOLERATED=1", "MEMORY_MB=284", "MAX_DESCRIPTORS=4200",
		"LINK_MBPS=1000.0", "RETRY_RATIO=0.2", "RETRY_STOCK=52", "RETRY_WINDOW=10s", "STOP_LIMIT=8s", "SECRET_FILE=deploy/between.secret",
	}
	if b.Role == "control" {
		values = append(values, fmt.Sprintf("REGISTRY_LISTEN=%s:%d", b.IP, controlPort), "DATA_DIR="+filepath.Join(b.dir, fmt.Sprint("data-", b.disk)))
	} else {
		values = append(values, fmt.Sprintf("CALLER_LISTEN=%s:%d", b.IP, callerPort), fmt.Sprintf("READY_LISTEN=%s:%d", b.IP, readyPort))
	}
	return "HAVENWINCH_" + strings.Join(values, "\nHAVENWINCH_") + "\n"
}

// Start starts the process of a box.
func (d *Deployment) Start(b *Box) error {
	if err := os.MkdirAll(b.dir, 0o700); err != nil {
		return err
	}
	file := filepath.Join(b.dir, "settings.env")
	if err := os.WriteFile(file, []byte(d.settings(b)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(b.dir, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(d.Root, "target", "havenwinchd"), "forward", "--role", b.Role)
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.Root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HAVENWINCH_NODE_FILE=" + file}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	b.cmd, b.log, b.started, b.done = cmd, log, true, make(chan struct{})
	done := b.done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	d.Record.Add("start %s at %s", b.Name, b.IP)
	return nil
}

// StartAll starts all boxes.
func (d *Deployment) StartAll() error {
	for _, b := range append(append([]*Box(nil), d.Control...), d.Entry...) {
		if err := d.Start(b); err != nil {
			return err
		}
	}
	return nil
}

// LoseDisk gives a box whose process has ended an empty disk.
func (d *Deployment) LoseDisk(b *Box) {
	d.Record.Add("%s loses its disk", b.Name)
	b.disk++
}

// Signal sends a signal to the process of a box.
func (d *Deployment) Signal(b *Box, s syscall.Signal) {
	d.Record.Add("signal %s to %s", s, b.Name)
	_ = b.cmd.Process.Signal(s)
}

// Await waits until the process of a box has ended.
func (b *Box) Await() { <-b.done }

// Close ends all processes and removes the folder, unless KEEP is set.
func (d *Deployment) Close() {
	for _, b := range d.boxes {
		if b.cmd != nil {
			_ = b.cmd.Process.Signal(syscall.SIGCONT)
			_ = b.cmd.Process.Kill()
			<-b.done
			_ = b.log.Close()
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", d.Dir)
		return
	}
	_ = os.RemoveAll(d.Dir)
}

// CallerAddress is where clients reach an entry box.
func CallerAddress(b *Box) string { return fmt.Sprintf("%s:%d", b.IP, callerPort) }

// AwaitReady waits until an entry box says that it is ready.
func (d *Deployment) AwaitReady(b *Box, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", b.IP, readyPort))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			d.Record.Add("%s is ready", b.Name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v", b.Name, limit)
}

// Call sends a request to a control box, and returns its status, 0 without an answer, and the body.
func Call(b *Box, method, path string, body []byte, limit time.Duration) (int, []byte) {
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", b.IP, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// CallAny sends a request to one control box after the other until one acknowledges it.
func (d *Deployment) CallAny(method, path string, body []byte, limit time.Duration) error {
	end := time.Now().Add(limit)
	for n := 0; time.Now().Before(end); n++ {
		status, _ := Call(d.Control[n%len(d.Control)], method, path, body, 4*time.Second)
		if status/100 == 2 {
			return nil
		}
		if status/100 == 4 {
			return fmt.Errorf("%s %s: %d", method, path, status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s %s was not acknowledged within %v", method, path, limit)
}

// PutConfiguration sends a configuration until it is acknowledged.
func (d *Deployment) PutConfiguration(c map[string]any) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err := d.CallAny(http.MethodPut, "/api/configuration", body, 20*time.Second); err != nil {
		return err
	}
	d.Record.Add("configuration %v acknowledged", c["version"])
	return nil
}

// NewAddress returns an address for a server.
func (d *Deployment) NewAddress() string {
	d.nextIP++
	return fmt.Sprintf("%s%d:%d", d.subnet, d.nextIP, serverPort)
}

// Zone returns the name of a zone.
func (d *Deployment) Zone(n int) string { return d.zones[n%len(d.zones)] }
