package questionnaire

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/finding"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// Generate derives a configuration from a questionnaire. A comment on each
// derived value names the answers it comes from. When there are findings,
// Generate returns no configuration.
func Generate(file string, data []byte) ([]byte, finding.List) {
	a, list := Parse(file, data)
	if len(list) > 0 {
		return nil, list
	}
	g := generator{}
	g.printf("# Configuration of %s, generated from a questionnaire.\n", a.Organisation)
	g.printf("# Change the answers and generate it again instead of editing it.\n\n")
	if a.CustomerHeader != "" {
		g.value("", "customer_header", quote(a.CustomerHeader), "customer_header")
	}
	for i := range a.Services {
		g.service(&a.Services[i])
	}
	for i := range a.Services {
		g.routes(&a.Services[i])
	}
	return []byte(g.text.String()), nil
}

// generator writes the text of a configuration.
type generator struct{ text strings.Builder }

func (g *generator) printf(format string, args ...any) { fmt.Fprintf(&g.text, format, args...) }

// value writes one setting and, as a comment, the answers that it comes from.
func (g *generator) value(indent, key, value, from string) {
	g.printf("%s%s = %s # from %s\n", indent, key, value, from)
}

func (g *generator) service(s *Service) {
	totalSlots := float64(s.Instances * s.SlotsPerInstance)
	usual, peak := s.slotsNeeded()
	g.printf("\n# %s\n", s.Purpose)
	g.printf("# %s instances of %s slots; usual demand keeps %.1f slots busy, peak demand %.1f (%.0f %% of all).\n",
		formatNumber(float64(s.Instances)), formatNumber(float64(s.SlotsPerInstance)), usual, peak, 100*peak/totalSlots)
	g.printf("[services.%s]\n", s.Name)
	g.value("", "floor", formatNumber(s.floor()), fmt.Sprintf("instances = %v, instances_out = %v: %v always stay in use",
		s.Instances, s.InstancesOut, s.Instances-s.InstancesOut))
	g.value("", "slow_start", quoteDuration(s.WarmUp), "warm_up")
	if s.HealthPath != "" {
		g.value("", "probe_path", quote(s.HealthPath), "health_path")
	}
	limit, source := s.queueLimit()
	g.value("", "queue_limit", strconv.Itoa(limit), source)
	if s.MostPerSecond > 0 {
		g.value("", "max_rate", formatNumber(s.MostPerSecond), "most_per_second")
	}
	if s.MostAtOnce > 0 {
		g.value("", "max_concurrency", formatNumber(float64(s.MostAtOnce)), "most_at_once")
	}
	g.customerLimits(s)
	for i := range s.Work {
		g.class(s.Name, &s.Work[i])
	}
}

// floor returns the share of instances that always stay in use, rounded down so
// that ceil(floor × instances) is exactly their number. In floating point,
// 0.56 × 25 is 14.000000000000002; in such a case floor is one step lower.
func (s *Service) floor() float64 {
	const steps = 1e6
	kept, total := float64(s.Instances-s.InstancesOut), float64(s.Instances)
	n := math.Floor(kept / total * steps)
	if math.Ceil(n/steps*total) > kept {
		n--
	}
	return n / steps
}

// queueLimit returns the number of requests that a target with full slots can
// start within the longest wait (slots × wait ÷ typical duration), and the
// answers that it comes from.
func (s *Service) queueLimit() (int, string) {
	if s.WhenFull == Refuse {
		// 0 would select the configuration's default.
		return 1, "when_full = refuse: the least possible queue"
	}
	typical := s.meanTypical()
	limit := float64(s.SlotsPerInstance) * checkedDuration(s.LongestWait).Seconds() / typical.Seconds()
	const maxQueue = 1000 // bounds the queue's memory when work is very short
	return int(min(max(math.Floor(limit), 1), maxQueue)), fmt.Sprintf(
		"longest_wait = %s, slots_per_instance = %v, typical of short work (mean %s)", s.LongestWait, s.SlotsPerInstance,
		typical.Round(100*time.Microsecond))
}

// meanTypical returns the mean typical duration, weighted by peak demand. It
// leaves out long work when there is other work, since long work is queued
// separately.
func (s *Service) meanTypical() time.Duration {
	mean := func(include func(Work) bool) (d time.Duration, ok bool) {
		weighted, demand := 0.0, 0.0
		for _, w := range s.Work {
			if include(w) {
				weighted += w.PeakDemand * checkedDuration(w.Typical).Seconds()
				demand += w.PeakDemand
			}
		}
		return time.Duration(weighted / demand * float64(time.Second)), demand > 0
	}
	if d, ok := mean(func(w Work) bool { return w.Runs != Long }); ok {
		return max(d, time.Microsecond)
	}
	d, _ := mean(func(Work) bool { return true }) // not 0 / 0, as Parse requires a peak demand
	return max(d, time.Microsecond)
}

func (g *generator) customerLimits(s *Service) {
	if s.CustomerPercent == 0 {
		return
	}
	peak := 0.0
	for _, w := range s.Work {
		peak += w.PeakDemand
	}
	share := s.CustomerPercent / 100
	rate := max(math.Ceil(peak*share), 1)
	slots := max(math.Ceil(float64(s.Instances*s.SlotsPerInstance)*share), 1)
	from := fmt.Sprintf("customer_percent = %s of ", formatNumber(s.CustomerPercent))
	g.value("", "customer_rate", formatNumber(rate), from+fmt.Sprintf("the sum of peak_demand (%s)", formatNumber(peak)))
	g.value("", "customer_burst", formatNumber(2*rate), "customer_rate: two seconds of it")
	g.value("", "customer_concurrency", formatNumber(slots),
		from+fmt.Sprintf("instances × slots_per_instance (%v)", s.Instances*s.SlotsPerInstance))
}

func (g *generator) class(service string, w *Work) {
	g.printf("\n# %s\n[services.%s.classes.%s]\n", w.Purpose, service, w.Name)
	priority := config.PriorityInteractive
	from := "twice_hurts = no"
	switch {
	case w.TwiceHurts == Yes:
		priority, from = config.PriorityOrder, "twice_hurts = yes: orders and payments go first"
	case w.Runs == Long:
		priority, from = config.PriorityBackground, "twice_hurts = no, runs = long: gives way to short work"
	}
	g.value("", "priority", quote(string(priority)), from)
	g.value("", "deadline", quoteDuration(w.Longest), "longest")
	g.value("", "idempotent", strconv.FormatBool(w.TwiceHurts == No), "twice_hurts = "+string(w.TwiceHurts))
	if w.Runs == Long {
		g.value("", "long", "true", "runs = long")
	}
	if w.Runs == Mixed {
		g.value("", "learn", "true", "runs = mixed")
	}
	if w.LargestRequestKiB > 0 {
		g.value("", "max_body", formatNumber(float64(w.LargestRequestKiB)*1024), fmt.Sprintf(
			"largest_request_kib = %v", w.LargestRequestKiB))
	}
}

func (g *generator) routes(s *Service) {
	for _, w := range s.Work {
		for i, path := range w.Paths {
			g.printf("\n[[routes]]\n")
			g.value("", "id", quote(routeID(s.Name, w.Name, i)), "the names of service and work")
			if s.Host != "" {
				g.value("", "host", quote(s.Host), "host")
			}
			g.value("", "path_prefix", quote(path), "paths")
			if len(w.Methods) > 0 {
				methods := slices.Clone(w.Methods)
				g.value("", "methods", formatAnswer(&methods), "methods")
			}
			g.value("", "service", quote(s.Name), "the name of the service")
			g.value("", "class", quote(w.Name), "the name of the work")
		}
	}
}

func routeID(service, work string, index int) string {
	id := service + "-" + work
	if index > 0 {
		id += "-" + strconv.Itoa(index+1)
	}
	return id
}

func quoteDuration(text string) string { return quote(checkedDuration(text).String()) }
