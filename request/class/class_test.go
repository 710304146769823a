package class

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of checks of rapid unless flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// referenceMatch applies the matching rule of the design page to one route after the
// other.
func referenceMatch(routes []Route, method, host, path string) *Route {
	var best *Route
	rank := func(r *Route) int {
		return 4*len(r.PathPrefix) + 2*min(len(r.Host), 1) + min(len(r.Methods), 1)
	}
	for i := range routes {
		r := &routes[i]
		p := r.PathPrefix
		prefixMatches := path == p || strings.HasPrefix(path, p) && (strings.HasSuffix(p, "/") || path[len(p)] == '/')
		if !prefixMatches || r.Host != "" && r.Host != host || len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			continue
		}
		if best == nil || rank(r) > rank(best) {
			best = r
		}
	}
	return best
}

// Guards against an index that finds another route than the matching rule, so that
// a request reaches the wrong service or class.
func TestMatchAgreesWithLinearSearch(t *testing.T) {
	path := rapid.StringMatching(`(/[ab]{0,2}){1,5}`)
	rapid.Check(t, func(rt *rapid.T) {
		var routes []Route
		for i := range rapid.IntRange(0, 12).Draw(rt, "routes") {
			r := Route{ID: fmt.Sprint(i), PathPrefix: path.Draw(rt, "prefix"), Host: rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "host")}
			if rapid.Bool().Draw(rt, "method") {
				r.Methods = []string{rapid.SampledFrom([]string{"GET", "POST"}).Draw(rt, "m")}
			}
			routes = append(routes, r)
		}
		table := NewRouteTable(routes)
		for range 5 {
			p, host := path.Draw(rt, "path"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "caller host")
			want := referenceMatch(routes, "GET", host, p)
			got, ok := table.Match("GET", host+":8080", p)
			if ok != (want != nil) || ok && got.Route.ID != want.ID {
				rt.Fatalf("%s %s: got %+v, want %+v", host, p, got.Route, want)
			}
		}
	})
}

// Guards against a separate group for each identifier in a path.
func TestPathGroup(t *testing.T) {
	for path, want := range map[string]string{
		"/guides": "", "/guides/list": "list", "/guides/42": "*", "/guides/42.pdf": "*.pdf",
		"/guides/42/pdf": "*/pdf", "/guides/a/b/c": "a/b",
	} {
		if got := PathGroup(path, len("/guides")); got != want {
			t.Errorf("PathGroup(%q) = %q, want %q", path, got, want)
		}
	}
}

// observeRounds observes n durations of each of two groups and returns the learner and
// how often a group became long or short.
func observeRounds(o LearnerOptions, n int, durationOf func(i int, group string) time.Duration) (*Learner, int) {
	l, changes := NewLearner(o), 0
	for i := range n {
		for _, g := range []string{"list", "*.pdf"} {
			before := l.IsLong("guides", g)
			l.Observe("guides", g, durationOf(i, g))
			if l.IsLong("guides", g) != before {
				changes++
			}
		}
	}
	return l, changes
}

// Guards against downloads that are classified as short work and block the work
// behind them, and against short work that is classified as long.
func TestLearner(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	jitter := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.5 + r.Float64())) }
	l, _ := observeRounds(LearnerOptions{}, 30, func(_ int, g string) time.Duration {
		if g == "list" {
			return jitter(10 * time.Millisecond)
		}
		return jitter(400 * time.Millisecond)
	})
	if l.IsLong("guides", "list") || !l.IsLong("guides", "*.pdf") || l.IsLong("other", "x") {
		t.Error("downloads of 400ms beside lists of 10ms are not distinguished")
	}
	// When all paths slow down together, none of the work is long.
	l, _ = observeRounds(LearnerOptions{}, 100, func(_ int, _ string) time.Duration { return jitter(400 * time.Millisecond) })
	if l.IsLong("guides", "list") || l.IsLong("guides", "*.pdf") {
		t.Error("work is classified as long although the whole service is slow")
	}
	// A group that became fast is short again.
	l, _ = observeRounds(LearnerOptions{}, 700, func(i int, g string) time.Duration {
		if g == "list" || i > 100 {
			return jitter(10 * time.Millisecond)
		}
		return jitter(400 * time.Millisecond)
	})
	if l.IsLong("guides", "*.pdf") {
		t.Error("a group stays long after it became fast")
	}
}

// Guards against a group near the threshold that alternates between long and short,
// so that the load of both kinds of work keeps changing.
func TestLearnerHysteresis(t *testing.T) {
	nearThreshold := func(i int, g string) time.Duration {
		if g == "list" {
			return 10 * time.Millisecond
		}
		return []time.Duration{60, 130}[i/100%2] * time.Millisecond
	}
	if _, n := observeRounds(LearnerOptions{}, 4000, nearThreshold); n > 2 {
		t.Errorf("%d changes between long and short", n)
	}
	if _, n := observeRounds(LearnerOptions{noHysteresis: true}, 4000, nearThreshold); n <= 2 {
		t.Errorf("%d changes without hysteresis: the scenario proves nothing", n)
	}
}

// Guards against memory that grows with the paths that callers make up, or with routes
// that no longer exist.
func TestLearnerIsBounded(t *testing.T) {
	l := NewLearner(LearnerOptions{MaxGroups: 8})
	for i := range 10_000 {
		l.Observe("r", fmt.Sprint("g", i), time.Millisecond)
	}
	if n := len(l.routes["r"].groups); n > 8 {
		t.Errorf("%d groups kept", n)
	}
	l.Prune(func(string) bool { return false })
	if len(l.routes) != 0 {
		t.Error("removed routes are kept")
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{100, 700, 2200} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			var routes []Route
			for i := range n {
				routes = append(routes, Route{ID: fmt.Sprint(i), Host: fmt.Sprintf("s%d.example", i/16),
					PathPrefix: fmt.Sprintf("/api/v1/things%d", i), Methods: []string{"GET"}})
			}
			t := NewRouteTable(routes)
			r := &routes[n/2]
			path := r.PathPrefix + "/4711/detail"
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := t.Match("GET", r.Host, path); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}

func BenchmarkLearnerObserve(b *testing.B) {
	for _, n := range []int{8, 64, 256} {
		b.Run(fmt.Sprintf("groups=%d", n), func(b *testing.B) {
			l := NewLearner(LearnerOptions{})
			groups := make([]string, n)
			for i := range groups {
				groups[i] = fmt.Sprint("g", i)
			}
			for i := 0; b.Loop(); i++ {
				l.Observe("r", groups[i%n], 10*time.Millisecond)
			}
		})
	}
}
