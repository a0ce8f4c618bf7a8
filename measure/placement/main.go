// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command placement compares ways to place calls with the product's own decision code
// (models/spread) over drawn deployments: numbers of boxes and engines, speeds, batches,
// chunks, caches, mixes, objectives, bursts and crashes differ from one to the next, and each
// box sees its own calls only. Time is virtual; a run is the same every time. A way that
// gains on one deployment and loses here fits that deployment.
//
// Service model: an engine makes steps; a step reads a chunk of one prompt and makes a token
// of each stream, and all streams wait for it. Shared parts of prompts are kept as long as
// memory allows. There is no preemption, and links are free.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
)

var policies = []policy{
	{name: "as the product does"},
	{name: "long prompts not apart", together: true},
	{name: "runs stay where they were read", staying: true},
	{name: "readers not asked", unasked: true},
	{name: "common parts not looked at", blind: true},
	{name: "at random", random: true},
	{name: "boxes see all calls", omniscient: true},
}

// figures are the shares in time of one deployment: of all calls, and by kind.
type figures struct {
	all    float64
	byKind []float64
}

func main() {
	count := flag.Int("deployments", 100, "how many deployments are drawn")
	first := flag.Int64("seed", 1, "seed of the first one")
	flag.Parse()
	if *count < 1 {
		fmt.Fprintln(os.Stderr, "--deployments: must be 1 at least")
		os.Exit(2)
	}
	results := make([][]figures, len(policies))
	var wait sync.WaitGroup
	for i, p := range policies {
		results[i] = make([]figures, *count)
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := range *count {
				d := draw(*first + int64(n))
				results[i][n] = measure(&d, newPlay(&d, p).run())
			}
		}()
	}
	wait.Wait()
	fmt.Printf("share of calls in time over %d drawn deployments, seeds %d to %d\n\n", *count, *first, *first+int64(*count)-1)
	fmt.Println("| policy | mean | worst tenth | long | short | verdict | better | worse |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for i, p := range policies {
		fmt.Println(row(p, results[i], results[0]))
	}
}

// measure counts the calls that were answered in time.
func measure(d *deployment, calls []*call) figures {
	f := figures{byKind: make([]float64, len(d.kinds))}
	counts := make([]float64, len(d.kinds))
	for _, c := range calls {
		counts[c.kind]++
		if c.inTime(d.kinds[c.kind]) {
			f.byKind[c.kind]++
			f.all++
		}
	}
	f.all /= float64(max(1, len(calls)))
	for k := range counts {
		f.byKind[k] /= max(1, counts[k])
	}
	return f
}

// clearly is how far the shares of a deployment must lie apart to count as better or worse.
const clearly = 0.01

// row is a line of the table: the mean and that of the worst tenth of deployments, the kinds,
// and in how many deployments the policy is clearly better or worse than the first.
func row(p policy, results, base []figures) string {
	var all []float64
	byKind := make([]float64, len(results[0].byKind))
	better, worse := 0, 0
	for i, f := range results {
		all = append(all, f.all)
		for k, share := range f.byKind {
			byKind[k] += share / float64(len(results))
		}
		if f.all > base[i].all+clearly {
			better++
		}
		if f.all < base[i].all-clearly {
			worse++
		}
	}
	slices.Sort(all)
	worst := all[:max(1, len(all)/10)]
	return fmt.Sprintf("| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %d | %d |", p.name, mean(all), mean(worst), byKind[0], byKind[1], byKind[2], better, worse)
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}
