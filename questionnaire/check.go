package questionnaire

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds of answers. Durations follow those of version/config.
const (
	minDuration  = time.Millisecond
	maxDuration  = 24 * time.Hour
	maxCount     = 1_000_000
	maxDemand    = 10_000_000 // requests/s
	maxTextBytes = 400
	maxNameBytes = 63
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)
	headerPattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}$")
	hostPattern   = regexp.MustCompile(`^[A-Za-z0-9.:\[\]-]{1,255}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// checker checks answers and reports findings through addFinding.
type checker struct {
	addFinding func(key, format string, args ...any)
}

func (c checker) answers(a *Answers) {
	c.text("organisation", a.Organisation)
	if a.CustomerHeader != "" {
		c.report("customer_header", checkHeader(a.CustomerHeader))
	}
	if len(a.Services) == 0 {
		c.addFinding("services", "not answered: want at least one service")
	}
	names, pathOwners := map[string]bool{}, map[string]string{}
	for i := range a.Services {
		s := &a.Services[i]
		key := fmt.Sprintf("services[%d]", i)
		c.service(key, s)
		if s.Name != "" && names[s.Name] {
			c.addFinding(key+".name", "service %q is described twice", s.Name)
		}
		names[s.Name] = true
		c.duplicatePaths(key, s, pathOwners)
	}
	c.routeNames(a)
}

func (c checker) service(key string, s *Service) {
	c.name(key+".name", s.Name)
	c.text(key+".purpose", s.Purpose)
	if s.Host != "" && !hostPattern.MatchString(s.Host) {
		c.addFinding(key+".host", "%q is not a host name", s.Host)
	}
	c.count(key+".instances", s.Instances, 1)
	c.count(key+".slots_per_instance", s.SlotsPerInstance, 1)
	c.count(key+".instances_out", s.InstancesOut, 0)
	if s.Instances >= 1 && s.InstancesOut >= s.Instances {
		c.addFinding(key+".instances_out", "is %v of %v instances: at least one must stay", s.InstancesOut, s.Instances)
	}
	c.duration(key+".warm_up", s.WarmUp)
	if s.HealthPath != "" {
		c.report(key+".health_path", checkPath(s.HealthPath))
	}
	switch s.WhenFull {
	case Refuse:
	case Wait:
		c.duration(key+".longest_wait", s.LongestWait)
	default:
		c.choice(key+".when_full", string(s.WhenFull), "refuse or wait")
	}
	if !(s.CustomerPercent >= 0 && s.CustomerPercent <= 100) {
		c.addFinding(key+".customer_percent", "is %v, want 0 to 100", s.CustomerPercent)
	}
	c.demand(key+".most_per_second", s.MostPerSecond)
	c.count(key+".most_at_once", s.MostAtOnce, 0)
	if len(s.Work) == 0 {
		c.addFinding(key+".work", "not answered: want at least one kind of work")
	}
	names := map[string]bool{}
	for i := range s.Work {
		w := &s.Work[i]
		workKey := fmt.Sprintf("%s.work[%d]", key, i)
		c.work(workKey, w)
		if w.Name != "" && names[w.Name] {
			c.addFinding(workKey+".name", "work %q is described twice", w.Name)
		}
		names[w.Name] = true
	}
	c.capacity(key, s)
}

func (c checker) work(key string, w *Work) {
	c.name(key+".name", w.Name)
	c.text(key+".purpose", w.Purpose)
	if len(w.Paths) == 0 {
		c.addFinding(key+".paths", "not answered: want at least one path")
	}
	for _, path := range w.Paths {
		c.report(key+".paths", checkPath(path))
	}
	for i, method := range w.Methods {
		if !methodPattern.MatchString(method) || slices.Contains(w.Methods[:i], method) {
			c.addFinding(key+".methods", "%q: want distinct methods in upper case, such as GET", method)
		}
	}
	if w.TwiceHurts != Yes && w.TwiceHurts != No {
		c.choice(key+".twice_hurts", string(w.TwiceHurts), "yes or no")
	}
	typical, typicalOK := c.duration(key+".typical", w.Typical)
	longest, longestOK := c.duration(key+".longest", w.Longest)
	if typicalOK && longestOK && typical > longest {
		c.addFinding(key+".longest", "is %s, less than the typical %s", longest, typical)
	}
	if w.Runs != Short && w.Runs != Long && w.Runs != Mixed {
		c.choice(key+".runs", string(w.Runs), "short, long or mixed")
	}
	c.demand(key+".usual_demand", w.UsualDemand)
	c.demand(key+".peak_demand", w.PeakDemand)
	if w.PeakDemand == 0 {
		c.addFinding(key+".peak_demand", "not answered: want requests/s")
	} else if w.UsualDemand > w.PeakDemand {
		c.addFinding(key+".peak_demand", "is %v, less than the usual demand of %v", w.PeakDemand, w.UsualDemand)
	}
	c.count(key+".largest_request_kib", w.LargestRequestKiB, 0)
}

// capacity reports a service that cannot serve its usual demand while InstancesOut
// of its instances are out.
func (c checker) capacity(key string, s *Service) {
	remaining := float64(s.Instances-s.InstancesOut) * float64(s.SlotsPerInstance)
	usual, _ := s.slotsNeeded()
	if remaining > 0 && usual > remaining {
		c.addFinding(key+".instances_out", "usual demand keeps %.1f slots busy, but %v of %v instances leave only %v slots",
			usual, s.Instances-s.InstancesOut, s.Instances, remaining)
	}
}

// slotsNeeded returns the mean number of busy slots (demand times typical
// duration) at usual and at peak demand.
func (s *Service) slotsNeeded() (usual, peak float64) {
	for _, w := range s.Work {
		usual += w.UsualDemand * checkedDuration(w.Typical).Seconds()
		peak += w.PeakDemand * checkedDuration(w.Typical).Seconds()
	}
	return usual, peak
}

// duplicatePaths reports paths that two kinds of work claim for the same host and
// method. Owners holds the work that claims each host, path and method so far.
func (c checker) duplicatePaths(key string, s *Service, owners map[string]string) {
	for i, w := range s.Work {
		methods := w.Methods
		if len(methods) == 0 {
			methods = []string{""}
		}
		for _, path := range w.Paths {
			for _, method := range methods {
				rule := strings.ToLower(s.Host) + " " + path + " " + method
				if other, ok := owners[rule]; ok {
					c.addFinding(fmt.Sprintf("%s.work[%d].paths", key, i), "%s %q belongs to %s as well", method, path, other)
				}
				owners[rule] = s.Name + "/" + w.Name
			}
		}
	}
}

// routeNames reports route names, joined from the names of service and work, that
// are too long or used twice.
func (c checker) routeNames(a *Answers) {
	used := map[string]bool{}
	for i := range a.Services {
		for j := range a.Services[i].Work {
			w := &a.Services[i].Work[j]
			key := fmt.Sprintf("services[%d].work[%d].name", i, j)
			for k := range w.Paths {
				id := routeID(a.Services[i].Name, w.Name, k)
				if len(id) > maxNameBytes {
					c.addFinding(key, "the route name %q is longer than %d bytes", id, maxNameBytes)
				}
				if used[id] {
					c.addFinding(key, "the route name %q is used twice", id)
				}
				used[id] = true
			}
		}
	}
}

// report adds an error, if there is one, as a finding.
func (c checker) report(key string, err error) {
	if err != nil {
		c.addFinding(key, "%v", err)
	}
}

func (c checker) text(key, value string) { c.report(key, checkText(value)) }
func (c checker) name(key, value string) { c.report(key, checkName(value)) }

// choice reports a value that is none of the wanted choices.
func (c checker) choice(key, value, want string) {
	if value == "" {
		c.addFinding(key, "not answered: want %s", want)
		return
	}
	c.addFinding(key, "is %q, want %s", value, want)
}

func (c checker) count(key string, n Count, minimum float64) {
	value := float64(n)
	switch {
	case value == 0 && minimum > 0:
		c.addFinding(key, "not answered: want a number")
	case !(value >= minimum && value <= maxCount) || value != math.Trunc(value):
		c.addFinding(key, "is %v, want a whole number from %v to %d", value, minimum, maxCount)
	}
}

func (c checker) demand(key string, v float64) {
	if !(v >= 0 && v <= maxDemand) {
		c.addFinding(key, "is %v, want 0 to %d requests/s", v, maxDemand)
	}
}

func (c checker) duration(key, text string) (time.Duration, bool) {
	d, err := checkDuration(text)
	c.report(key, err)
	return d, err == nil
}

func checkDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, fmt.Errorf("not answered: want a time such as 250ms")
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < minDuration || d > maxDuration {
		return 0, fmt.Errorf("is %q, want 1ms to 24h with a unit, such as 250ms", text)
	}
	return d, nil
}

func checkText(s string) error {
	switch {
	case s == "":
		return fmt.Errorf("not answered")
	case len(s) > maxTextBytes:
		return fmt.Errorf("is longer than %d bytes", maxTextBytes)
	case strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f }):
		return fmt.Errorf("contains control characters; want one line")
	}
	return nil
}

func checkName(s string) error {
	switch {
	case s == "":
		return fmt.Errorf("not answered")
	case len(s) > maxNameBytes || !namePattern.MatchString(s):
		return fmt.Errorf("is %q, want lower-case letters, digits and '-', at most %d", s, maxNameBytes)
	}
	return nil
}

func checkPath(s string) error {
	switch {
	case !strings.HasPrefix(s, "/"):
		return fmt.Errorf("%q: want a path that starts with /", s)
	case strings.HasPrefix(s, "/.hyssopsill"):
		return fmt.Errorf("%q: paths below /.hyssopsill belong to the fleet", s)
	case strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		return fmt.Errorf("%q contains blanks or control characters", s)
	}
	return nil
}

func checkHeader(s string) error {
	if !headerPattern.MatchString(s) || strings.HasPrefix(strings.ToLower(s), "hyssopsill-") {
		return fmt.Errorf("%q is not a header name that customers may use", s)
	}
	return nil
}
