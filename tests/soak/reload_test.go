// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a reload that reads only the settings file. The users' platform sets the
// role on the command line and everything else in the file, so boxes rejected each reload
// for an empty role, 39 of 39 on one day, and kept the seeds from their start.
func TestReload(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.startAll(t)
	for _, b := range f.boxes {
		waitFor(t, b.name+" has started", func() bool { return strings.Contains(b.logText(), `"msg":"start"`) })
		steps := []struct {
			name     string
			settings []string
			log      string
		}{
			{name: "new seeds", settings: []string{"HAVENWINCH_SEEDS=127.0.0.9:1,127.0.0.8:1"}, log: `"outcome":"seeds in force","seeds":["127.0.0.9:`},
			{name: "an invalid setting", settings: []string{"HAVENWINCH_SEEDS=127.0.0.7:1", "HAVENWINCH_RETRY_RATIO=2"}, log: `--retry-ratio: must be between 0 and 1`},
			{name: "an invalid line", settings: []string{"HAVENWINCH_SEEDS=127.0.0.6:1", "nonsense"}, log: `write HAVENWINCH_NAME=value`},
			{name: "other seeds", settings: []string{"HAVENWINCH_SEEDS=127.0.0.5:1"}, log: `"outcome":"seeds in force","seeds":["127.0.0.5:`},
		}
		for _, step := range steps {
			if err := b.writeSettings(step.settings...); err != nil {
				t.Fatal(err)
			}
			b.signal(syscall.SIGHUP)
			waitFor(t, b.name+" logs for "+step.name+": "+step.log, func() bool { return strings.Contains(b.logText(), step.log) })
		}
		for _, refused := range []string{"127.0.0.7", "127.0.0.6"} {
			if strings.Contains(b.logText(), refused) {
				t.Errorf("%s used %s from a file that was rejected", b.name, refused)
			}
		}
	}
}

// Guards against a SIGHUP that ends a box which is still reading its settings.
func TestReloadSignalAtTheStart(t *testing.T) {
	for _, role := range []string{"control", "entry"} {
		t.Run(role, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings")
			if err := syscall.Mkfifo(path, 0o600); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command(filepath.Join(bin, "havenwinchd"), "forward", "--role", role)
			cmd.Env = []string{"HAVENWINCH_NODE_FILE=" + path}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = cmd.Process.Kill() })
			// The open returns once the box reads the file.
			settings, err := os.OpenFile(path, os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			time.Sleep(200 * time.Millisecond)
			_, _ = settings.WriteString("nonsense\n")
			_ = settings.Close()
			_ = cmd.Wait()
			if status := cmd.ProcessState.Sys().(syscall.WaitStatus); status.Signaled() {
				t.Errorf("the box ended by signal %v", status.Signal())
			}
		})
	}
}
