package record

import (
	"context"
	"errors"
	"testing"
)

// Guards against a lost service that is told once a call instead of once, and
// against one whose return is never told.
func TestDependencyTellsChangesOnly(t *testing.T) {
	down := errors.New("connection refused")
	d := Dependency{Name: "log service"}
	for i, c := range []struct {
		err  error
		told string
	}{
		{nil, ""}, {down, "lost"}, {down, ""}, {context.Canceled, ""}, {nil, "usable"}, {nil, ""},
	} {
		change, changed := d.Observe(c.err)
		if changed != (c.told != "") || change.To != c.told {
			t.Errorf("call %d with %v: told %v, %+v", i, c.err, changed, change)
		}
	}
}
