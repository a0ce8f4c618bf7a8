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

// earlierBin returns the folder of the daemon of an earlier version, which the
// environment names. Without it the version at hand takes both parts.
func earlierBin() string {
	if folder := os.Getenv("HAVENWINCH_EARLIER_BIN"); folder != "" {
		return folder
	}
	return bin
}

// runFrom sets the daemon that boxes run from their next start on.
func runFrom(folder string, boxes ...*box) {
	for _, b := range boxes {
		b.bin = folder
	}
}

// named returns the box of that name.
func (f *fleet) named(t *testing.T, name string) *box {
	t.Helper()
	for _, b := range f.boxes {
		if b.name == name {
			return b
		}
	}
	t.Fatalf("no box %s", name)
	return nil
}

// TestDataOfAnEarlierVersion guards against a version that reads the log, the snapshots
// or the settings of an earlier one wrongly: the configuration, an exhausted budget, the
// members and the quarantined calls outlive the change of version.
func TestDataOfAnEarlierVersion(t *testing.T) {
	const body, route = fatalBody + " before the change of version", "plain/unsafe"
	f := newFleet(t, 3, 2)
	runFrom(earlierBin(), f.boxes...)
	w := startWorld(t, f, 31, 2, 3)
	c := w.caller(0)
	w.runDry(t, c)
	if !w.site.configure(2, waitLimit, "key-of-version-2") {
		t.Fatal("the configuration was not acknowledged")
	}
	w.refusedEverywhere(t, route, body)
	ended := w.site.endedUnder(body)
	w.killAll()
	runFrom(bin, f.boxes...)
	w.startAll(t)
	for _, address := range w.site.control {
		eventually(t, address+" has the configuration of the earlier version", func() bool { return readVersion(address) == 2 })
	}
	w.ready(t)
	w.servesKey(t, "key-of-version-2")
	w.refusedEverywhere(t, route, body)
	if after := w.site.endedUnder(body); after != ended {
		t.Errorf("%d servers more ended under the quarantined call after the change of version", after-ended)
	}
	eventually(t, "the small budget is refused as exhausted after the change of version", func() bool {
		c.count++
		o := c.ask(fmt.Sprintf("exhausted-%d", c.count), "stream/once", "key-small")
		w.all.take(o)
		return o.status == http.StatusPaymentRequired
	})
	if !w.site.configure(3, waitLimit) {
		t.Fatal("a configuration was not acknowledged after the change of version")
	}
	for _, address := range w.site.control {
		eventually(t, address+" has the new configuration", func() bool { return readVersion(address) == 3 })
	}
	w.verdict(t)
}

// TestVersionsSideBySide guards against versions that do not understand each other:
// configurations and reports of calls that end their servers pass between the boxes of
// both. An entry box may follow a control box of its own version, so in two of the
// cases there is none.
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
				runFrom(earlierBin(), f.named(t, box))
			}
			w := startWorld(t, f, 32, 2, 4)
			for i, control := range w.site.control {
				key := fmt.Sprintf("key-sent-to-control-%d", i+1)
				w.configureAt(t, control, uint64(2+i), key)
				w.servesKey(t, key)
			}
			for i, reporter := range w.of("entry") {
				w.reportReaches(t, i, reporter, w.of("entry")[1-i])
			}
			for _, b := range w.of("control") {
				t.Logf("%s has led: %v", b.name, strings.Contains(b.lines(), `"msg":"leads the control group"`))
			}
			w.verdict(t)
		})
	}
}

// configureAt sends a configuration to one control box until it is acknowledged.
func (w *world) configureAt(t *testing.T, control string, version uint64, keys ...string) {
	t.Helper()
	eventually(t, fmt.Sprintf("version %d is acknowledged by %s", version, control), func() bool {
		status, _ := put("http://"+control+"/api/configuration", configuration(version, keys...))
		return status == http.StatusOK
	})
}

// callerAt returns a caller of one entry box only.
func (w *world) callerAt(n int, b *box) *caller {
	c := w.caller(n)
	c.all = &callers{site: w.site, entries: []string{w.at(b, w.ports.caller)}, names: []string{b.name}, seed: w.all.seed}
	return c
}

// servesKey waits until every entry box serves an access key.
func (w *world) servesKey(t *testing.T, key string) {
	t.Helper()
	for i, b := range w.of("entry") {
		c := w.callerAt(4000+i, b)
		eventually(t, b.name+" serves "+key, func() bool {
			w.copies++
			o := c.ask(fmt.Sprintf("%s-%d", key, w.copies), "plain/safe", key)
			return o.status == http.StatusOK && o.whole
		})
		c.drop()
	}
}

// reportReaches lets servers end under a call that only one box sends, and checks that
// the other holds it back when it comes there for the first time.
func (w *world) reportReaches(t *testing.T, n int, reporter, other *box) {
	t.Helper()
	body := fmt.Sprint(fatalBody, " at ", reporter.name)
	ask := func(b *box) outcome {
		c := w.callerAt(5000+n, b)
		defer c.drop()
		w.copies++
		return c.askBody(fmt.Sprintf("side-%d", w.copies), "plain/unsafe", "key-large", body)
	}
	isHeldBack := func(o outcome) bool {
		return o.status == http.StatusServiceUnavailable && strings.Contains(o.body, heldBack)
	}
	eventually(t, reporter.name+" holds the call back", func() bool { return isHeldBack(ask(reporter)) })
	listed := fmt.Sprintf(`"held_back":%d`, n+1)
	eventually(t, other.name+" has the list of control", func() bool { return strings.Contains(other.lines(), listed) })
	ended := w.site.endedUnder(body)
	if o := ask(other); !isHeldBack(o) || w.site.endedUnder(body) != ended {
		t.Errorf("%s got status %d for the call that %s had reported, %s; %d servers ended, then %d", other.name, o.status, reporter.name, o.body, ended, w.site.endedUnder(body))
	}
}
