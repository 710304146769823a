package conntest

import (
	"slices"

	"github.com/hyssopsill/hyssopsill/conformance"
)

// Known is a finding that is open in KNOWN-RED.txt. A run counts it apart.
type Known struct {
	Rule  conformance.Rule `json:"rule"`
	Case  string           `json:"case"` // the values that show it, as Case.String gives them
	Issue int              `json:"issue"`
	Cases int              `json:"cases"` // of the run that violated the rule
}

var knownFindings = []Known{
	{Rule: conformance.OwnAnswer, Case: targetExtra + "=copy " + nodeProfile + "=default", Issue: 19},
	{Rule: conformance.OwnAnswer, Case: targetExtra + "=late-copy " + nodeProfile + "=default", Issue: 19},
	{Rule: conformance.OwnAnswer, Case: targetExtra + "=copy " + nodeProfile + "=" + closeDelimited, Issue: 19},
	{Rule: conformance.OwnAnswer, Case: targetExtra + "=late-copy " + nodeProfile + "=" + closeDelimited, Issue: 19},
}

// isKnown counts a violation that is open already, or whose case has all values of one that
// was reduced before. It reports false for a new one.
func (r *runner) isKnown(c Case, rule conformance.Rule) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.IndexFunc(r.report.Known, func(k Known) bool { return k.Rule == rule && c.has(k.Case) }); i >= 0 {
		r.report.Known[i].Cases++
		return true
	}
	i := slices.IndexFunc(r.report.Findings, func(f Finding) bool { return f.Rule == rule && f.Reduced != "" && c.has(f.Reduced) })
	if i >= 0 {
		r.report.Findings[i].Cases++
	}
	return i >= 0
}
