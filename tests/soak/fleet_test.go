// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// bin is the directory of the daemon's binary, built with the race detector.
var bin string

func TestMain(m *testing.M) {
	if spec := os.Getenv(serverEnv); spec != "" {
		os.Exit(serveAsProcess(spec))
	}
	os.Exit(build(m))
}

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "havenwinch-soak-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	if out, err := exec.Command("go", "build", "-race", "-o", dir+"/", "havenwinch.dev/havenwinch/cmd/havenwinchd").CombinedOutput(); err != nil {
		panic(string(out))
	}
	bin = dir
	return m.Run()
}

// box is a daemon that runs as a process of its own.
type box struct {
	name string
	role string
	ip   string
	// centre is the name of the box's data centre.
	centre string
	dir    string
	env    []string
	// bin is the directory of the binary to run from the next start on.
	bin string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	log  bytes.Buffer
	// started is true after the first start.
	started bool
	// closed is set at the end of the test and prevents further starts.
	closed bool
	// exits describes the exits of the process that were not caused by a signal.
	exits []string
	// downs are the periods in which the process was killed or paused, stops when it was first told to stop.
	downs []span
	stops []time.Time
	// killed and stopping tell whether the running process was.
	killed, stopping bool
}

// fleet is a set of boxes with loopback addresses of its own.
type fleet struct {
	dir   string
	boxes []*box
	ports ports
}

type ports struct{ between, caller, ready, registry, metrics int }

var fleets atomic.Int64

// dataCentres is the number of data centres of a fleet.
const dataCentres = 2

// newFleet configures the boxes of a fleet without starting them. Each fleet has its own
// loopback subnet, derived from the process id and a counter.
func newFleet(t *testing.T, controls, entries int) *fleet {
	t.Helper()
	net := fmt.Sprintf("127.%d.%d.", 60+os.Getpid()%150, 1+fleets.Add(1)%250)
	f := &fleet{dir: t.TempDir(), ports: freePorts(t, net+"10")}
	var seeds []string
	for i := range min(3, controls) {
		seeds = append(seeds, net+strconv.Itoa(10+i))
	}
	secret := filepath.Join(f.dir, "secret")
	if err := os.WriteFile(secret, []byte("a secret for fleets on loopback only"), 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range controls + entries {
		b := &box{name: fmt.Sprintf("control-%d", i+1), role: "control", ip: net + strconv.Itoa(10+i), bin: bin}
		if i >= controls {
			b.name, b.role = fmt.Sprintf("entry-%d", i-controls+1), "entry"
		}
		b.dir = filepath.Join(f.dir, b.name)
		b.centre = "zone-" + string(rune('a'+i%dataCentres))
		b.env = []string{
			"HAVENWINCH_BOX=" + b.name, "HAVENWINCH_DATA_CENTRE=" + b.centre, "HAVENWINCH_IP=" + b.ip,
			"HAVENWINCH_BETWEEN_PORT=" + strconv.Itoa(f.ports.between), "HAVENWINCH_SEEDS=" + strings.Join(seeds, ","),
			"HAVENWINCH_CALLER_LISTEN=" + f.address(b, f.ports.caller), "HAVENWINCH_READY_LISTEN=" + f.address(b, f.ports.ready),
			"HAVENWINCH_REGISTRY_LISTEN=" + f.address(b, f.ports.registry), "HAVENWINCH_METRICS_LISTEN=" + f.address(b, f.ports.metrics),
			"HAVENWINCH_DATA_DIR=" + b.dir, "HAVENWINCH_SECRET_FILE=" + secret, "HAVENWINCH_STOP_LIMIT=10s", "HAVENWINCH_LOG_RATE=5000",
			"HAVENWINCH_RETRY_STOCK=100000", "HAVENWINCH_ELECTION_TIMEOUT=1s", "HAVENWINCH_HEARTBEAT=200ms",
		}
		f.boxes = append(f.boxes, b)
	}
	t.Cleanup(f.kill)
	return f
}

// freePorts returns ports that are free at the address of the first box, and so in the whole
// subnet. It must not listen on all addresses: another fleet may bind the same port meanwhile.
func freePorts(t *testing.T, ip string) ports {
	t.Helper()
	var p ports
	for _, port := range []*int{&p.between, &p.caller, &p.ready, &p.registry, &p.metrics} {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return p
}

func (f *fleet) address(b *box, port int) string { return net.JoinHostPort(b.ip, strconv.Itoa(port)) }

func (f *fleet) withRole(role string) []*box {
	var list []*box
	for _, b := range f.boxes {
		if b.role == role {
			list = append(list, b)
		}
	}
	return list
}

func (f *fleet) addresses(role string, port int) []string {
	var list []string
	for _, b := range f.withRole(role) {
		list = append(list, f.address(b, port))
	}
	return list
}

func (f *fleet) names(role string) []string {
	var names []string
	for _, b := range f.withRole(role) {
		names = append(names, b.name)
	}
	return names
}

// start starts the process unless it is already running.
func (b *box) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil || b.closed {
		return nil
	}
	if err := b.writeSettings("HAVENWINCH_FIRST_START=" + strconv.FormatBool(!b.started)); err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(b.bin, "havenwinchd"), "forward", "--role", b.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HAVENWINCH_NODE_FILE=" + b.settingsPath()}
	cmd.Stdout, cmd.Stderr = &lockedWriter{b: b}, &lockedWriter{b: b}
	if err := cmd.Start(); err != nil {
		return err
	}
	b.started = true
	done := make(chan struct{})
	b.cmd, b.done = cmd, done
	go b.wait(cmd, done)
	return nil
}

// settingsPath returns the path of the settings file.
func (b *box) settingsPath() string { return b.dir + ".env" }

// writeSettings writes the settings file as the users' platform does: all settings but the
// role, which is a command-line flag. The last of several values of a setting applies. A box that
// starts or reloads meanwhile finds the old file or the new one.
func (b *box) writeSettings(overrides ...string) error {
	lines := append(slices.Clone(b.env), overrides...)
	fresh := b.settingsPath() + ".new"
	if err := os.WriteFile(fresh, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(fresh, b.settingsPath())
}

// restartDelay is the delay before a process that exited by itself is restarted, as the
// users' platform does.
const restartDelay = 100 * time.Millisecond

// wait waits for the process to exit. An exit that was not caused by a signal is
// recorded as a failure, and the process is restarted.
func (b *box) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cmd = nil
	b.recordExit()
	close(done)
	status := cmd.ProcessState.Sys().(syscall.WaitStatus)
	if err == nil || status.Signaled() {
		return
	}
	b.exits = append(b.exits, fmt.Sprintf("%s (process %d) exited unexpectedly: %v; end of its log: %s", b.name, cmd.Process.Pid, err, logTail(b.log.String())))
	time.AfterFunc(restartDelay, func() { _ = b.start() })
}

// logTail returns the last 2000 bytes of a log.
func logTail(text string) string {
	const size = 2000
	return text[max(0, len(text)-size):]
}

// unexpectedExits returns descriptions of the exits that were not caused by a signal.
func (f *fleet) unexpectedExits() []string {
	var list []string
	for _, b := range f.boxes {
		b.mu.Lock()
		list = append(list, b.exits...)
		b.mu.Unlock()
	}
	return list
}

type lockedWriter struct{ b *box }

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	return w.b.log.Write(p)
}

func (b *box) logText() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.log.String()
}

// signal sends a signal to the process of the box. The returned channel is closed when
// that process has exited; it is already closed if none runs.
func (b *box) signal(s syscall.Signal) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	b.recordSignal(s)
	_ = b.cmd.Process.Signal(s)
	return b.done
}

func (f *fleet) startAll(t *testing.T) {
	t.Helper()
	for _, b := range f.boxes {
		if err := b.start(); err != nil {
			t.Fatal(err)
		}
	}
}

func (f *fleet) kill() {
	for _, b := range f.boxes {
		b.mu.Lock()
		b.closed = true
		b.mu.Unlock()
		b.signal(syscall.SIGCONT)
		<-b.signal(syscall.SIGKILL)
	}
}

// ready waits until every entry box reports that it is ready.
func (f *fleet) ready(t *testing.T) {
	t.Helper()
	for _, address := range f.addresses("entry", f.ports.ready) {
		waitFor(t, address+" is ready", func() bool {
			resp, err := httpClient.Get("http://" + address + "/api/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

const waitLimit = 60 * time.Second

// waitFor polls a condition and fails the test if it does not hold within waitLimit.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after %s: %s", waitLimit, what)
}
