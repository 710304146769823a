package config_test

import (
	"strings"
	"testing"

	"github.com/hyssopsill/hyssopsill/version/config"
)

// Guards against a change to a split route that is rejected, or that leaves a part of
// the split without its service.
func TestChangesOfSplitRoutes(t *testing.T) {
	split := func(services ...string) config.Edit {
		value := "path_prefix = \"/s\"\nclass = \"c\"\n"
		for _, s := range services {
			value += "[[split]]\nservice = \"" + s + "\"\nweight = 1.0\n"
		}
		return config.Edit{Object: "routes/s", Value: value}
	}
	s := config.NewState()
	apply := func(offset int64, edits ...config.Edit) config.Result {
		return s.Apply(record(offset, encodeChange("change-"+string(rune('a'+offset)), edits...)))
	}
	if r := apply(1, serviceEdit("one", 0, 1), serviceEdit("two", 0, 1), split("one", "two")); r.Outcome != config.OutcomeApplied {
		t.Fatalf("split route: %s, %s", r.Outcome, r.Reason())
	}
	if r := apply(2, config.Edit{Object: "services/two", BaseVersion: 1}); r.Outcome == config.OutcomeApplied || !strings.Contains(r.Reason(), `service "two" does not exist`) {
		t.Errorf("deletion of a service of the split: %s, %s", r.Outcome, r.Reason())
	}
	missing := split("one", "three")
	missing.BaseVersion = 1
	if r := apply(3, missing); r.Outcome == config.OutcomeApplied || !strings.Contains(r.Reason(), "split[1].service") {
		t.Errorf("split to a service that does not exist: %s, %s", r.Outcome, r.Reason())
	}
}
