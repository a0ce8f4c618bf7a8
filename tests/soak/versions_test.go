// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
)

// earlierBin returns the directory with the daemon of an earlier version, which
// HAVENWINCH_EARLIER_BIN sets. Without it the current version takes both roles.
func earlierBin() string {
	if dir := os.Getenv("HAVENWINCH_EARLIER_BIN"); dir != "" {
		return dir
	}
	return bin
}

// useBinary sets the directory of the binary that boxes run from their next start on.
func useBinary(dir string, boxes ...*box) {
	for _, b := range boxes {
		b.bin = dir
	}
}

// boxNamed returns the box with the given name.
func (f *fleet) boxNamed(t *testing.T, name string) *box {
	t.Helper()
	for _, b := range f.boxes {
		if b.name == name {
			return b
		}
	}
	t.Fatalf("no box %s", name)
	return nil
}

// TestDataOfAnEarlierVersion guards against a version that misreads the log, the snapshots
// or the settings of an earlier one: the configuration, an exhausted budget, the members
// and the quarantined calls must survive the upgrade.
func TestDataOfAnEarlierVersion(t *testing.T) {
	const body, route = crashBody + " before the upgrade", "plain/unsafe"
	f := newFleet(t, 3, 2)
	useBinary(earlierBin(), f.boxes...)
	tb := startTestbed(t, f, 31, 2, 3)
	c := tb.caller(0)
	tb.exhaustBudget(t, c)
	if !tb.platform.configure(2, waitLimit, "key-of-version-2") {
		t.Fatal("the configuration was not acknowledged")
	}
	tb.waitQuarantined(t, route, body)
	crashed := tb.platform.crashCount(body)
	tb.killAll()
	useBinary(bin, f.boxes...)
	tb.startAll(t)
	for _, address := range tb.platform.control {
		waitFor(t, address+" has the configuration of the earlier version", func() bool { return readVersion(address) == 2 })
	}
	tb.ready(t)
	tb.waitKeyServed(t, "key-of-version-2")
	tb.waitQuarantined(t, route, body)
	if after := tb.platform.crashCount(body); after != crashed {
		t.Errorf("the quarantined call crashed %d more servers after the upgrade", after-crashed)
	}
	waitFor(t, "the small budget is refused as exhausted after the upgrade", func() bool {
		c.count++
		o := c.send(fmt.Sprintf("exhausted-%d", c.count), "stream/once", "key-small")
		tb.all.record(o)
		return o.status == http.StatusPaymentRequired
	})
	if !tb.platform.configure(3, waitLimit) {
		t.Fatal("a configuration was not acknowledged after the upgrade")
	}
	for _, address := range tb.platform.control {
		waitFor(t, address+" has the new configuration", func() bool { return readVersion(address) == 3 })
	}
	tb.checkResults(t)
}

// TestVersionsSideBySide guards against incompatible versions in one fleet: configurations
// and reports of calls that crash servers must pass between boxes of both versions. An entry
// box may prefer a control box of its own version, so in two of the cases there is none.
func TestVersionsSideBySide(t *testing.T) {
	for name, earlier := range map[string][]string{
		"an earlier entry box":                    {"entry-2"},
		"an earlier entry box, one control box":   {"control-3", "entry-2"},
		"an earlier entry box, two control boxes": {"control-2", "control-3", "entry-2"},
		"a later entry box only":                  {"control-1", "control-2", "control-3", "entry-2"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, 2)
			for _, box := range earlier {
				useBinary(earlierBin(), f.boxNamed(t, box))
			}
			tb := startTestbed(t, f, 32, 2, 4)
			for i, control := range tb.platform.control {
				key := fmt.Sprintf("key-sent-to-control-%d", i+1)
				tb.configureAt(t, control, uint64(2+i), key)
				tb.waitKeyServed(t, key)
			}
			for i, reporter := range tb.withRole("entry") {
				tb.checkReportReaches(t, i, reporter, tb.withRole("entry")[1-i])
			}
			for _, b := range tb.withRole("control") {
				t.Logf("%s has led: %v", b.name, strings.Contains(b.logText(), `"msg":"leads the control group"`))
			}
			tb.checkResults(t)
		})
	}
}

// configureAt sends a configuration to one control box until it is acknowledged.
func (tb *testbed) configureAt(t *testing.T, control string, version uint64, keys ...string) {
	t.Helper()
	waitFor(t, fmt.Sprintf("version %d is acknowledged by %s", version, control), func() bool {
		status, _ := put("http://"+control+"/api/configuration", (&platform{}).configuration(version, keys...))
		return status == http.StatusOK
	})
}

// callerAt returns a caller of one entry box only.
func (tb *testbed) callerAt(n int, b *box) *caller {
	c := tb.caller(n)
	c.all = &callerPool{platform: tb.platform, entries: []string{tb.address(b, tb.ports.caller)}, names: []string{b.name}, seed: tb.all.seed}
	return c
}

// waitKeyServed waits until every entry box accepts an API key.
func (tb *testbed) waitKeyServed(t *testing.T, key string) {
	t.Helper()
	for i, b := range tb.withRole("entry") {
		c := tb.callerAt(4000+i, b)
		waitFor(t, b.name+" serves "+key, func() bool {
			tb.lastCopy++
			o := c.send(fmt.Sprintf("%s-%d", key, tb.lastCopy), "plain/safe", key)
			return o.status == http.StatusOK && o.complete
		})
		c.disconnect()
	}
}

// checkReportReaches sends a call that crashes servers to one entry box only, and checks that
// the other one refuses it on the first attempt.
func (tb *testbed) checkReportReaches(t *testing.T, n int, reporter, other *box) {
	t.Helper()
	body := fmt.Sprint(crashBody, " at ", reporter.name)
	ask := func(b *box) outcome {
		c := tb.callerAt(5000+n, b)
		defer c.disconnect()
		tb.lastCopy++
		return c.sendBody(fmt.Sprintf("side-%d", tb.lastCopy), "plain/unsafe", "key-large", body)
	}
	isHeldBack := func(o outcome) bool {
		return o.status == http.StatusServiceUnavailable && strings.Contains(o.body, quarantinedKind)
	}
	waitFor(t, reporter.name+" quarantines the call", func() bool { return isHeldBack(ask(reporter)) })
	listed := fmt.Sprintf(`"held_back":%d`, n+1)
	waitFor(t, other.name+" has the quarantine list from control", func() bool { return strings.Contains(other.logText(), listed) })
	crashed := tb.platform.crashCount(body)
	if o := ask(other); !isHeldBack(o) || tb.platform.crashCount(body) != crashed {
		t.Errorf("%s answered with status %d to the call that %s had reported, %s; crashed servers: %d before, %d after", other.name, o.status, reporter.name, o.body, crashed, tb.platform.crashCount(body))
	}
}
