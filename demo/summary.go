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
	OK                bool                 `json:"ok"` // no invariant is broken
}

// RequestSums count the requests of one kind by what the customer got.
type RequestSums struct {
	Offered  int `json:"offered"`
	InTime   int `json:"in_time"` // correct and within the deadline
	Late     int `json:"late"`    // correct
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	Errors   int `json:"errors"` // error status of a target
	NoAnswer int `json:"no_answer"`
	// Reasons of refusals and errors.
	Reasons map[attempt.Reason]int `json:"reasons,omitempty"`
}

// Detection is how the entries found one fault.
type Detection struct {
	Target  string  `json:"target"`
	Fault   string  `json:"fault"`
	FirstMS float64 `json:"first_ms,omitempty"` // first entry that ejected; 0 none
	// DetectedMS is the time until the entries that sent the target 90 % of
	// its work before the fault had ejected it; 0 not within the wait.
	DetectedMS float64 `json:"detected_ms,omitempty"`
	Share      float64 `json:"share"` // of that work, from the entries that ejected it
	EjectedBy  int     `json:"ejected_by"`
	Entries    int     `json:"entries"`
	Arrivals   int     `json:"arrivals"` // requests that reached the target until then
	// ContainedMS is the time from which no more than trickle traffic reached
	// the target; 0 when it never got more.
	ContainedMS float64 `json:"contained_ms"`
	// Requests of customers that began in this time, and those of them answered
	// correctly within their deadline.
	Requests int `json:"requests"`
	InTime   int `json:"in_time"`

	phase string
}

// Overload is the service while demand exceeds capacity and one target is gray.
type Overload struct {
	Seconds       float64 `json:"seconds"`
	Offered       int     `json:"offered"`
	InTime        int     `json:"in_time"`
	Capacity      float64 `json:"capacity"` // requests of the healthy targets in that time
	Share         float64 `json:"share"`    // in time / min(offered, capacity)
	Orders        int     `json:"orders"`
	OrdersInTime  int     `json:"orders_in_time"`
	ToldNotRun    int     `json:"told_not_run"`
	ToldUnknown   int     `json:"told_unknown"`
	WithoutAnswer int     `json:"without_answer"`
}

// Blocking compares the p99 of answered short work without and with downloads.
type Blocking struct {
	WithoutMS      float64 `json:"p99_without_ms"`
	WithMS         float64 `json:"p99_with_ms"`
	Ratio          float64 `json:"ratio"`
	SamplesWithout int     `json:"samples_without"`
	SamplesWith    int     `json:"samples_with"`
}

// ConfigChange is the change published during the run.
type ConfigChange struct {
	Version   int64   `json:"version"`
	InForceMS float64 `json:"in_force_ms,omitempty"` // on all nodes; 0 not within the wait
}

// Drain of a node under load.
type Drain struct {
	Node       string  `json:"node"`
	InProgress int     `json:"in_progress"` // requests in the fleet when it began
	EndedMS    float64 `json:"ended_ms,omitempty"`
	LastWorkMS float64 `json:"last_work_ms"` // last request that reached its target after the begin
}

// InvariantSums are the checks of one invariant.
type InvariantSums struct {
	Name    invariant.Name `json:"name"`
	Nodes   Count          `json:"nodes"`   // telemetry of the nodes
	Outside Count          `json:"outside"` // customers, targets and admin listeners
}

// conclude fills the summary from what was recorded.
func (s *scenario) conclude() {
	out := &s.summary
	out.Seed, out.Nodes, out.Domains = s.o.Seed, len(s.fleet.nodes), domains
	counts := map[string]target.Counts{}
	for _, n := range s.fleet.nodes {
		counts[n.id] = n.target.Counts()
	}
	s.ledger.checkExecutions(counts)
	s.sumRequests()
	s.sumCrest()
	s.sumBlocking()
	s.sumDetections()
	out.MistakenEjections = append([]string{}, s.watch.mistaken()...)
	s.sumInvariants()
	out.Seconds = time.Since(s.begun).Seconds()
}

func (r RequestSums) add(x result) RequestSums {
	r.Offered++
	if x.reason != attempt.ReasonNone {
		reasons := map[attempt.Reason]int{x.reason: 1}
		for reason, n := range r.Reasons {
			reasons[reason] += n
		}
		r.Reasons = reasons
	}
	switch {
	case x.inTime():
		r.InTime++
	case x.broken || x.outcome == "":
		r.NoAnswer++
	case x.outcome == attempt.Answered:
		r.Late++
	case x.outcome == attempt.NotRun:
		r.NotRun++
	case x.outcome == attempt.Unknown:
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

func (s *scenario) sumCrest() {
	c := &s.summary.Overload
	var all RequestSums
	for _, r := range s.ledger.of(phaseCrest) {
		all = all.add(r)
		if r.kind == order {
			c.Orders++
			if r.inTime() {
				c.OrdersInTime++
			}
		}
	}
	c.Offered, c.InTime, c.ToldNotRun, c.ToldUnknown, c.WithoutAnswer = all.Offered, all.InTime, all.NotRun, all.Unknown, all.NoAnswer
	c.Capacity = float64((len(s.fleet.nodes)-1)*slots) * c.Seconds / work.Seconds()
	if least := min(float64(c.Offered), c.Capacity); least > 0 {
		c.Share = float64(c.InTime) / least
	}
}

func (s *scenario) sumDetections() {
	for i := range s.summary.Detections {
		d := &s.summary.Detections[i]
		var all RequestSums
		for _, r := range s.ledger.of(d.phase) {
			all = all.add(r)
		}
		d.Requests, d.InTime = all.Offered, all.InTime
	}
}

func (s *scenario) sumBlocking() {
	b := &s.summary.Blocking
	b.WithoutMS, b.SamplesWithout = p99(s.ledger.of(phaseCalm))
	b.WithMS, b.SamplesWith = p99(s.ledger.of(phaseDownloads))
	if b.WithoutMS > 0 {
		b.Ratio = b.WithMS / b.WithoutMS
	}
}

// p99 of answered short work, milliseconds, and the number of samples.
func p99(results []result) (float64, int) {
	var took []time.Duration
	for _, r := range results {
		if r.kind.short() && r.outcome == attempt.Answered && !r.broken {
			took = append(took, r.took)
		}
	}
	if len(took) == 0 {
		return 0, 0
	}
	slices.Sort(took)
	return milliseconds(took[(len(took)*99-1)/100]), len(took)
}

func (s *scenario) sumInvariants() {
	out := &s.summary
	outside, violations := s.ledger.sums()
	out.Violations = violations
	nodes := map[invariant.Name]Count{}
	for _, n := range s.fleet.nodes {
		snapshot := n.node.Invariants()
		for name, c := range snapshot.Counts {
			sum := nodes[name]
			nodes[name] = Count{sum.Checks + c.Checks, sum.Violations + c.Violations}
		}
		for _, v := range snapshot.Last {
			if len(out.Violations) < 2*keepViolations {
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

// WriteText writes the summary for readers.
func (s Summary) WriteText(w io.Writer) {
	fmt.Fprintf(w, "Summary (seed %d, %.1f s, %d nodes in %d failure domains)\n\n", s.Seed, s.Seconds, s.Nodes, s.Domains)
	for _, d := range s.Detections {
		ejected := fmt.Sprintf("after %.0f ms", d.DetectedMS)
		if d.DetectedMS == 0 {
			ejected = "not within the wait"
		}
		traffic := fmt.Sprintf("no more than trickle traffic after %.0f ms", d.ContainedMS)
		if d.ContainedMS == 0 {
			traffic = "never more than trickle traffic"
		}
		fmt.Fprintf(w, "time to detect, %s: ejected %s (by entries that sent it %.0f %% of its work); %s, %d requests in all; %d of %d customers served in time\n",
			d.Fault, ejected, 100*d.Share, traffic, d.Arrivals, d.InTime, d.Requests)
	}
	fmt.Fprintf(w, "healthy targets ejected by mistake: %d\n", len(s.MistakenEjections))
	for _, m := range s.MistakenEjections {
		fmt.Fprintf(w, "  %s\n", m)
	}
	c := s.Overload
	fmt.Fprintf(w, "crest: %d requests in %.1f s, capacity %.0f; %d correct in time = %.1f %% of the lesser; orders %d of %d; told not-run %d, unknown %d, no answer %d\n",
		c.Offered, c.Seconds, c.Capacity, c.InTime, 100*c.Share, c.OrdersInTime, c.Orders, c.ToldNotRun, c.ToldUnknown, c.WithoutAnswer)
	b := s.Blocking
	fmt.Fprintf(w, "p99 of short work: %.1f ms without downloads, %.1f ms with (ratio %.2f; %d and %d samples)\n",
		b.WithoutMS, b.WithMS, b.Ratio, b.SamplesWithout, b.SamplesWith)
	if s.Config.InForceMS > 0 {
		fmt.Fprintf(w, "configuration version %d in force on all nodes in %.0f ms\n", s.Config.Version, s.Config.InForceMS)
	} else {
		fmt.Fprintf(w, "configuration version %d not in force on all nodes\n", s.Config.Version)
	}
	d := s.Drain
	fmt.Fprintf(w, "drain of %s: ended after %.0f ms, %d requests in progress at its begin, last new work at its target after %.0f ms\n\n",
		d.Node, d.EndedMS, d.InProgress, d.LastWorkMS)
	s.writeRequests(w)
	s.writeInvariants(w)
}

func (s Summary) writeRequests(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "requests\toffered\tin time\tlate\tnot-run\tunknown\terrors\tno answer\t")
	for _, k := range kinds {
		r := s.Requests[k]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", k, r.Offered, r.InTime, r.Late, r.NotRun, r.Unknown, r.Errors, r.NoAnswer)
	}
	_ = t.Flush() // an error here means that the output is closed
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
	_ = t.Flush() // an error here means that the output is closed
	if s.OK {
		fmt.Fprintln(w, "\nno invariant is broken")
		return
	}
	fmt.Fprintf(w, "\nBROKEN INVARIANTS\n  %s\n", strings.Join(s.Violations, "\n  "))
}
