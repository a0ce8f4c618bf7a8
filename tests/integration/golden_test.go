// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// update rewrites the golden files: go test ./tests/integration -update.
var update = flag.Bool("update", false, "write golden files")

// checkGolden compares a session with its golden file, or rewrites the file with -update.
func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(got, "\n")); diff != "" {
		t.Errorf("the session differs from %s:\n%s", path, diff)
	}
}

// replacements lists patterns of output that differs between sessions, with replacements.
var replacements = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`127\.[0-9.]+:[0-9]+`), "ADDRESS"},
	{regexp.MustCompile(`[0-9]{13}\.[0-9]+`), "STAMP"},
	{regexp.MustCompile(`engine-([ab])-[12](: [0-9]+ \([^)]*\))?`), "engine-$1-N"},
	{regexp.MustCompile(`(revision|term) [0-9]+`), "$1 N"},
	{regexp.MustCompile(`[0-9.]+s\)`), "TIME)"},
	{regexp.MustCompile(` +\n`), "\n"},
	{regexp.MustCompile(`  +`), "  "},
}

func normalise(text string) string {
	for _, c := range replacements {
		text = c.pattern.ReplaceAllString(text, c.replacement)
	}
	return text
}

func runTour(t *testing.T) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(bin, "tour"), "--bin", bin)
	cmd.Env = []string{"GORACE=atexit_sleep_ms=0", "TMPDIR=" + t.TempDir()}
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return string(out)
}

// TestOperatorsSession compares an operator session with its golden file: valid and invalid
// commands, a repeated one, a conflict between two, queries and exit codes.
func TestOperatorsSession(t *testing.T) {
	tb := newTestbed(t, threeBoxes()[:1], quickEngine, 1000)
	var session strings.Builder
	for _, line := range []string{
		"command --number 101 create organisation south share 2",
		"command --number 101 create organisation south share 2",
		"command --number 101 create organisation west share 2",
		"command --number 102 create budget south/main tokens 500",
		"command --number 103 grant 250 to south/main",
		"command --number 104 reduce 2000 from south/main",
		"command --number 105 reduce 50 from south/main",
		"command --number 106 create group south/cards budget south/main models m1 priority batch",
		"command --number 107 create group south/cards budget south/main models m1",
		"command --number 108 grant many to south/main",
		"command --number 109 --if-revision 1 set organisation south share 3",
		"command --number 110 rollout target-slots = 0",
		"command --number 111 rollout target-slots = 12",
		"command --number 112 drain target engine-9",
		"query show organisations",
		"query show budgets where budget = south/main",
		"query show groups by group limit 1",
		"query show drains",
		"query show rollouts where name = target-slots",
		"query show commands where number = 103",
		"query show colours",
		"query show groups where colour = red",
		"status",
		"--output json query show organisations where organisation = south",
	} {
		if line == "status" {
			tb.awaitCopies()
		}
		session.WriteString("$ havenwinch " + line + "\n")
		out, err := tb.fleet.Tool(context.Background(), strings.Fields(line)...)
		session.WriteString(out)
		if err != nil {
			session.WriteString("[" + err.Error() + "]\n")
		}
		session.WriteString("\n")
	}
	checkGolden(t, "operators", normalise(session.String()))
}

// awaitCopies waits until the copies of all boxes have everything that control has accepted. A status
// tells the revision of the box's copy, which follows control.
func (tb *testbed) awaitCopies() {
	tb.t.Helper()
	accepted := tb.query("show revision")[0]["revision"]
	for _, name := range tb.fleet.Names() {
		tb.waitFor(name+" has revision "+accepted, func() bool {
			s, err := tb.status(name)
			return err == nil && fmt.Sprint(s.Revision) == accepted
		})
	}
}
