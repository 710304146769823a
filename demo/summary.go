package demo

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

// Summary is the result of a run. Times are milliseconds.
type Summary struct {
	Seed              uint64               `json:"seed"`
	Seconds           float64              `json:"seconds"`
	Nodes             int                  `json:"nodes"`
	Domains           int                  `json:"domains"` // failure domains
	Requests          map[kind]RequestSums `json:"requests"`
	Detections        []Detection          `json:"detections"`
	MistakenEjections []string             `json:"mistaken_ejections"`
	Overload          Overload             `json:"crest"`
	Blocking          Blocking             `json:"blocking"`
	Config            ConfigChange         `json:"config"`
	Drain             Drain                `json:"drain"`
	Invariants        []InvariantSums      `json:"invariants"`
	Violations        []string             `json:"violations"`
	OK                bool                 `json:"ok"` // no invariant was violated
}

// RequestSums counts the requests of one kind by result.
type RequestSums struct {
	Offered    int `json:"offered"`
	InTime     int `json:"in_time"` // correct and within the deadline
	Late       int `json:"late"`    // correct, after the deadline
	NotRun     int `json:"not_run"`
	Unknown    int `json:"unknown"`
	Errors     int `json:"errors"` // error status of a target
	NoResponse int `json:"no_answer"`
	// Reasons of refusals and errors.
	Reasons map[attempt.Reason]int `json:"reasons,omitempty"`
}

// Detection describes how the entries detected one fault.
type Detection struct {
	Target  string  `json:"target"`
	Fault   string  `json:"fault"`
	FirstMS float64 `json:"first_ms,omitempty"` // until the first ejection; 0 if there was none
	// DetectedMS is the time until the target was ejected by entries that had sent it
	// 90 % of its work before the fault; 0 if the wait ended first.
	DetectedMS float64 `json:"detected_ms,omitempty"`
	Share      float64 `json:"share"` // of that work that came from the entries that ejected it
	EjectedBy  int     `json:"ejected_by"`
	Entries    int     `json:"entries"`
	Arrivals   int     `json:"arrivals"` // requests that reached the target by the end of the wait
	// ContainedMS is the time after which no more than trickle traffic reached the
	// target; 0 if it never got more.
	ContainedMS float64 `json:"contained_ms"`
	// Requests counts the requests of customers that started in this phase; InTime
	// counts those answered correctly within their deadline.
	Requests int `json:"requests"`
	InTime   int `json:"in_time"`

	phase string
}

// Overload holds the results while demand exceeds capacity and one target fails grayly.
type Overload struct {
	Seconds      float64 `json:"seconds"`
	Offered      int     `json:"offered"`
	InTime       int     `json:"in_time"`
	Capacity     float64 `json:"capacity"` // requests that the healthy targets can serve in Seconds
	Share        float64 `json:"share"`    // in time / min(offered, capacity)
	Orders       int     `json:"orders"`
	OrdersInTime int     `json:"orders_in_time"`
	NotRun       int     `json:"told_not_run"`
	Unknown      int     `json:"told_unknown"`
	NoResponse   int     `json:"without_answer"`
}

// Blocking compares the p99 of answered short work without and with downloads.
type Blocking struct {
	WithoutMS      float64 `json:"p99_without_ms"`
	WithMS         float64 `json:"p99_with_ms"`
	Ratio          float64 `json:"ratio"`
	SamplesWithout int     `json:"samples_without"`
	SamplesWith    int     `json:"samples_with"`
}

// ConfigChange describes the configuration change during the run.
type ConfigChange struct {
	Version   int64   `json:"version"`
	InForceMS float64 `json:"in_force_ms,omitempty"` // until in force on all nodes; 0 if the wait ended first
}

// Drain describes the drain of a node under load.
type Drain struct {
	Node       string  `json:"node"`
	InProgress int     `json:"in_progress"` // requests in the fleet at its start
	EndedMS    float64 `json:"ended_ms,omitempty"`
	LastWorkMS float64 `json:"last_work_ms"` // until the last request that reached the node's target
}

// InvariantSums holds the checks of one invariant.
type InvariantSums struct {
	Name    invariant.Name `json:"name"`
	Nodes   Count          `json:"nodes"`   // checked by the nodes themselves
	Outside Count          `json:"outside"` // checked at customers, targets and admin listeners
}

// fillSummary computes the summary from the recorded results.
func (s *scenario) fillSummary() {
	out := &s.summary
	out.Seed, out.Nodes, out.Domains = s.options.Seed, len(s.fleet.nodes), domains
	counts := map[string]target.Counts{}
	for _, n := range s.fleet.nodes {
		counts[n.targetID] = n.target.Counts()
	}
	s.ledger.checkExecutions(counts)
	s.sumRequests()
	s.sumOverload()
	s.sumBlocking()
	s.sumDetections()
	out.MistakenEjections = append([]string{}, s.watch.listMistakenEjections()...)
	s.sumInvariants()
	out.Seconds = time.Since(s.startedAt).Seconds()
}

func (r RequestSums) add(result result) RequestSums {
	r.Offered++
	if result.reason != attempt.ReasonNone {
		reasons := map[attempt.Reason]int{result.reason: 1}
		for reason, n := range r.Reasons {
			reasons[reason] += n
		}
		r.Reasons = reasons
	}
	switch {
	case result.isInTime():
		r.InTime++
	case result.incomplete || result.outcome == "":
		r.NoResponse++
	case result.outcome == attempt.Answered:
		r.Late++
	case result.outcome == attempt.NotRun:
		r.NotRun++
	case result.outcome == attempt.Unknown:
		r.Unknown++
	default:
		r.Errors++
	}
	return r
}

func (s *scenario) sumRequests() {
	s.summary.Requests = map[kind]RequestSums{}
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	for _, r := range s.ledger.results {
		s.summary.Requests[r.kind] = s.summary.Requests[r.kind].add(r.result)
	}
}

func (s *scenario) sumOverload() {
	overload := &s.summary.Overload
	var all RequestSums
	for _, r := range s.ledger.resultsInPhase(phaseOverload) {
		all = all.add(r)
		if r.kind == order {
			overload.Orders++
			if r.isInTime() {
				overload.OrdersInTime++
			}
		}
	}
	overload.Offered, overload.InTime, overload.NotRun, overload.Unknown, overload.NoResponse = all.Offered, all.InTime, all.NotRun, all.Unknown, all.NoResponse
	overload.Capacity = float64((len(s.fleet.nodes)-1)*slots) * overload.Seconds / workDuration.Seconds()
	if achievable := min(float64(overload.Offered), overload.Capacity); achievable > 0 {
		overload.Share = float64(overload.InTime) / achievable
	}
}

func (s *scenario) sumDetections() {
	for i := range s.summary.Detections {
		detection := &s.summary.Detections[i]
		var sums RequestSums
		for _, r := range s.ledger.resultsInPhase(detection.phase) {
			sums = sums.add(r)
		}
		detection.Requests, detection.InTime = sums.Offered, sums.InTime
	}
}

func (s *scenario) sumBlocking() {
	b := &s.summary.Blocking
	b.WithoutMS, b.SamplesWithout = p99(s.ledger.resultsInPhase(phaseCalm))
	b.WithMS, b.SamplesWith = p99(s.ledger.resultsInPhase(phaseDownloads))
	if b.WithoutMS > 0 {
		b.Ratio = b.WithMS / b.WithoutMS
	}
}

// p99 returns the p99 of answered short work in milliseconds and the number of samples.
func p99(results []result) (float64, int) {
	var durations []time.Duration
	for _, r := range results {
		if r.kind.isShort() && r.outcome == attempt.Answered && !r.incomplete {
			durations = append(durations, r.duration)
		}
	}
	if len(durations) == 0 {
		return 0, 0
	}
	slices.Sort(durations)
	return milliseconds(durations[(len(durations)*99-1)/100]), len(durations)
}

func (s *scenario) sumInvariants() {
	out := &s.summary
	outside, violations := s.ledger.totals()
	out.Violations = violations
	nodes := map[invariant.Name]Count{}
	for _, n := range s.fleet.nodes {
		snapshot := n.node.Invariants()
		for name, c := range snapshot.Counts {
			sum := nodes[name]
			nodes[name] = Count{sum.Checks + c.Checks, sum.Violations + c.Violations}
		}
		for _, v := range snapshot.Last {
			if len(out.Violations) < 2*maxViolations {
				out.Violations = append(out.Violations, fmt.Sprintf("node %s: %s: %s", n.name, v.Name, v.Detail))
			}
		}
	}
	out.OK = true
	for _, name := range invariant.All {
		sums := InvariantSums{Name: name, Nodes: nodes[name], Outside: outside[name]}
		out.OK = out.OK && sums.Nodes.Violations == 0 && sums.Outside.Violations == 0
		out.Invariants = append(out.Invariants, sums)
	}
}

// WriteText writes the summary as text.
func (s Summary) WriteText(w io.Writer) {
	fmt.Fprintf(w, "Summary (seed %d, %.1f s, %d nodes in %d failure domains)\n\n", s.Seed, s.Seconds, s.Nodes, s.Domains)
	for _, d := range s.Detections {
		ejected := fmt.Sprintf("after %.0f ms", d.DetectedMS)
		if d.DetectedMS == 0 {
			ejected = "not within the time limit"
		}
		traffic := fmt.Sprintf("no more than trickle traffic after %.0f ms", d.ContainedMS)
		if d.ContainedMS == 0 {
			traffic = "never more than trickle traffic"
		}
		fmt.Fprintf(w, "time to detect, %s: ejected %s (by entries that sent it %.0f %% of its work); %s, %d requests in all; %d of %d requests of customers answered in time\n",
			d.Fault, ejected, 100*d.Share, traffic, d.Arrivals, d.InTime, d.Requests)
	}
	fmt.Fprintf(w, "healthy targets ejected by mistake: %d\n", len(s.MistakenEjections))
	for _, m := range s.MistakenEjections {
		fmt.Fprintf(w, "  %s\n", m)
	}
	overload := s.Overload
	fmt.Fprintf(w, "overload: %d requests in %.1f s, capacity %.0f; %d correct in time = %.1f %% of the smaller number; orders %d of %d; not-run %d, unknown %d, no response %d\n",
		overload.Offered, overload.Seconds, overload.Capacity, overload.InTime, 100*overload.Share, overload.OrdersInTime, overload.Orders, overload.NotRun, overload.Unknown, overload.NoResponse)
	blocking := s.Blocking
	fmt.Fprintf(w, "p99 of short work: %.1f ms without downloads, %.1f ms with (ratio %.2f; %d and %d samples)\n",
		blocking.WithoutMS, blocking.WithMS, blocking.Ratio, blocking.SamplesWithout, blocking.SamplesWith)
	if s.Config.InForceMS > 0 {
		fmt.Fprintf(w, "configuration version %d in force on all nodes in %.0f ms\n", s.Config.Version, s.Config.InForceMS)
	} else {
		fmt.Fprintf(w, "configuration version %d not in force on all nodes\n", s.Config.Version)
	}
	d := s.Drain
	fmt.Fprintf(w, "drain of %s: ended after %.0f ms, %d requests in progress at its start, last new work at its target after %.0f ms\n\n",
		d.Node, d.EndedMS, d.InProgress, d.LastWorkMS)
	s.writeRequests(w)
	s.writeInvariants(w)
}

func (s Summary) writeRequests(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "requests\toffered\tin time\tlate\tnot-run\tunknown\terrors\tno response\t")
	for _, k := range kinds {
		r := s.Requests[k]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", k, r.Offered, r.InTime, r.Late, r.NotRun, r.Unknown, r.Errors, r.NoResponse)
	}
	_ = t.Flush() // fails only if the output is closed
	for _, k := range kinds {
		if reasons := s.Requests[k].Reasons; len(reasons) > 0 {
			fmt.Fprintf(w, "  reasons for %s: %v\n", k, reasons)
		}
	}
	fmt.Fprintln(w)
}

func (s Summary) writeInvariants(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "invariant\tnodes: checks\tviolations\toutside: checks\tviolations\t")
	for _, i := range s.Invariants {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t\n", i.Name, i.Nodes.Checks, i.Nodes.Violations, i.Outside.Checks, i.Outside.Violations)
	}
	_ = t.Flush() // fails only if the output is closed
	if s.OK {
		fmt.Fprintln(w, "\nno invariant is broken")
		return
	}
	fmt.Fprintf(w, "\nBROKEN INVARIANTS\n  %s\n", strings.Join(s.Violations, "\n  "))
}
