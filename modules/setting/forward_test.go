// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// parseForward parses flags as the daemon does.
func parseForward(t *testing.T, args map[string]string) (*Forward, error) {
	t.Helper()
	f := &Forward{}
	flags, finish := f.Flags()
	line := []string{"test"}
	for name, value := range args {
		line = append(line, "--"+name+"="+value)
	}
	command := &cli.Command{Flags: flags, Action: func(context.Context, *cli.Command) error { return finish() }, ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	return f, command.Run(context.Background(), line)
}

// validForward returns the flags of a valid entry box.
func validForward(t *testing.T) map[string]string {
	t.Helper()
	secret := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(secret, []byte("0123456789abcdef\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return map[string]string{
		"box": "edge-1", "data-centre": "dc-a", "role": "entry", "ip": "10.0.0.1", "between-port": "7340,7355", "seeds": "10.0.0.2:8229,10.0.0.3",
		"caller-listen": "10.0.0.1:80", "ready-listen": "10.0.0.1:81", "secret-file": secret,
	}
}

func TestForwardSettings(t *testing.T) {
	f, err := parseForward(t, validForward(t))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"10.0.0.2:7340", "10.0.0.3:7340"}, f.Seeds); diff != "" {
		t.Fatal(diff)
	}
	if f.BetweenAddress() != "10.0.0.1:7340" || string(f.Secret) != "0123456789abcdef" {
		t.Fatalf("address %s, secret %q", f.BetweenAddress(), f.Secret)
	}
}

func TestForwardSettingsFaults(t *testing.T) {
	cases := map[string]struct{ setting, value string }{
		"box":            {setting: "box", value: "Not A Name"},
		"data centre":    {setting: "data-centre", value: ""},
		"role":           {setting: "role", value: "keeper"},
		"ip":             {setting: "ip", value: "host"},
		"port":           {setting: "between-port", value: "none"},
		"seeds":          {setting: "seeds", value: ""},
		"seed by name":   {setting: "seeds", value: "host:80"},
		"caller address": {setting: "caller-listen", value: "80"},
		"ready address":  {setting: "ready-listen", value: ""},
		"metrics":        {setting: "metrics-listen", value: "9464"},
		"memory":         {setting: "memory-mb", value: "1"},
		"descriptors":    {setting: "max-descriptors", value: "12"},
		"no descriptors": {setting: "max-descriptors", value: "-1"},
		"ratio":          {setting: "retry-ratio", value: "2"},
		"stock":          {setting: "retry-stock", value: "-1"},
		"window":         {setting: "retry-window", value: "20ms"},
		"stop":           {setting: "stop-limit", value: "0s"},
		"heartbeat":      {setting: "heartbeat", value: "10s"},
		"level":          {setting: "log-level", value: "loud"},
		"rate":           {setting: "log-rate", value: "0"},
		"secret":         {setting: "secret-file", value: "/does/not/exist"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			args := validForward(t)
			args[c.setting] = c.value
			_, err := parseForward(t, args)
			var faults ErrFaults
			if !errors.As(err, &faults) || !strings.Contains(err.Error(), "--"+c.setting+":") {
				t.Fatalf("got %v, want a fault of --%s", err, c.setting)
			}
		})
	}
	args := validForward(t)
	args["role"] = "control"
	_, err := parseForward(t, args)
	for _, setting := range []string{"--registry-listen", "--data-dir"} {
		if err == nil || !strings.Contains(err.Error(), setting) {
			t.Fatalf("%s is missing in %v, which must list all faults", setting, err)
		}
	}
}

func TestLoadFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Setenv("HAVENWINCH_BOX", "old")
	t.Setenv("HAVENWINCH_DATA_DIR", "old")
	write("# comment\n\nHAVENWINCH_BOX=edge=1\nHAVENWINCH_DATA_DIR=\n")
	undo, err := LoadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, set := os.LookupEnv("HAVENWINCH_DATA_DIR"); set || os.Getenv("HAVENWINCH_BOX") != "edge=1" {
		t.Fatalf("box %q, data dir set: %v", os.Getenv("HAVENWINCH_BOX"), set)
	}
	write("HAVENWINCH_BOX=a\nPATH=/tmp\n")
	var fault ErrSettingsFile
	if _, err := LoadFile(path); !errors.As(err, &fault) || fault.Line != 2 || os.Getenv("HAVENWINCH_BOX") != "edge=1" {
		t.Fatalf("got %v, box %q", err, os.Getenv("HAVENWINCH_BOX"))
	}
	undo()
	if os.Getenv("HAVENWINCH_DATA_DIR") != "old" || os.Getenv("HAVENWINCH_BOX") != "old" {
		t.Fatalf("after undo: box %q, data dir %q", os.Getenv("HAVENWINCH_BOX"), os.Getenv("HAVENWINCH_DATA_DIR"))
	}
	if _, err := LoadFile(path + "x"); err == nil {
		t.Fatal("no error for a missing file")
	}
}

// On a reload, flags of the command line must take precedence over the environment, which
// is read again.
func TestLoadPrefersCommandLine(t *testing.T) {
	for name, value := range validForward(t) {
		if name != "role" {
			t.Setenv(EnvironmentPrefix+strings.ToUpper(strings.ReplaceAll(name, "-", "_")), value)
		}
	}
	f := &Forward{}
	if err := f.Load([]string{"--role", "entry", "--seeds", "10.0.0.9"}); err != nil || f.Role != RoleEntry || f.Box != "edge-1" {
		t.Fatalf("role %q, box %q, %v", f.Role, f.Box, err)
	}
	if diff := cmp.Diff([]string{"10.0.0.9:7340"}, f.Seeds); diff != "" {
		t.Fatal(diff)
	}
	if err := f.Load(nil); err == nil || !strings.Contains(err.Error(), "--role") {
		t.Fatalf("got %v, want a fault of --role", err)
	}
}
