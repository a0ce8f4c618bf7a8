// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	standin "havenwinch.dev/havenwinch/standin/engine"
	"havenwinch.dev/havenwinch/tests/single"
)

// percentile sorts the list in place and returns its p-quantile, zero for no values.
func percentile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[int(p*float64(len(list)-1))]
}

// timedRequest sends a chat request, reads the whole answer and returns the time taken
// and the status.
func timedRequest(client *http.Client, url, body string) (time.Duration, int, error) {
	begin := time.Now()
	req, err := http.NewRequest("POST", url, strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+single.Key)
	req.Header.Set("X-Request-Id", fmt.Sprint(rand.Int63()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return time.Since(begin), resp.StatusCode, err
}

// BenchmarkOverhead alternates between a request through the box, with its reservation
// and bill in a ledger, and the same request sent directly to the engine, and reports
// the difference. The engine answers without delay. The ledger's disk is in memory;
// BenchmarkLedgerOnDisk measures the cost of a sync.
func BenchmarkOverhead(b *testing.B) {
	instant := standin.Options{Slots: 64, PrefillPerSecond: 1 << 30, CacheBlocks: 64}
	for _, mode := range []string{"whole", "streamed"} {
		b.Run(mode, func(b *testing.B) {
			s := single.New(b, single.Options{Tokens: 1 << 40, Engines: []standin.Options{instant}})
			direct := httptest.NewServer(s.Engines[0].Handler())
			defer direct.Close()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
			body := chat("hello", 16, fmt.Sprintf(`,"stream":%v`, mode == "streamed"))
			var through, straight []time.Duration
			for b.Loop() {
				d, status, err := timedRequest(client, s.URL+chatPath, body)
				if err != nil || status != 200 {
					b.Fatal(status, err)
				}
				through = append(through, d)
				if d, _, err = timedRequest(client, direct.URL+chatPath, body); err != nil {
					b.Fatal(err)
				}
				straight = append(straight, d)
			}
			for name, p := range map[string]float64{"p50": 0.5, "p99": 0.99} {
				over := percentile(through, p) - percentile(straight, p)
				b.ReportMetric(float64(over.Microseconds()), "added-us-"+name)
				b.ReportMetric(float64(percentile(straight, p).Microseconds()), "direct-us-"+name)
			}
		})
	}
}

// BenchmarkThroughput sends requests that aren't streamed from many callers at once.
func BenchmarkThroughput(b *testing.B) {
	instant := standin.Options{Slots: 512, PrefillPerSecond: 1 << 30, CacheBlocks: 64}
	s := single.New(b, single.Options{Tokens: 1 << 50, Engines: []standin.Options{instant, instant}})
	s.Command("rollout target-slots = 256")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	body := chat("hello", 16, "")
	b.SetParallelism(4)
	begin := time.Now()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, status, err := timedRequest(client, s.URL+chatPath, body); err != nil || status != 200 {
				b.Error(status, err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/time.Since(begin).Seconds(), "requests/s")
}

// BenchmarkStreamedEvents measures the cost of one event of a long stream, including
// the engine and the caller.
func BenchmarkStreamedEvents(b *testing.B) {
	instant := standin.Options{Slots: 64, PrefillPerSecond: 1 << 30, CacheBlocks: 64}
	const words = 5000
	s := single.New(b, single.Options{Tokens: 1 << 50, Engines: []standin.Options{instant}})
	client := &http.Client{}
	body := chat("hello", words, `,"stream":true`)
	begin := time.Now()
	n := 0
	for b.Loop() {
		if _, status, err := timedRequest(client, s.URL+chatPath, body); err != nil || status != 200 {
			b.Fatal(status, err)
		}
		n++
	}
	b.ReportMetric(float64(time.Since(begin).Nanoseconds())/float64(n*words), "ns/event")
}

// BenchmarkMemoryGrowth sends 180,000 requests and reports the heap after 20,000,
// 100,000 and 180,000 of them. Records are kept for the key window; it is short here
// so that growth means a leak rather than retained records.
func BenchmarkMemoryGrowth(b *testing.B) {
	instant := standin.Options{Slots: 512, PrefillPerSecond: 1 << 30, CacheBlocks: 64, Retention: time.Second}
	for b.Loop() {
		s := single.New(b, single.Options{Tokens: 1 << 50, Engines: []standin.Options{instant}, Window: time.Second})
		s.Command("rollout target-slots = 256")
		send := func(n int) {
			var wg sync.WaitGroup
			for w := range 16 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
					for i := range n / 16 {
						_, _, _ = timedRequest(client, s.URL+chatPath, chat(fmt.Sprint("hello ", w, i), 2, ""))
					}
				}()
			}
			wg.Wait()
			time.Sleep(5 * time.Second)
		}
		send(20_000)
		before := heap()
		send(80_000)
		b.ReportMetric(float64(before)/(1<<20), "MB-after-20k")
		b.ReportMetric(float64(heap())/(1<<20), "MB-after-100k")
		send(80_000)
		b.ReportMetric(float64(heap())/(1<<20), "MB-after-180k")
	}
}

// heap returns the bytes on the heap after a garbage collection.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkOverload offers a multiple of the capacity of two engines, a third of it
// interactive, and counts the complete answers that arrive in time.
func BenchmarkOverload(b *testing.B) {
	engine := standin.Options{Slots: 8, PrefillPerSecond: 100_000, TokenTime: 5 * time.Millisecond, CacheBlocks: 64}
	const tokens, wait, run = 40, 2 * time.Second, 8 * time.Second
	capacity := 2 * 8 / (tokens * 0.0053)
	for _, load := range []float64{0.5, 1, 2, 5} {
		b.Run(fmt.Sprintf("load=%g", load), func(b *testing.B) {
			for b.Loop() {
				s := single.New(b, single.Options{Tokens: 1 << 40, Engines: []standin.Options{engine, engine}})
				s.Command("rollout target-slots = 8")
				s.Command("rollout interactive-slots = 2")
				offer(b, s, capacity*load, run, wait, tokens)
			}
		})
	}
}

// offer sends requests at a constant rate, regardless of how many are in progress,
// and reports the outcomes.
func offer(b *testing.B, s *single.Single, perSecond float64, run, wait time.Duration, tokens int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var refusals, urgent []time.Duration
	useful, late, all, batch := 0, 0, 0, 0
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	rng := rand.New(rand.NewSource(1))
	begin := time.Now()
	for n := 0; time.Since(begin) < run; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))))
		interactive := rng.Intn(3) == 0
		wg.Add(1)
		go func() {
			defer wg.Done()
			sent := time.Now()
			status := sendOffered(client, s.URL, chat(fmt.Sprint("overload ", n), tokens, ""), interactive, wait)
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			all++
			switch {
			case status == 200 && took <= wait:
				useful++
				if interactive {
					urgent = append(urgent, took)
				} else {
					batch++
				}
			case status == 429:
				refusals = append(refusals, took)
			default:
				late++
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(float64(useful)/run.Seconds(), "useful/s")
	b.ReportMetric(float64(batch)/run.Seconds(), "useful-batch/s")
	b.ReportMetric(float64(all), "offered")
	b.ReportMetric(float64(len(refusals)), "refused")
	b.ReportMetric(float64(late), "late-or-failed")
	b.ReportMetric(float64(percentile(refusals, 0.50).Microseconds())/1000, "refusal-ms-p50")
	b.ReportMetric(float64(percentile(refusals, 0.99).Microseconds())/1000, "refusal-ms-p99")
	queued := 0
	for _, d := range refusals {
		if d > 100*time.Millisecond {
			queued++
		}
	}
	b.ReportMetric(float64(queued), "given-up-in-queue")
	b.ReportMetric(float64(percentile(urgent, 0.95).Microseconds())/1000, "interactive-ms-p95")
}

// sendOffered sends one request and returns the status, 0 if there was no answer.
func sendOffered(client *http.Client, url, body string, interactive bool, wait time.Duration) int {
	req, err := http.NewRequest("POST", url+chatPath, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+single.Key)
	req.Header.Set("Prefer", fmt.Sprintf("wait=%d", int(wait.Seconds())))
	if !interactive {
		req.Header.Set("Priority", "u=5")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
