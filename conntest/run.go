package conntest

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/conformance"
	"github.com/hyssopsill/hyssopsill/finding"
)

// Defaults of Options.
const (
	DefaultCases    = 200
	DefaultParallel = 8
)

// Options describe a run.
type Options struct {
	Seed     uint64 // of the first case; the others follow it
	Cases    int
	Parallel int    // cases that are played at a time, each with nodes of its own
	Dir      string // for the reports and the cases that violate a rule
	First    bool   // end with the first finding, which is not reduced
	// Progress, if set, is called after each case.
	Progress func(played int)
}

// Finding is a rule that a case violates.
type Finding struct {
	Seed    uint64           `json:"seed"` // 0 for a case that was adjusted to cover a pair
	Rule    conformance.Rule `json:"rule"`
	Detail  string           `json:"detail"`
	Case    string           `json:"case"`
	Reduced string           `json:"reduced,omitempty"` // the smallest case found that violates the rule, too
	File    string           `json:"file"`              // of that case, to be played again
	Cases   int              `json:"cases"`             // that violate the rule and have the values of the reduced one
}

// Report is the result of a run.
type Report struct {
	Seed         uint64    `json:"seed"`
	Cases        int       `json:"cases"` // that were played
	Seconds      float64   `json:"seconds"`
	CaseSeconds  float64   `json:"case_seconds"` // mean time of a case
	Pairs        int       `json:"pairs"`        // of two values of two dimensions
	PairsPlayed  int       `json:"pairs_played"`
	PairsMissing []string  `json:"pairs_missing,omitempty"` // at most maxMissingListed
	Findings     []Finding `json:"findings"`
	Known        []Known   `json:"known"`                // findings that are open already
	NotPlayed    []string  `json:"not_played,omitempty"` // cases that could not be played, and why
	Dir          string    `json:"dir"`
}

// maxMissingListed bounds Report.PairsMissing.
const maxMissingListed = 100

// seededCase is a case and the seed that it was drawn from, or 0.
type seededCase struct {
	Case
	seed uint64
}

// drawCases draws the cases of a run. Pairs that none of them has are put into the last
// ones, as long as no other pair is lost by that.
func drawCases(seed uint64, n int) []seededCase {
	out := make([]seededCase, n)
	played := pairs{}
	for i := range out {
		out[i] = seededCase{Draw(seed + uint64(i)), seed + uint64(i)}
		played.add(out[i].Case)
	}
	adjustable := out[n-n/adjustedShare:]
	for _, p := range played.missing() {
		for i, c := range adjustable {
			changed := c.with(p)
			played.remove(c.Case)
			played.add(changed)
			if played.hasAll(c.Case) {
				adjustable[i] = seededCase{changed, 0}
				break
			}
			played.remove(changed)
			played.add(c.Case)
		}
	}
	return out
}

// with returns a case that has a pair, too.
func (c Case) with(p pair) Case {
	out := maps.Clone(c)
	for _, v := range p {
		out[dimensions[v.dimension].Name] = dimensions[v.dimension].Values[v.value]
	}
	return out
}

// adjustedShare bounds the adjusted cases of a run to one in so many.
const adjustedShare = 5

// runner plays the cases of a run.
type runner struct {
	options Options
	mu      sync.Mutex
	played  pairs
	broken  pairs // those of cases that violate a rule
	seconds float64
	report  Report
}

// Run plays the cases of a run, reduces those that violate a rule and writes the reports.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Report{}, err
	}
	started := time.Now()
	r := &runner{options: o, played: pairs{}, broken: pairs{}, report: Report{Seed: o.Seed, Pairs: pairTotal(), Findings: []Finding{}, Known: slices.Clone(knownFindings), Dir: o.Dir}}
	cases := make(chan seededCase)
	var playing sync.WaitGroup
	for range o.Parallel {
		playing.Go(func() {
			for c := range cases {
				r.play(ctx, c)
			}
		})
	}
	for _, c := range drawCases(o.Seed, o.Cases) {
		if ctx.Err() != nil || (o.First && r.found()) {
			break
		}
		cases <- c
	}
	close(cases)
	playing.Wait()
	missing := r.played.missing()
	r.report.PairsPlayed = r.report.Pairs - len(missing)
	for _, p := range missing[:min(len(missing), maxMissingListed)] {
		r.report.PairsMissing = append(r.report.PairsMissing, p.String())
	}
	if r.report.Cases > 0 {
		r.report.CaseSeconds = r.seconds / float64(r.report.Cases)
	}
	r.report.Seconds = time.Since(started).Seconds()
	if err := r.write(); err != nil {
		return r.report, err
	}
	return r.report, ctx.Err()
}

func (r *runner) found() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.report.Findings) > 0
}

func (r *runner) play(ctx context.Context, c seededCase) {
	result, err := Play(ctx, c.Case)
	r.mu.Lock()
	if err != nil {
		r.report.NotPlayed = append(r.report.NotPlayed, err.Error())
		r.mu.Unlock()
		return
	}
	r.report.Cases++
	r.seconds += result.Seconds
	r.played.add(c.Case)
	if len(result.Violations) > 0 {
		r.broken.add(c.Case)
	}
	if r.options.Progress != nil {
		r.options.Progress(r.report.Cases)
	}
	r.mu.Unlock()
	seen := map[conformance.Rule]bool{}
	for _, v := range result.Violations {
		if !seen[v.Rule] && !r.isKnown(c.Case, v.Rule) {
			r.reduce(ctx, c.seed, result, v)
		}
		seen[v.Rule] = true
	}
}

func (r *runner) reduce(ctx context.Context, seed uint64, result Result, v conformance.Violation) {
	f := Finding{Seed: seed, Rule: v.Rule, Detail: v.Detail, Case: result.Case.String(), Cases: 1}
	reduced := result
	if !r.options.First {
		var err error
		if reduced, err = Reduce(ctx, result, v.Rule); err != nil {
			f.Detail += "; not reduced: " + err.Error()
		}
		f.Reduced = reduced.Case.String()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f.File = filepath.Join(r.options.Dir, fmt.Sprintf("case-%d.json", len(r.report.Findings)+1))
	if err := writeJSON(f.File, reduced); err != nil {
		f.Detail += "; not written: " + err.Error()
	}
	r.report.Findings = append(r.report.Findings, f)
}

func writeJSON(file string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o600)
}

// Files that Run writes into its directory.
const (
	reportFile  = "report.json"
	pictureFile = "pairs.svg"
)

func (r *runner) write() error {
	if err := writeJSON(filepath.Join(r.options.Dir, reportFile), r.report); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.options.Dir, pictureFile), drawPairs(r.played, r.broken), 0o600)
}

// Load reads a case from a file that Run wrote, or that has the same form. The error is a
// finding.List when the content is invalid.
func Load(file string) (Case, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var content struct {
		Case Case `json:"case"`
	}
	if err := json.Unmarshal(data, &content); err != nil {
		return nil, finding.List{finding.FromJSON(file, data, err)}
	}
	if content.Case == nil {
		return nil, finding.List{{File: file, Key: "case", Message: "is missing"}}
	}
	return content.Case, content.Case.check(file).Err()
}
