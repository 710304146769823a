package record

import (
	"context"
	"errors"
	"testing"
)

// Guards against a lost service that is reported at every failed call instead of
// once, and against one whose recovery is never reported.
func TestDependencyReportsChangesOnly(t *testing.T) {
	down := errors.New("connection refused")
	d := Dependency{Name: "log service"}
	for i, c := range []struct {
		err      error
		reported string
	}{
		{nil, ""}, {down, "lost"}, {down, ""}, {context.Canceled, ""}, {nil, "usable"}, {nil, ""},
	} {
		change, changed := d.Observe(c.err)
		if changed != (c.reported != "") || change.To != c.reported {
			t.Errorf("call %d with %v: reported %v, %+v", i, c.err, changed, change)
		}
	}
}
