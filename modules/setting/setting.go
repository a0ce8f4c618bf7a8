// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package setting loads and checks the settings of the daemon. Each can be given as a
// flag or an environment variable. All invalid settings are reported at once.
package setting

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Roles of a box.
const (
	RoleEntry   = "entry"
	RoleKeeper  = "keeper"
	RoleControl = "control"
)

// minSecretBytes is the minimum length of the secret that boxes share.
const minSecretBytes = 16

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Settings are the checked settings of a daemon.
type Settings struct {
	Box            string
	DataCentre     string
	Region         string
	Roles          []string
	CallerListen   string
	AdminListen    string
	BetweenListen  string
	BetweenAddress string
	DataDir        string
	// ControlBoxes maps the names of control boxes to their addresses.
	ControlBoxes    map[string]string
	SecretFile      string
	OperatorsFile   string
	PlatformURL     string
	CallerCert      string
	CallerKey       string
	BetweenCert     string
	BetweenKey      string
	BetweenCA       string
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	SyncInterval    time.Duration
	BoxTimeout      time.Duration
	KeyWindow       time.Duration
	StopLimit       time.Duration
	MaxWait         time.Duration
	ReadTimeout     time.Duration
	MaxBody         int
	// MemoryMB is the memory available to the process in MB.
	MemoryMB int
	LogLevel string
	Policy   string

	// Secret is read from SecretFile.
	Secret []byte
	// Operators is read from OperatorsFile and maps the digest of an operator's key to
	// the operator's name.
	Operators map[string]string
}

// HasRole reports whether the box has a role.
func (s *Settings) HasRole(role string) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// ControlNames returns the sorted names of the control boxes.
func (s *Settings) ControlNames() []string {
	names := make([]string, 0, len(s.ControlBoxes))
	for name := range s.ControlBoxes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Fault is one invalid setting.
type Fault struct {
	// Setting is the flag without dashes, or several flags separated by commas.
	Setting string
	// Remedy says what is wrong and what to use instead.
	Remedy string
}

// ErrFaults is the error for invalid settings and lists all of them.
type ErrFaults struct {
	Faults []Fault
}

func (e ErrFaults) Error() string {
	lines := []string{fmt.Sprintf("%d settings are wrong:", len(e.Faults))}
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("  --%s: %s", f.Setting, f.Remedy))
	}
	return strings.Join(lines, "\n")
}

// IsErrFaults reports whether an error is an ErrFaults.
func IsErrFaults(err error) bool {
	_, ok := errors.Cause(err).(ErrFaults)
	return ok
}

// checker collects faults.
type checker struct {
	faults []Fault
}

// require adds a fault of a setting unless ok is true.
func (c *checker) require(ok bool, setting, remedy string, args ...any) {
	if !ok {
		c.faults = append(c.faults, Fault{Setting: setting, Remedy: fmt.Sprintf(remedy, args...)})
	}
}

// Check reads the files that the settings refer to and checks all settings. It returns
// an ErrFaults with every invalid setting.
func (s *Settings) Check() error {
	c := &checker{}
	s.checkIdentity(c)
	s.checkAddresses(c)
	s.checkTimes(c)
	s.checkFiles(c)
	s.checkRoles(c)
	if len(c.faults) > 0 {
		return errors.WithStack(ErrFaults{Faults: c.faults})
	}
	return nil
}

func (s *Settings) checkIdentity(c *checker) {
	names := []struct{ setting, value string }{{"box", s.Box}, {"data-centre", s.DataCentre}, {"region", s.Region}}
	for _, n := range names {
		c.require(validName.MatchString(n.value), n.setting, "%q is no name: use lower-case letters, digits, dots and dashes", n.value)
	}
	c.require(len(s.Roles) > 0, "roles", "name at least one of entry, keeper, control")
	for _, r := range s.Roles {
		valid := r == RoleEntry || r == RoleKeeper || r == RoleControl
		c.require(valid, "roles", "%q is no role: use entry, keeper, control", r)
	}
	levels := map[string]bool{"debug": true, "info": true, "warn": true, "error": true}
	c.require(levels[s.LogLevel], "log-level", "%q is no level: use debug, info, warn or error", s.LogLevel)
	policies := map[string]bool{"round-robin": true, "least-load": true, "longest-prefix": true, "two-choices": true, "cache-load": true}
	c.require(policies[s.Policy], "routing-policy", "%q is no policy: use cache-load, two-choices, least-load, longest-prefix or round-robin", s.Policy)
}

func (s *Settings) checkAddresses(c *checker) {
	listens := []struct{ setting, value string }{
		{"caller-listen", s.CallerListen},
		{"admin-listen", s.AdminListen},
		{"between-listen", s.BetweenListen},
		{"between-address", s.BetweenAddress},
	}
	for _, l := range listens {
		c.require(isAddress(l.value), l.setting, "%q is no address: use an IP address and a port, like 127.0.0.1:7000", l.value)
	}
	c.require(len(s.ControlBoxes) > 0, "control-boxes", "list the control boxes as name=address, separated by commas")
	for name, address := range s.ControlBoxes {
		c.require(validName.MatchString(name), "control-boxes", "%q is no box name", name)
		c.require(isAddress(address), "control-boxes", "%q of box %s is no address: use an IP address and a port", address, name)
	}
	u, err := url.Parse(s.PlatformURL)
	isHTTP := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.require(isHTTP || !s.HasRole(RoleEntry) && !s.HasRole(RoleKeeper), "platform-url", "%q is no HTTP URL: use one like http://127.0.0.1:9000", s.PlatformURL)
}

// isAddress reports whether a text is an IP address with a port.
func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func (s *Settings) checkTimes(c *checker) {
	c.require(s.ElectionTimeout >= 100*time.Millisecond, "election-timeout", "must be at least 100ms")
	c.require(s.Heartbeat > 0 && s.Heartbeat <= s.ElectionTimeout/3, "heartbeat", "must be above zero and at most a third of the election timeout")
	c.require(s.SyncInterval >= 10*time.Millisecond, "sync-interval", "must be at least 10ms")
	c.require(s.BoxTimeout >= 500*time.Millisecond, "box-timeout", "must be at least 500ms")
	c.require(s.KeyWindow >= time.Minute, "key-window", "must be at least 1m")
	c.require(s.StopLimit > 0, "stop-limit", "must be above zero")
	c.require(s.MaxWait > 0, "max-wait", "must be above zero")
	c.require(s.ReadTimeout > 0, "read-timeout", "must be above zero")
	c.require(s.MaxBody >= 1024, "max-body", "must be at least 1024 bytes")
	c.require(s.MemoryMB >= minMemoryMB, "memory-mb", "must be at least %d", minMemoryMB)
}

func (s *Settings) checkFiles(c *checker) {
	secret, err := os.ReadFile(s.SecretFile)
	c.require(err == nil, "secret-file", "can't be read (%v): write one random line, the same on all boxes", err)
	s.Secret = []byte(strings.TrimSpace(string(secret)))
	c.require(err != nil || len(s.Secret) >= minSecretBytes, "secret-file", "the secret is shorter than %d bytes: use a longer one", minSecretBytes)
	s.Operators = map[string]string{}
	if s.OperatorsFile != "" {
		operators, err := readOperators(s.OperatorsFile)
		c.require(err == nil, "operators-file", "%v", err)
		s.Operators = operators
	}
	pairs := []struct{ setting, cert, key string }{
		{"caller-cert", s.CallerCert, s.CallerKey},
		{"between-cert", s.BetweenCert, s.BetweenKey},
	}
	for _, p := range pairs {
		c.require((p.cert == "") == (p.key == ""), p.setting, "a certificate needs a key and vice versa: set both or neither")
	}
	c.require((s.BetweenCert == "") == (s.BetweenCA == ""), "between-ca", "set it together with between-cert")
	for _, path := range []string{s.CallerCert, s.CallerKey, s.BetweenCert, s.BetweenKey, s.BetweenCA} {
		if path == "" {
			continue
		}
		_, err := os.Stat(path)
		c.require(err == nil, "caller-cert, between-cert", "file %s can't be read", path)
	}
}

func (s *Settings) checkRoles(c *checker) {
	needsDisk := s.HasRole(RoleKeeper) || s.HasRole(RoleControl)
	c.require(s.DataDir != "" || !needsDisk, "data-dir", "required for keeper and control: use a directory on a persistent disk")
	if s.HasRole(RoleControl) {
		_, listed := s.ControlBoxes[s.Box]
		c.require(listed, "control-boxes", "box %s has the role control but is not listed", s.Box)
		c.require(len(s.ControlBoxes)%2 == 1, "control-boxes", "%d control boxes can split into equal halves without a majority: use 1, 3 or 5", len(s.ControlBoxes))
	}
}

// readOperators reads a file with lines of "name digest" and returns the names by digest.
// A # starts a comment.
func readOperators(path string) (map[string]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Errorf("can't be read: %v", err)
	}
	operators := map[string]string{}
	for n, line := range strings.Split(string(data), "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != 2 || len(fields[1]) != 64 {
			return nil, errors.Errorf("line %d must be a name and the SHA-256 digest of a key: havenwinch key prints one", n+1)
		}
		operators[strings.ToLower(fields[1])] = fields[0]
	}
	return operators, nil
}
