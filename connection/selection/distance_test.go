package selection

import "testing"

// Guards against large responses that cross failure domains, where bytes cost
// money, and against small requests that stay at loaded targets of their own
// failure domain.
func TestRemoteCostFollowsResponseSize(t *testing.T) {
	countRemote := func(costFactor float64) (count int) {
		s := newSelector(Options{}, candidates(8, 2))
		for _, choice := range s.Subset("svc") {
			if choice.Domain == "d0" {
				for range 4 { // 4 of 6 slots in use
					s.Started(start, choice.Target, false)
				}
			}
		}
		for range 200 {
			choice, ok := s.Pick(start, Query{Service: "svc", RemoteCostFactor: costFactor}, healthy)
			if !ok {
				t.Fatal("no target")
			}
			if choice.Domain != "d0" {
				count++
			}
		}
		return count
	}
	if count := countRemote(4); count != 0 {
		t.Errorf("%d of 200 large responses cross failure domains", count)
	}
	if count := countRemote(0.4); count < 150 {
		t.Errorf("only %d of 200 small requests leave the loaded failure domain", count)
	}
}
