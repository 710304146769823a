package record

import (
	"context"
	"errors"
)

// Dependency tracks whether a service that a node uses is usable or lost, by the
// results of the calls to it. The zero value starts as usable.
type Dependency struct {
	Name string
	lost bool
}

// Observe returns the change that the result of a call shows, if any. A call that
// was cancelled shows none.
func (d *Dependency) Observe(err error) (Change, bool) {
	if errors.Is(err, context.Canceled) || (err != nil) == d.lost {
		return Change{}, false
	}
	d.lost = err != nil
	if d.lost {
		return Change{Subject: d.Name, From: "usable", To: "lost", Why: err.Error()}, true
	}
	return Change{Subject: d.Name, From: "lost", To: "usable", Why: "a call succeeded"}, true
}
