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

// EnvironmentPrefix is the prefix of the environment variables of all settings.
const EnvironmentPrefix = "HAVENWINCH_"

// hidden is printed in place of a secret.
const hidden = "(hidden)"

// EnvironmentName returns the environment variable of a flag, as HAVENWINCH_DATA_DIR of
// data-dir.
func EnvironmentName(flag string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func envSource(name string) cli.ValueSourceChain { return cli.EnvVars(EnvironmentName(name)) }

func stringFlag(name, value, usage string, target *string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Destination: target, Sources: envSource(name)}
}

func durationFlag(name string, value time.Duration, usage string, target *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Destination: target, Sources: envSource(name)}
}

// rawSettings holds lists as given on the command line, before they are split.
type rawSettings struct {
	roles    string
	controls string
}

// Flags returns the flags that set the fields of s. Call finish after parsing them: it
// completes and checks the settings.
func (s *Settings) Flags() (flags []cli.Flag, finish func() error) {
	raw := &rawSettings{}
	flags = []cli.Flag{
		stringFlag("box", "", "name of this box, unique in the fleet", &s.Box),
		stringFlag("data-centre", "", "data centre of this box", &s.DataCentre),
		stringFlag("region", "home", "region of the data centre", &s.Region),
		stringFlag("roles", "entry", "comma-separated roles of this box: entry, keeper, control", &raw.roles),
		stringFlag("caller-listen", "127.0.0.1:7000", "listen address for callers", &s.CallerListen),
		stringFlag("admin-listen", "127.0.0.1:7001", "listen address for operators, metrics and health checks", &s.AdminListen),
		stringFlag("between-listen", "127.0.0.1:7002", "listen address for other boxes", &s.BetweenListen),
		stringFlag("between-address", "", "address at which other boxes reach this one (default: between-listen)", &s.BetweenAddress),
		stringFlag("data-dir", "", "directory for persistent data, for keeper and control", &s.DataDir),
		stringFlag("control-boxes", "", "comma-separated control boxes as name=address", &raw.controls),
		stringFlag("secret-file", "", "file with the secret shared by all boxes", &s.SecretFile),
		stringFlag("operators-file", "", "file with operators' names and key digests", &s.OperatorsFile),
		stringFlag("platform-url", "", "URL of the platform's list of targets", &s.PlatformURL),
		stringFlag("caller-cert", "", "file with the TLS certificate for callers", &s.CallerCert),
		stringFlag("caller-key", "", "file with the TLS key for callers", &s.CallerKey),
		stringFlag("between-cert", "", "file with the TLS certificate for connections between boxes", &s.BetweenCert),
		stringFlag("between-key", "", "file with the TLS key for connections between boxes", &s.BetweenKey),
		stringFlag("between-ca", "", "file with the TLS certificate authority for connections between boxes", &s.BetweenCA),
		durationFlag("election-timeout", time.Second, "minimum time without a leader before an election", &s.ElectionTimeout),
		durationFlag("heartbeat", 250*time.Millisecond, "time between a leader's heartbeats", &s.Heartbeat),
		durationFlag("sync-interval", time.Second, "time between a keeper's reports", &s.SyncInterval),
		durationFlag("box-timeout", 3*time.Second, "time without contact after which a box is considered dead", &s.BoxTimeout),
		durationFlag("key-window", 6*time.Hour, "how long records of ended requests are kept", &s.KeyWindow),
		durationFlag("stop-limit", 10*time.Minute, "maximum time for a graceful shutdown", &s.StopLimit),
		durationFlag("max-wait", 24*time.Hour, "longest deadline of a request", &s.MaxWait),
		durationFlag("read-timeout", 30*time.Second, "time within which a request must arrive completely", &s.ReadTimeout),
		&cli.IntFlag{Name: "max-body", Value: 4 << 20, Usage: "maximum size of a request body in bytes", Destination: &s.MaxBody, Sources: envSource("max-body")},
		&cli.IntFlag{Name: "memory-mb", Value: 1024, Usage: "memory available to this process in MB; a quarter may hold answers of targets", Destination: &s.MemoryMB, Sources: envSource("memory-mb")},
		stringFlag("log-level", "info", "debug, info, warn or error", &s.LogLevel),
		stringFlag("routing-policy", "cache-load", "cache-load, two-choices, least-load, longest-prefix or round-robin", &s.Policy),
	}
	return flags, func() error { return s.finish(raw) }
}

func (s *Settings) finish(raw *rawSettings) error {
	s.Roles = splitList(raw.roles)
	s.ControlBoxes = map[string]string{}
	for _, item := range splitList(raw.controls) {
		name, address, _ := strings.Cut(item, "=")
		s.ControlBoxes[name] = address
	}
	if s.BetweenAddress == "" {
		s.BetweenAddress = s.BetweenListen
	}
	return s.Check()
}

func splitList(list string) []string {
	var items []string
	for _, item := range strings.Split(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// Print writes the effective settings as environment variables, one a line. Secrets are
// hidden.
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
