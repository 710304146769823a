package invariant

import "fmt"

// Name identifies an invariant.
type Name string

const (
	Floor         Name = "floor"          // ejection never drops a service below its floor
	OwnAnswer     Name = "own-answer"     // a customer receives the complete response to its own request
	NotRun        Name = "not-run"        // work reported as not run never ran
	AtMostOnce    Name = "at-most-once"   // an order key runs at most once
	Leaving       Name = "leaving"        // a leaving target receives no new work
	NoCut         Name = "no-cut"         // a graceful stop interrupts no request in progress
	ConfigForward Name = "config-forward" // the configuration in force never goes back
)

// All lists the invariants in the order of the design page.
var All = []Name{Floor, OwnAnswer, NotRun, AtMostOnce, Leaving, NoCut, ConfigForward}

// Reporter receives the results of checks.
type Reporter interface {
	// Check records that the invariant was checked. When ok is false, it formats
	// args by format and reports the text as a violation.
	Check(name Name, ok bool, format string, args ...any)
}

// PanicReporter is a Reporter that panics on a violation. Tests and package
// bench use it.
type PanicReporter struct{}

// Check panics when ok is false.
func (PanicReporter) Check(name Name, ok bool, format string, args ...any) {
	if !ok {
		panic(fmt.Sprintf("invariant %s violated: %s", name, fmt.Sprintf(format, args...)))
	}
}
