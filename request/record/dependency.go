package record

import (
	"context"
	"errors"
)

// Dependency tells when a service that a node uses is lost and when it is back.
// The zero value takes it for usable.
type Dependency struct {
	Name string
	lost bool
}

// Observe takes the result of a call and returns the change that it shows, if any.
// The end of the caller itself shows nothing.
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
