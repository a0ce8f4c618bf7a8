// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command 1 shows that control never has a leader again, and with it the acknowledged configuration never
// comes back, after the loss of one disk when a member that was added later has lost its disk once before.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"havenwinch.dev/havenwinch/review/rig"
)

const (
	service = "memory-api"
	// successorAfter is how long after a machine of the core has gone its empty successor comes.
	successorAfter = 2 * time.Second
	// down is how long a process is down at a kill.
	down = 800 * time.Millisecond
	// calm is how long nothing is disturbed in between, longer than catch_up_s.
	calm = 10 * time.Second
	// recover is recover_s, and readFor how long the operator reads after that.
	recoverTime = 12 * time.Second
	readFor     = 15 * time.Second
	callLimit   = 1500 * time.Millisecond
)

func main() {
	broken, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("BROKEN")
		os.Exit(1)
	}
	fmt.Println("HELD")
}

func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "hostname": "boka40.example", "path_prefix": fmt.Sprintf("/puxa%d/", version), "type": "safe", "timeout_ms": 4000, "target_latency_ms": 300,
			"priority": 2, "service": service, "max_attempts": 2, "public": true, "session_affinity": false, "stream_resume": false,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func run(folder string, trouble bool) (bool, error) {
	record, err := rig.NewRecord(folder + "/record.txt")
	if err != nil {
		return false, err
	}
	d, err := rig.New(record, 3, 1)
	if err != nil {
		return false, err
	}
	defer d.Close()
	spare := d.Spare()
	if err := d.StartAll(); err != nil {
		return false, err
	}
	if err := d.PutConfiguration(configuration(7)); err != nil {
		return false, err
	}
	if err := d.StartServer(&rig.Server{Service: service, Zone: d.Zone(0), Slots: 6, Work: 20 * time.Millisecond}); err != nil {
		return false, err
	}
	if err := d.AwaitReady(d.Entry[0], 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(calm)
	if trouble {
		if err := disturb(d, spare); err != nil {
			return false, err
		}
	}
	if err := d.PutConfiguration(configuration(8)); err != nil {
		return false, err
	}
	if trouble {
		// The final fault: every process of the core is killed, and one machine loses its disk.
		if err := killAll(d, d.Control[0]); err != nil {
			return false, err
		}
	}
	return !isReadBack(d, 8), nil
}

// disturb takes one machine of the core away for good, lets an empty one take its place, and later lets that one
// lose its disk.
func disturb(d *rig.Deployment, added *rig.Box) error {
	gone := d.Control[2]
	d.Signal(gone, syscall.SIGKILL)
	gone.Await()
	time.Sleep(successorAfter)
	if err := d.Start(added); err != nil {
		return err
	}
	d.Control = []*rig.Box{d.Control[0], d.Control[1], added}
	time.Sleep(calm)
	d.Signal(added, syscall.SIGKILL)
	added.Await()
	d.LoseDisk(added)
	time.Sleep(down)
	if err := d.Start(added); err != nil {
		return err
	}
	time.Sleep(calm)
	return nil
}

func killAll(d *rig.Deployment, wiped *rig.Box) error {
	for _, b := range d.Control {
		d.Signal(b, syscall.SIGKILL)
	}
	for _, b := range d.Control {
		b.Await()
	}
	d.LoseDisk(wiped)
	time.Sleep(down)
	for _, b := range d.Control {
		if err := d.Start(b); err != nil {
			return err
		}
	}
	return nil
}

// isReadBack reports whether the operator reads a configuration back that is not older than the given one.
func isReadBack(d *rig.Deployment, version int) bool {
	began := time.Now()
	reads, refused := 0, 0
	for time.Since(began) < recoverTime+readFor {
		for _, b := range d.Control {
			status, body := rig.Call(b, http.MethodGet, "/api/configuration", nil, callLimit)
			var c struct {
				Version int `json:"version"`
			}
			reads++
			if status == http.StatusOK && json.Unmarshal(body, &c) == nil {
				d.Record.Add("%s gives configuration %d, %d ms after the fault", b.Name, c.Version, time.Since(began).Milliseconds())
				return c.Version >= version
			}
			if reads%20 == 1 {
				d.Record.Add("read at %s: %d %s", b.Name, status, body)
			}
			refused++
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.Record.Add("CONFIG broken: configuration %d was acknowledged; none of %d reads brought a configuration until %d s after all machines were back", version, refused, int(time.Since(began).Seconds()))
	return false
}
