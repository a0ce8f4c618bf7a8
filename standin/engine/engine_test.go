// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"fmt"
	"testing"
	"time"
)

// TestCancelledRunAddsNoTokens guards against a run that generates one more token after
// its cancellation was answered: the bill then lacks a token that the engine counts.
func TestCancelledRunAddsNoTokens(t *testing.T) {
	const runs = 500
	e := New(Options{Slots: runs, PrefillPerSecond: 1_000_000, TokenTime: 50 * time.Microsecond, CacheBlocks: 16})
	for i := range runs {
		started := e.Start(Prompt{ID: fmt.Sprint(i), Model: "m", Text: "a", MaxTokens: 1 << 20})
		for {
			words, _, _, changed := started.wordsAfter(0)
			if len(words) > i%8 {
				break
			}
			<-changed
		}
		run, _ := e.Cancel(started.ID)
		_, answered, _ := run.Usage()
		for {
			_, ended, _, changed := run.wordsAfter(0)
			if ended {
				break
			}
			<-changed
		}
		if _, got, _ := run.Usage(); got != answered {
			t.Fatalf("run %d has %d tokens, the answer to its cancellation says %d", i, got, answered)
		}
	}
}
