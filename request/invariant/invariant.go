package invariant

import "fmt"

// Name identifies an invariant.
type Name string

const (
	Floor         Name = "floor"          // ejection never drops a service below its floor
	OwnAnswer     Name = "own-answer"     // a customer receives the whole answer to its own request
	NotRun        Name = "not-run"        // work reported as not run did not run
	AtMostOnce    Name = "at-most-once"   // an order key runs at most once
	Leaving       Name = "leaving"        // a leaving target receives no new work
	NoCut         Name = "no-cut"         // a graceful stop cuts no request in progress
	ConfigForward Name = "config-forward" // the configuration in force never goes back
)

// All lists the invariants in the order of the design page.
var All = []Name{Floor, OwnAnswer, NotRun, AtMostOnce, Leaving, NoCut, ConfigForward}

// Reporter receives the result of each check.
type Reporter interface {
	// Check records that the invariant was checked. When ok is false, detail
	// is formatted and reported as a violation.
	Check(name Name, ok bool, format string, args ...any)
}

// PanicReporter is a Reporter that panics on a violation. Tests and the bench use it.
type PanicReporter struct{}

// Check panics when ok is false.
func (PanicReporter) Check(name Name, ok bool, format string, args ...any) {
	if !ok {
		panic(fmt.Sprintf("invariant %s violated: %s", name, fmt.Sprintf(format, args...)))
	}
}
