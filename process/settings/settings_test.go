package settings_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/hyssopsill/hyssopsill/finding"
	"github.com/hyssopsill/hyssopsill/process/settings"
)

// Guards against a template that the daemon rejects.
func TestTemplateIsValid(t *testing.T) {
	if _, findings := settings.Parse("template.toml", []byte(settings.Template)); len(findings) > 0 {
		t.Fatal(findings)
	}
}

// Guards against a token that passes the check of the settings and ends the node at its start.
func TestLongTokenIsRejected(t *testing.T) {
	for _, extra := range []int{0, 1} {
		text := fmt.Sprintf("fleet_token = %q\n", strings.Repeat("t", settings.MaxTokenBytes+extra))
		_, findings := settings.Parse("node.toml", []byte(text))
		rejected := slices.ContainsFunc(findings, func(f finding.Finding) bool { return f.Key == "fleet_token" })
		if rejected != (extra > 0) {
			t.Errorf("%d bytes above the bound: rejected %v", extra, rejected)
		}
	}
}

// Guards against reporting only some of the errors of a file, or an error without
// its line.
func TestAllErrorsAreReported(t *testing.T) {
	text := `node = "a b"
domain = ""
fleet_token = "short"
log_url = "ftp://x"
seeds = ["nowhere"]
log_level = "loud"
drain_timeout = "-1s"
unknown = 1
[listen]
caller = "127.0.0.1:1"
peer_data = "127.0.0.1:1"
peer_control = "127.0.0.1:2"
[limits]
header_bytes = 3
`
	want := map[string]int{
		"node": 1, "domain": 2, "fleet_token": 3, "log_url": 4, "seeds[0]": 5, "log_level": 6,
		"drain_timeout": 7, "unknown": 8, "listen.peer_data": 11, "limits.header_bytes": 14,
	}
	_, findings := settings.Parse("node.toml", []byte(text))
	got := map[string]int{}
	for _, f := range findings {
		if !strings.HasPrefix(f.String(), "node.toml:") {
			t.Errorf("finding without its file: %s", f)
		}
		got[f.Key] = f.Line
	}
	for key, line := range want {
		if got[key] != line {
			t.Errorf("%s: got line %d, want %d", key, got[key], line)
		}
	}
	if len(findings) != len(want) {
		t.Errorf("got %d findings, want %d:\n%v", len(findings), len(want), findings)
	}
}

// Guards against an advertised address that a node publishes and no other can use.
func TestPortIsANumber(t *testing.T) {
	for _, port := range []string{"http", "0", "+1", "65536"} {
		text := strings.Replace(settings.Template, "peer_control = \"\"", "peer_control = \"127.0.0.1:"+port+"\"", 1)
		if _, findings := settings.Parse("node.toml", []byte(text)); len(findings) != 1 || findings[0].Key != "advertise.peer_control" {
			t.Errorf("port %q: findings %v", port, findings)
		}
	}
}

// Guards against a size whose unit is dropped or misread.
func TestMemoryIsASizeWithUnit(t *testing.T) {
	for text, want := range map[string]settings.ByteSize{
		`"184MB"`: 184e6, `"96 MiB"`: 96 << 20, `"1.5GiB"`: 3 << 29, `100000000`: 1e8, `"98304KiB"`: 96 << 20, `0`: 0,
		`"184"`: -1, `"184mb"`: -1, `"MB"`: -1, `"-184MB"`: -1, `"1e30GB"`: -1, `-5`: -1, `1000`: -1,
	} {
		s, findings := settings.Parse("node.toml", []byte(strings.Replace(settings.Template, "memory = 0", "memory = "+text, 1)))
		switch {
		case want < 0 && (len(findings) != 1 || findings[0].Key != "limits.memory"):
			t.Errorf("%s: findings %v", text, findings)
		case want >= 0 && (len(findings) > 0 || s.Limits.Memory != want):
			t.Errorf("%s: got %d, %v", text, s.Limits.Memory, findings)
		}
	}
}

// Guards against a handover that outlasts the notice, after which callers no longer reach
// the node.
func TestDrainHandoverIsWithinNotice(t *testing.T) {
	for text, valid := range map[string]bool{"0s": true, "1s": true, "1001ms": false, "-1ms": false} {
		s, findings := settings.Parse("node.toml", []byte(strings.Replace(settings.Template, `drain_handover = "0s"`, `drain_handover = "`+text+`"`, 1)))
		switch {
		case valid && (len(findings) > 0 || s.DrainHandover.String() != text):
			t.Errorf("%s: got %s, %v", text, s.DrainHandover, findings)
		case !valid && (len(findings) != 1 || findings[0].Key != "drain_handover" || findings[0].Line == 0):
			t.Errorf("%s: findings %v", text, findings)
		}
	}
}
