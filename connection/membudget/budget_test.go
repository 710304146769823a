package membudget

import (
	"math/rand/v2"
	"testing"
)

const (
	testBytes    = 48 << 20
	testOrdinary = 44 << 10
	testHeavy    = 1 << 20
)

// load replays clients that hold large heads beside ordinary callers and returns the
// greatest sum of charges and the share of ordinary requests that were admitted.
// Heavy clients open connections, read their head in parts, and either run a request
// or wait. Without limits, every update is admitted.
func load(t *testing.T, seed uint64, limited bool) (peak int64, ordinaryShare float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	options := Options{Bytes: testBytes, Ordinary: testOrdinary, Connections: 2000}
	if !limited {
		options = Options{Bytes: 1 << 50, Ordinary: testOrdinary}
	}
	b := New(options)
	var heavy []*Holder
	closed := func(d Decision) {
		for _, victim := range d.Close {
			b.Release(victim)
		}
	}
	var requests, admitted int
	for range 20000 {
		if h := (&Holder{}); len(heavy) < 500 {
			d := b.Update(h, 20<<10, true)
			closed(d)
			if d.Admitted {
				heavy = append(heavy, h)
			}
		}
		if len(heavy) > 0 {
			i := random.IntN(len(heavy))
			h := heavy[i]
			switch bytes := h.bytes + random.Int64N(testHeavy/4); {
			case !h.open: // closed to make room
				heavy[i] = heavy[len(heavy)-1]
				heavy = heavy[:len(heavy)-1]
			case h.bytes > testHeavy || random.IntN(40) == 0:
				b.Release(h)
			default:
				d := b.Update(h, bytes, bytes < testHeavy)
				closed(d)
				if !d.Admitted {
					b.Release(h)
				}
			}
		}
		ordinary := &Holder{}
		d := b.Update(ordinary, 20<<10+random.Int64N(testOrdinary-20<<10), random.IntN(2) == 0)
		closed(d)
		requests++
		if d.Admitted {
			admitted++
		}
		peak = max(peak, b.used)
		b.Release(ordinary)
	}
	for _, h := range heavy {
		b.Release(h)
	}
	if s := b.Stats(); s.Used != 0 || s.Connections != 0 || b.closing != 0 || b.pending != 0 {
		t.Errorf("seed %d: after the release of all: %+v, closing %d", seed, s, b.closing)
	}
	return peak, float64(admitted) / float64(requests)
}

// Guards against clients with large heads that take the memory of the process, or the
// part of it that ordinary requests need.
func TestLargeHeadsStayWithinBudget(t *testing.T) {
	for seed := range uint64(20) {
		withLimit, served := load(t, seed, true)
		without, _ := load(t, seed, false)
		if withLimit > testBytes || served < 1 {
			t.Errorf("seed %d: peak %d of %d bytes, %.3f of the ordinary requests admitted", seed, withLimit, testBytes, served)
		}
		if without <= testBytes {
			t.Errorf("seed %d: the load needs only %d bytes without the budget", seed, without)
		}
		if seed == 0 {
			t.Logf("peak %d KiB with the budget, %d KiB without", withLimit>>10, without>>10)
		}
	}
}

// Guards against closing small connections while larger ones hold the memory.
func TestLargestIsClosedFirst(t *testing.T) {
	b := New(Options{Bytes: 100 << 10, Ordinary: 10 << 10})
	small, large, running := &Holder{}, &Holder{}, &Holder{}
	b.Update(small, 9<<10, true)
	b.Update(large, 40<<10, true)
	b.Update(running, 26<<10, false)
	d := b.Update(&Holder{}, 20<<10, true)
	if !d.Admitted || len(d.Close) != 1 || d.Close[0] != large {
		t.Errorf("decision %+v, want only the largest closed", d)
	}
	if d := b.Update(&Holder{}, 90<<10, true); d.Admitted || len(d.Close) != 0 {
		t.Errorf("a holder larger than all others: %+v, want it refused", d)
	}
}

// Guards against a bound on connections that refuses new ones while idle ones exist.
func TestOldestIdleConnectionMakesRoom(t *testing.T) {
	b := New(Options{Bytes: 1 << 20, Ordinary: 1 << 10, Connections: 3})
	var all [3]Holder
	for i := range all {
		b.Update(&all[i], 100, true)
	}
	d := b.Update(&Holder{}, 100, true)
	if !d.Admitted || len(d.Close) != 1 || d.Close[0] != &all[0] {
		t.Errorf("decision %+v", d)
	}
	if d := b.Update(&all[0], 200, true); d.Admitted {
		t.Error("a connection that is being closed got more memory")
	}
}

// Fuzzes sequences of updates and releases: charges never become negative, stay within
// the budget, and end with the holders.
func FuzzBudget(f *testing.F) {
	f.Add([]byte{0, 10, 1, 200, 0, 3, 128, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		b := New(Options{Bytes: 1000, Ordinary: 60, Connections: 6})
		var all [9]Holder
		for ; len(data) >= 2; data = data[2:] {
			h := &all[int(data[0]&15)%len(all)]
			if data[0]&32 != 0 {
				b.Release(h)
				continue
			}
			d := b.Update(h, int64(data[1])*int64(1+data[0]>>6), data[0]&16 != 0)
			if data[0]&64 == 0 {
				for _, victim := range d.Close {
					b.Release(victim)
				}
			}
			var sum, closing int64
			count := 0
			for i := range all {
				sum += all[i].bytes
				if all[i].closing {
					closing += all[i].bytes
				}
				if all[i].open {
					count++
				}
			}
			if sum != b.used || closing != b.closing || count != b.holders || b.used-b.closing > 1000 || b.holders-b.pending > 6 {
				t.Fatalf("used %d of %d, closing %d of %d, holders %d of %d", b.used, sum, b.closing, closing, b.holders, count)
			}
		}
		for i := range all {
			b.Release(&all[i])
		}
		if b.used != 0 || b.closing != 0 || b.holders != 0 || b.pending != 0 {
			t.Fatalf("after the release of all: %+v", b.Stats())
		}
	})
}
