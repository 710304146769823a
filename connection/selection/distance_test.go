package selection

import "testing"

// Guards against large answers that cross failure domains, whose bytes are paid
// for, and against small work that stays at a loaded target next door.
func TestDistanceFollowsTheBytes(t *testing.T) {
	remote := func(distance float64) (n int) {
		s := selector(Options{}, candidates(8, 2))
		for _, c := range s.Subset("svc") {
			if c.Domain == "d0" {
				for range 4 { // 4 of 6 slots in use
					s.Started(c.Target, false)
				}
			}
		}
		for range 200 {
			c, ok := s.Pick(start, Query{Service: "svc", RemoteCostFactor: distance}, healthy)
			if !ok {
				t.Fatal("no target")
			}
			if c.Domain != "d0" {
				n++
			}
		}
		return n
	}
	if n := remote(4); n != 0 {
		t.Errorf("%d of 200 large answers cross failure domains", n)
	}
	if n := remote(0.4); n < 150 {
		t.Errorf("only %d of 200 small exchanges leave the loaded failure domain", n)
	}
}
