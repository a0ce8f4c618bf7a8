// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rig2

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the file record.txt of a case: what was sent, answered and run, with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// OpenRecord opens the record of a case in its folder, which is the first argument of the program.
func OpenRecord() (*Record, error) {
	folder := "."
	if len(os.Args) > 1 {
		folder = os.Args[1]
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Now returns the time since the start.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Verdict writes the verdict of a case, also to the standard output, and returns the exit code.
func (r *Record) Verdict(broken bool, format string, args ...any) int {
	text, code := "rule held: ", Held
	if broken {
		text, code = "rule broken: ", Broken
	}
	text += fmt.Sprintf(format, args...)
	r.Printf("%s", text)
	fmt.Println(text)
	return code
}

// HasTrouble reports whether the case is played with its disruption.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case and exits with its code.
func Main(play func(r *Record) (int, error)) {
	r, err := OpenRecord()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	code, err := play(r)
	if err != nil {
		r.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = NotRun
	}
	_ = r.file.Close()
	os.Exit(code)
}
