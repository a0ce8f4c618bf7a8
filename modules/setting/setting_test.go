// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"context"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// load parses a command line as the daemon does.
func load(t *testing.T, args ...string) (*Settings, error) {
	t.Helper()
	s := &Settings{}
	flags, finish := s.Flags()
	var result error
	c := &cli.Command{Name: "test", Flags: flags, Action: func(context.Context, *cli.Command) error {
		result = finish()
		return nil
	}}
	if err := c.Run(context.Background(), append([]string{"test"}, args...)); err != nil {
		t.Fatal(err)
	}
	return s, result
}

// writeFile creates a temporary file and returns its path.
func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestFaults changes valid settings and checks which faults are reported.
func TestFaults(t *testing.T) {
	valid := map[string]string{
		"box": "c1", "data-centre": "dc-a", "roles": "entry,keeper,control", "data-dir": "/tmp/x",
		"control-boxes": "c1=127.0.0.1:7002", "platform-url": "http://127.0.0.1:9000",
		"secret-file": writeFile(t, "a secret that is long enough\n"), "operators-file": writeFile(t, "# none yet\n"),
	}
	tests := map[string]struct {
		set  map[string]string
		want []string
	}{
		"valid":                        {nil, nil},
		"no name":                      {map[string]string{"box": ""}, []string{"box", "control-boxes"}},
		"unknown role":                 {map[string]string{"roles": "entry,king"}, []string{"roles"}},
		"keeper without a disk":        {map[string]string{"data-dir": ""}, []string{"data-dir"}},
		"host name for an IP address":  {map[string]string{"caller-listen": "localhost:7000"}, []string{"caller-listen"}},
		"even number of control boxes": {map[string]string{"control-boxes": "c1=127.0.0.1:1,c2=127.0.0.1:2"}, []string{"control-boxes"}},
		"control box not listed":       {map[string]string{"control-boxes": "c9=127.0.0.1:1"}, []string{"control-boxes"}},
		"short secret":                 {map[string]string{"secret-file": writeFile(t, "short")}, []string{"secret-file"}},
		"no secret file":               {map[string]string{"secret-file": "/none"}, []string{"secret-file"}},
		"invalid line of operators":    {map[string]string{"operators-file": writeFile(t, "anna key")}, []string{"operators-file"}},
		"heartbeat too long":           {map[string]string{"heartbeat": "900ms"}, []string{"heartbeat"}},
		"unknown policy and level":     {map[string]string{"routing-policy": "best", "log-level": "loud"}, []string{"log-level", "routing-policy"}},
		"certificate without a key":    {map[string]string{"caller-cert": "/none"}, []string{"caller-cert", "caller-cert, between-cert"}},
		"invalid platform URL":         {map[string]string{"platform-url": "9000"}, []string{"platform-url"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var args []string
			for flag, value := range valid {
				if changed, ok := test.set[flag]; ok {
					value = changed
				}
				args = append(args, "--"+flag, value)
			}
			for flag, value := range test.set {
				if _, ok := valid[flag]; !ok {
					args = append(args, "--"+flag, value)
				}
			}
			_, err := load(t, args...)
			var got []string
			if faults, ok := errors.Cause(err).(ErrFaults); ok {
				for _, f := range faults.Faults {
					got = append(got, f.Setting)
					if f.Remedy == "" || !strings.Contains(err.Error(), f.Remedy) {
						t.Errorf("the error does not contain the remedy for %s", f.Setting)
					}
				}
			}
			sort.Strings(got)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("%v\n%s", err, diff)
			}
		})
	}
}

func TestSettingsFromEnvironment(t *testing.T) {
	t.Setenv("HAVENWINCH_BOX", "from-environment")
	t.Setenv("HAVENWINCH_KEY_WINDOW", "2h")
	s, _ := load(t, "--data-centre", "dc-a")
	if s.Box != "from-environment" || s.KeyWindow.Hours() != 2 || s.DataCentre != "dc-a" {
		t.Errorf("got %q %v %q", s.Box, s.KeyWindow, s.DataCentre)
	}
}
