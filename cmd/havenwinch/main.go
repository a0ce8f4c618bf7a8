// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command havenwinch is the command-line tool of operators and callers.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// Exit codes of the tool.
const (
	exitError       = 1
	exitRefused     = 2
	exitUnknown     = 3
	exitUnreachable = 4
)

// failure is an error that determines the exit code.
type failure struct {
	code    int
	message string
}

func (f *failure) Error() string { return f.message }

func main() {
	err := command().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "havenwinch:", err)
	var f *failure
	if errors.As(err, &f) {
		os.Exit(f.code)
	}
	os.Exit(exitError)
}
