package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/version/config"
)

const (
	nodeFlags      = " --node " + docsNode1URL + " --node " + docsNode2URL
	allFlags       = nodeFlags + " --log " + docsLogURL
	publishCommand = "hyssopsill config publish --author ana" + allFlags + " "
)

var (
	sunbake = filepath.Join("..", "..", "examples", "sunbake", "config.toml")
	anfb    = filepath.Join("..", "..", "examples", "anfb", "config.toml")
)

// expect runs a command line, checks its exit code and that its output contains
// parts, and returns standard output.
func (f *fleet) expect(t *testing.T, line string, code int, parts ...string) string {
	t.Helper()
	gotCode, stdout, stderr := f.run(t, line)
	if gotCode != code {
		t.Fatalf("%s: exit code %d, want %d\n%s%s", line, gotCode, code, stdout, stderr)
	}
	for _, part := range parts {
		if !strings.Contains(stdout+stderr, part) {
			t.Errorf("%s: output lacks %q:\n%s%s", line, part, stdout, stderr)
		}
	}
	return stdout
}

// Guards against configuration commands that disagree with the log, and
// against exit codes that report a rejected change as success.
func TestConfigCommands(t *testing.T) {
	f := newFleet(t)
	f.expect(t, "hyssopsill config validate "+sunbake, exitOK, "3 services, 7 routes")
	f.expect(t, publishCommand+sunbake, exitOK, "version 1 is accepted")
	f.expect(t, publishCommand+sunbake, exitOK, "nothing differs")
	f.expect(t, "hyssopsill config diff "+anfb+" --log "+docsLogURL, exitOK, "services/orders", "customer_header = 'X-Atelie'")
	f.expect(t, publishCommand+"--base 0 "+anfb, exitNotAccepted, "version 1 is in force, not 0")
	f.expect(t, publishCommand+"--change-id c2 "+anfb, exitOK, "version 2 is accepted")
	f.expect(t, publishCommand+"--change-id c2 "+anfb, exitOK, "version 2 is accepted")
	f.expect(t, "hyssopsill config status"+allFlags, exitOK, "version in the log: 2", "n2")
	f.expect(t, "hyssopsill config history --log "+docsLogURL, exitOK, "c2")
	f.expect(t, "hyssopsill config rollback 1 --author ana"+allFlags, exitOK, "version 3 is accepted")
	f.expect(t, "hyssopsill config rollback 99 --author ana"+allFlags, exitBadInput)
	f.expect(t, "hyssopsill config diff "+sunbake+" --log "+docsLogURL, exitOK, "nothing differs")
	f.reportVersionZero = true
	f.expect(t, publishCommand+"--timeout 500ms "+anfb, exitNotAccepted, "not reported by nodes of two failure domains")
	f.log.SetFaults(logservice.Faults{Outage: true})
	f.expect(t, publishCommand+"--timeout 500ms "+sunbake, exitFailed, "log service unavailable")
}

// publishConcurrently publishes the files at the same time from version 1. It
// returns the exit codes, sorted, and the outputs.
func publishConcurrently(t *testing.T, files ...string) (codes []int, output string) {
	t.Helper()
	f := newFleet(t)
	f.expect(t, publishCommand+sunbake, exitOK)
	type result struct {
		code   int
		output string
	}
	results := make(chan result, len(files))
	for _, file := range files {
		go func() {
			code, stdout, stderr := f.run(t, publishCommand+"--base 1 "+file)
			results <- result{code, stdout + stderr}
		}()
	}
	for range files {
		result := <-results
		codes, output = append(codes, result.code), output+result.output
	}
	slices.Sort(codes)
	return codes, output
}

// Guards against exit code 0 for both of two operators who change one object from
// the same version.
func TestConcurrentChangesOfOneObject(t *testing.T) {
	text, err := os.ReadFile(sunbake)
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	for _, floor := range []string{"0.5", "0.25"} {
		file := filepath.Join(t.TempDir(), "c.toml")
		if err := os.WriteFile(file, bytes.Replace(text, []byte("floor = 0.75"), []byte("floor = "+floor), 1), 0o644); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	if codes, output := publishConcurrently(t, files...); !slices.Equal(codes, []int{exitOK, exitNotAccepted}) {
		t.Errorf("exit codes %v, want 0 and 3\n%s", codes, output)
	}
}

// appendOtherChangeFirst appends another operator's change right before that of the
// next command.
func (f *fleet) appendOtherChangeFirst(t *testing.T, edit config.Edit) {
	f.beforeAppend = func() {
		data, err := config.Change{ChangeID: "other", Author: "rui", Edits: []config.Edit{edit}}.Encode()
		if err != nil {
			t.Error(err)
		}
		if _, err := f.log.Append(context.Background(), "config", data); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a rejected change whose differences are not shown, and against a
// published version that also contains another operator's change without a notice.
func TestAnotherChangeIsAppendedFirst(t *testing.T) {
	f := newFleet(t)
	f.appendOtherChangeFirst(t, config.Edit{Object: "customers", Value: "customer_header = 'X-Other'"})
	f.expect(t, publishCommand+anfb, exitNotAccepted, "rejected at offset 2", "- customer_header = 'X-Other'", "+ customer_header = 'X-Atelie'")
	f = newFleet(t)
	f.appendOtherChangeFirst(t, config.Edit{Object: "services/extra", Value: "[classes.a]\n"})
	f.expect(t, publishCommand+anfb, exitOK, "version 2 is accepted", "version 1 by rui came into force in the meantime (services/extra)")
}

// Guards against bad input that is reported with the exit code of a failure.
func TestBadInput(t *testing.T) {
	f := newFleet(t)
	faulty := filepath.Join(t.TempDir(), "faulty.toml")
	if err := os.WriteFile(faulty, []byte("[services.a]\nfloor = 2\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	f.expect(t, "hyssopsill config validate "+faulty, exitBadInput, faulty+":2: services.a.floor")
	if err := os.WriteFile(faulty, []byte("organisation = \"x\"\nextra = 1\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	f.expect(t, "hyssopsill questionnaire check "+faulty, exitBadInput, faulty+":2: extra: unknown key")
	for _, line := range []string{"nope", "config nope", "targets", "targets --bogus", "targets --node x", "explain",
		"explain a b", "explain a", "explain --target t --from soon --log " + docsLogURL, "config publish " + sunbake,
		"config history", "config validate", "report --from 1m --to 5m --log " + docsLogURL, "targets --output xml" + nodeFlags,
		"questionnaire new --interactive"} {
		f.expect(t, "hyssopsill "+line, exitBadInput)
	}
	f.expect(t, "hyssopsill targets --node http://127.0.0.1:1", exitFailed, "no node responded")
	f.expect(t, "hyssopsill where POST /orders/7 --account school"+nodeFlags, exitOK, "chosen: orders-5 at n2, own failure domain", "0.40 ±0.10", "250 ms",
		"account school is not in the configuration")
	f.expect(t, "hyssopsill where GET /other"+nodeFlags, exitOK, "no target: no route for GET /other")
	f.expect(t, "hyssopsill where GET"+nodeFlags, exitBadInput)
}

// Guards against commands whose JSON output is missing or invalid.
func TestJSONOutput(t *testing.T) {
	f := newFleet(t)
	f.expect(t, publishCommand+sunbake, exitOK)
	for _, line := range []string{"config validate " + sunbake, "config diff " + anfb, "config status", "config history",
		"targets", "explain req-1", "explain --target orders-3", "questionnaire check " + strings.Replace(anfb, "config", "questionnaire", 1),
		"config publish --author ana " + anfb, "config rollback 1 --author ana"} {
		out := f.expect(t, "hyssopsill "+line+" --output json"+allFlags, exitOK)
		if !json.Valid([]byte(out)) {
			t.Errorf("%s: not JSON:\n%s", line, out)
		}
	}
}

// Guards against shell completion that offers no commands.
func TestShellCompletion(t *testing.T) {
	f := newFleet(t)
	for _, shell := range []string{"bash", "zsh", "fish", "pwsh"} {
		f.expect(t, "hyssopsill completion "+shell, exitOK, "generate-shell-completion")
	}
	f.expect(t, "hyssopsill config --generate-shell-completion", exitOK, "validate", "rollback")
}

// Guards against an explanation that ignores the log, shows duplicates or does not
// say that records are missing.
func TestExplain(t *testing.T) {
	f := newFleet(t)
	f.expect(t, "hyssopsill explain refused-59"+nodeFlags, exitOK, "was refused after 41.5ms and did not run", "queue of orders")
	f.expect(t, "hyssopsill explain req-1"+nodeFlags, exitFailed, "the log was not read")
	out := f.expect(t, "hyssopsill explain req-1"+allFlags, exitOK, "Attempt 2 went to target orders-5", "the log lacks 35 records of node n1")
	if n := strings.Count(out, "Request req-1 "); n != 1 {
		t.Errorf("req-1 is explained %d times:\n%s", n, out)
	}
	out = f.expect(t, "hyssopsill explain --target orders-3 --from 15m"+allFlags, exitOK, "was ejected", "returned to rotation",
		"buffer was full", "complete only since", "the log lacks 35 records of node n1")
	if strings.Index(out, "was ejected") > strings.Index(out, "returned to rotation") {
		t.Errorf("timeline out of order:\n%s", out)
	}
	f.expect(t, "hyssopsill explain none --node http://127.0.0.1:1"+allFlags, exitFailed, "did not respond", "no record of none")
	f.log.SetFaults(logservice.Faults{Outage: true})
	f.expect(t, "hyssopsill explain req-1"+allFlags, exitFailed, "the log could not be read")
}

// Guards against an explanation without the records that a node sent only after a
// log outage. A negative --late excludes them.
func TestExplainFindsLateBatches(t *testing.T) {
	f := newFleet(t)
	line := "hyssopsill explain refused-0 --from 2026-03-02T08:01:50Z --to 2026-03-02T08:02:05Z --log " + docsLogURL
	f.expect(t, line, exitOK, "refused-0")
	f.expect(t, line+" --late -1m", exitFailed)
}

// Guards against an explanation that does not mention trimmed batches of the log.
func TestExplainReportsTrimmedLog(t *testing.T) {
	f := newFleet(t)
	f.log.Trim("decisions", 3)
	f.expect(t, "hyssopsill explain req-1 --log "+docsLogURL, exitFailed, "no longer keeps batches before offset 3")
}

// Guards against a binary search that skips batches inside the range.
func TestDecisionSearch(t *testing.T) {
	f := newFleet(t)
	for seconds := 0; seconds < 300; seconds += 20 {
		start := incidentStart.Add(time.Duration(seconds) * time.Second)
		d, err := readDecisions(t.Context(), f.log, start, fixtureNow, 0)
		if err != nil {
			t.Fatal(err)
		}
		all, err := readDecisions(t.Context(), f.log, time.Time{}, fixtureNow, 0)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := countRecordsSince(d, start), countRecordsSince(all, start); got != want {
			t.Errorf("from %s: %d records, want %d", start, got, want)
		}
	}
}

func countRecordsSince(d *decisionReader, from time.Time) (n int) {
	for _, r := range d.collector.Records() {
		if r.InRange(from, time.Time{}) {
			n++
		}
	}
	return n
}

// Guards against a report that loads other files, omits the gap or does not escape
// text as HTML.
func TestReport(t *testing.T) {
	f := newFleet(t)
	file := filepath.Join(t.TempDir(), "report.html")
	f.expect(t, "hyssopsill report --from 15m --title <b>Ejection --file "+file+allFlags, exitOK)
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for _, part := range []string{"<svg", "&lt;b&gt;Ejection", "was ejected", "not-run", "overload", "the log lacks 35 records of node n1", "19 of them are shown",
		"Request req-2 (orders/place) ended after 41.5ms without a known outcome"} {
		if !strings.Contains(page, part) {
			t.Errorf("report lacks %q", part)
		}
	}
	for _, part := range []string{"<script", "<link", " src=", "@import", "<?xml", "<b>Ejection"} {
		if strings.Contains(page, part) {
			t.Errorf("report contains %q", part)
		}
	}
	if strings.Count(page, "<html") != 1 || strings.Count(page, "</svg>") != 1 {
		t.Error("the report is not one page with one plot")
	}
}

func BenchmarkReport(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		var result queryResult
		for i := range n {
			r := newRequestRecord("r", incidentStart.Add(time.Duration(i)*time.Millisecond), "not-run", "overload", "view")
			result.Records = append(result.Records, r)
		}
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := newReportPage("t", incidentStart, fixtureNow, result); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against keys of accounts that publish loses, against a rotation that commands do
// not show, and against API keys in their output.
func TestAccountCommands(t *testing.T) {
	f := newFleet(t)
	base, err := os.ReadFile(sunbake)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, accounts string) string {
		file := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(file, append(slices.Clone(base), "\n"+accounts...), 0o644); err != nil {
			t.Fatal(err)
		}
		return file
	}
	one := write("one.toml", "[accounts.a]\nkeys = [\"secret-1\"]\nrate = 10.0\nburst = 5\n")
	both := write("both.toml", "[accounts.a]\nkeys = [\"secret-1\", \"secret-2\"]\n")
	latest := write("latest.toml", "[accounts.a]\nkeys = [\"secret-2\"]\n[accounts.b]\n")
	shared := write("shared.toml", "[accounts.a]\nkeys = [\"secret-2\"]\n[accounts.b]\nkeys = [\"secret-2\"]\n")
	diff := "hyssopsill config diff --log " + docsLogURL + " "
	output := f.expect(t, "hyssopsill config validate "+one, exitOK, "7 routes, 1 accounts")
	output += f.expect(t, publishCommand+one, exitOK, "version 1 is accepted")
	output += f.expect(t, diff+both, exitOK, "accounts/a", "- keys = ['sha256:", "+ keys = ['sha256:", "- rate = 10")
	output += f.expect(t, diff+"--output json "+both, exitOK, "accounts/a")
	output += f.expect(t, publishCommand+both, exitOK, "version 2 is accepted")
	output += f.expect(t, publishCommand+latest, exitOK, "version 3 is accepted")
	output += f.expect(t, diff+latest, exitOK, "nothing differs")
	output += f.expect(t, publishCommand+shared, exitBadInput, `account "b" has the same key as account "a"`)
	output += f.expect(t, "hyssopsill config history --log "+docsLogURL, exitOK, "accounts/a")
	output += f.expect(t, publishCommand+sunbake, exitOK, "version 4 is accepted")
	output += f.expect(t, diff+latest, exitOK, "accounts/a", "accounts/b")
	if strings.Contains(output, "secret") {
		t.Errorf("the output contains a key:\n%s", output)
	}
}
