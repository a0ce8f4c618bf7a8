// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"strings"
	"syscall"
	"testing"
)

// Boxes refused each reload of their settings, for a setting that was sound, and went on
// with the seeds that they had been started with. The platform gives the role on the
// command line and all else in a file; a reload read the file alone. Evidence: 39 reloads
// of a day, 39 times the role was said to be empty.
func TestReload(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.startAll(t)
	for _, b := range f.boxes {
		eventually(t, b.name+" has started", func() bool { return strings.Contains(b.lines(), `"msg":"start"`) })
		steps := []struct {
			name string
			lay  []string
			log  string
		}{
			{name: "new seeds", lay: []string{"HAVENWINCH_SEEDS=127.0.0.9:1,127.0.0.8:1"}, log: `"outcome":"seeds in force","seeds":["127.0.0.9:`},
			{name: "a wrong setting", lay: []string{"HAVENWINCH_SEEDS=127.0.0.7:1", "HAVENWINCH_RETRY_RATIO=2"}, log: `--retry-ratio: must be between 0 and 1`},
			{name: "a wrong line", lay: []string{"HAVENWINCH_SEEDS=127.0.0.6:1", "nonsense"}, log: `write HAVENWINCH_NAME=value`},
			{name: "other seeds", lay: []string{"HAVENWINCH_SEEDS=127.0.0.5:1"}, log: `"outcome":"seeds in force","seeds":["127.0.0.5:`},
		}
		for _, step := range steps {
			if err := b.laySettings(step.lay...); err != nil {
				t.Fatal(err)
			}
			b.signal(syscall.SIGHUP)
			eventually(t, b.name+" says of "+step.name+" "+step.log, func() bool { return strings.Contains(b.lines(), step.log) })
		}
		for _, refused := range []string{"127.0.0.7", "127.0.0.6"} {
			if strings.Contains(b.lines(), refused) {
				t.Errorf("%s took %s of a file that was refused", b.name, refused)
			}
		}
	}
}
