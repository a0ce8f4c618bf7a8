// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// EnvironmentPrefix starts the name of every environment variable.
const EnvironmentPrefix = "HAVENWINCH_"

const hidden = "(hidden)"

// EnvironmentName returns the variable of a flag.
func EnvironmentName(flag string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func source(name string) cli.ValueSourceChain { return cli.EnvVars(EnvironmentName(name)) }

func text(name, value, usage string, target *string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Destination: target, Sources: source(name)}
}

func duration(name string, value time.Duration, usage string, target *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Destination: target, Sources: source(name)}
}

// lists are settings whose flags need splitting after parsing.
type lists struct {
	roles    string
	controls string
}

// Flags returns the flags that fill in the settings; finish completes them
// after parsing and checks everything.
func (s *Settings) Flags() (flags []cli.Flag, finish func() error) {
	raw := &lists{}
	flags = []cli.Flag{
		text("box", "", "name of this box, unique in the fleet", &s.Box),
		text("data-centre", "", "data centre of this box", &s.DataCentre),
		text("region", "home", "region of the data centre", &s.Region),
		text("roles", "entry", "roles of this box: entry, keeper, control, parted by commas", &raw.roles),
		text("caller-listen", "127.0.0.1:7000", "address for callers", &s.CallerListen),
		text("admin-listen", "127.0.0.1:7001", "address for operators, metrics and health", &s.AdminListen),
		text("between-listen", "127.0.0.1:7002", "address for other boxes", &s.BetweenListen),
		text("between-address", "", "address under which other boxes reach this one (default: between-listen)", &s.BetweenAddress),
		text("data-dir", "", "folder on a disk, for keeper and control", &s.DataDir),
		text("control-boxes", "", "control boxes as name=address, parted by commas", &raw.controls),
		text("secret-file", "", "file with the secret shared by all boxes", &s.SecretFile),
		text("operators-file", "", "file with operators' names and key digests", &s.OperatorsFile),
		text("platform-url", "", "URL of the platform's list of targets", &s.PlatformURL),
		text("caller-cert", "", "TLS certificate towards callers", &s.CallerCert),
		text("caller-key", "", "TLS key towards callers", &s.CallerKey),
		text("between-cert", "", "TLS certificate between boxes", &s.BetweenCert),
		text("between-key", "", "TLS key between boxes", &s.BetweenKey),
		text("between-ca", "", "TLS authority between boxes", &s.BetweenCA),
		duration("election-timeout", time.Second, "time without a leader before an election, at least", &s.Election),
		duration("heartbeat", 250*time.Millisecond, "time between a leader's signs of life", &s.Heartbeat),
		duration("sync-interval", time.Second, "time between a keeper's reports", &s.SyncInterval),
		duration("box-timeout", 3*time.Second, "silence after which a box counts as dead", &s.BoxTimeout),
		duration("key-window", 6*time.Hour, "how long records of ended requests are kept", &s.KeyWindow),
		duration("stop-limit", 10*time.Minute, "time for a planned stop", &s.StopLimit),
		duration("max-wait", 24*time.Hour, "longest deadline of a request", &s.MaxWait),
		duration("read-timeout", 30*time.Second, "time in which a request must have arrived", &s.ReadTimeout),
		&cli.IntFlag{Name: "max-body", Value: 4 << 20, Usage: "largest request body in bytes", Destination: &s.MaxBody, Sources: source("max-body")},
		text("log-level", "info", "debug, info, warn or error", &s.LogLevel),
		text("routing-policy", "cache-load", "cache-load, two-choices, least-load, longest-prefix or round-robin", &s.Policy),
	}
	return flags, func() error { return s.finish(raw) }
}

func (s *Settings) finish(raw *lists) error {
	s.Roles = split(raw.roles)
	s.ControlBoxes = map[string]string{}
	for _, item := range split(raw.controls) {
		name, address, _ := strings.Cut(item, "=")
		s.ControlBoxes[name] = address
	}
	if s.BetweenAddress == "" {
		s.BetweenAddress = s.BetweenListen
	}
	return s.Check()
}

func split(list string) []string {
	var items []string
	for _, item := range strings.Split(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// Print writes the settings in force; secrets are hidden.
func Print(w io.Writer, c *cli.Command) {
	for _, f := range c.Flags {
		name := f.Names()[0]
		if name == "help" || name == "version" || name == "print-settings" {
			continue
		}
		value := fmt.Sprint(c.Value(name))
		if strings.HasSuffix(name, "secret-file") && value != "" {
			value = hidden
		}
		fmt.Fprintf(w, "%s=%s\n", EnvironmentName(name), value)
	}
}
