// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"havenwinch.dev/havenwinch/modules/disk"
	"havenwinch.dev/havenwinch/modules/disk/disktest"
)

var errFull = errors.New("no space left on device")

func open(t *testing.T, d disk.Disk) (*Log, []string) {
	t.Helper()
	l, content, err := Open(d)
	if err != nil {
		t.Fatal(err)
	}
	records := []string{}
	if content.Snapshot != nil {
		records = append(records, "snapshot "+string(content.Snapshot))
	}
	for _, r := range content.Records {
		records = append(records, string(r))
	}
	return l, records
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestRecoveryAfterDiskFault checks which records Open returns after a crash, an
// incomplete write, a full disk and a compaction.
func TestRecoveryAfterDiskFault(t *testing.T) {
	tests := map[string]struct {
		fault func(t *testing.T, d *disktest.Memory, l *Log) *disktest.Memory
		want  []string
	}{
		"crash loses unsynced records": {
			func(t *testing.T, d *disktest.Memory, l *Log) *disktest.Memory {
				_, err := l.file.Write(encode(nil, []byte("three")))
				must(t, err)
				return d.Crash(0)
			},
			[]string{"one", "two"},
		},
		"torn record is truncated": {
			func(t *testing.T, d *disktest.Memory, l *Log) *disktest.Memory {
				_, err := l.file.Write(encode(nil, []byte("three")))
				must(t, err)
				return d.Crash(10)
			},
			[]string{"one", "two"},
		},
		"torn header is truncated": {
			func(t *testing.T, d *disktest.Memory, l *Log) *disktest.Memory {
				_, err := l.file.Write(encode(nil, []byte("three")))
				must(t, err)
				return d.Crash(3)
			},
			[]string{"one", "two"},
		},
		"full disk stops the log and keeps synced records": {
			func(t *testing.T, d *disktest.Memory, l *Log) *disktest.Memory {
				d.SetError(errFull)
				if err := l.Append([]byte("three")); err == nil {
					t.Error("Append() on a full disk succeeded")
				}
				d.SetError(nil)
				if err := l.Append([]byte("four")); err == nil {
					t.Error("Append() succeeded after an earlier write error")
				}
				return d.Crash(0)
			},
			[]string{"one", "two"},
		},
		"snapshot replaces earlier records": {
			func(t *testing.T, d *disktest.Memory, l *Log) *disktest.Memory {
				must(t, l.Compact([]byte("state"), []byte("rest")))
				must(t, l.Append([]byte("new")))
				return d.Crash(0)
			},
			[]string{"snapshot state", "rest", "new"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := disktest.New()
			l, _ := open(t, d)
			must(t, l.Append([]byte("one"), []byte("two")))
			after := test.fault(t, d, l)
			again, got := open(t, after)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			// A log that was opened after a fault must accept new records.
			must(t, again.Append([]byte("later")))
			if _, got := open(t, after.Crash(0)); got[len(got)-1] != "later" {
				t.Errorf("after the fault the log holds %q, want the appended record last", got)
			}
		})
	}
}

func TestCorruptedRecordIsReported(t *testing.T) {
	for name, fromEnd := range map[string]int{"in the first record": 20, "in a length": 32 + 3} {
		t.Run(name, func(t *testing.T) {
			d := disktest.New()
			l, _ := open(t, d)
			must(t, l.Append([]byte("first"), []byte("second"), []byte("third")))
			d.Flip("log-00000000", fromEnd)
			if _, _, err := Open(d.Crash(0)); !IsErrCorrupted(err) {
				t.Errorf("got %v, want ErrCorrupted", err)
			}
		})
	}
}

func TestCommitterSharesSyncs(t *testing.T) {
	d := disktest.New()
	l, _ := open(t, d)
	c := NewCommitter(l)
	var wg sync.WaitGroup
	const writers = 64
	for i := range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			position := c.Queue(fmt.Appendf(nil, "%d", i))
			if err := c.Wait(context.Background(), position); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	if got := c.Syncs(); got > writers {
		t.Errorf("%d syncs for %d records, want no more than one per record", got, writers)
	}
	must(t, c.Compact([]byte("all")))
	must(t, c.Wait(context.Background(), c.Queue([]byte("more"))))
	must(t, c.Close())
	if _, got := open(t, d.Crash(0)); len(got) != 2 {
		t.Errorf("got %q, want a snapshot and one record", got)
	}
}

func TestCommitterFailsAllWaitersAfterWriteError(t *testing.T) {
	d := disktest.New()
	l, _ := open(t, d)
	c := NewCommitter(l)
	d.SetError(errFull)
	for range 3 {
		if err := c.Wait(context.Background(), c.Queue([]byte("lost"))); err == nil {
			t.Fatal("Wait() reported a record as durable although it could not be written")
		}
	}
	if c.Err() == nil {
		t.Error("Err() = nil after a write error")
	}
}

// Guards against records that are lost without a word: a log that was compacted and whose file is gone.
func TestLostLogFileIsReported(t *testing.T) {
	d := disktest.New()
	l, _ := open(t, d)
	must(t, l.Compact([]byte("state"), []byte("first")))
	must(t, l.Append([]byte("second")))
	must(t, d.Remove("log-00000001"))
	if _, content, err := Open(d); !IsErrCorrupted(err) {
		t.Errorf("got %v and %d records, want ErrCorrupted", err, len(content.Records))
	}
}
