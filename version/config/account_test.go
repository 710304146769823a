package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

// Guards against faulty accounts that come into force, against findings that name no
// place, and against keys in findings, which are logged.
func TestAccountFindings(t *testing.T) {
	for text, want := range map[string]string{
		"keys = [\"secret-1\", \"\"]":                                       "test.toml:2: accounts.a.keys[1]: the key is empty",
		"keys = [\"" + strings.Repeat("secret", 683) + `"]`:                 "test.toml:2: accounts.a.keys[0]: the key has 4098 bytes, at most 4096",
		`keys = ["secret 1"]`:                                               "test.toml:2: accounts.a.keys[0]: the key has characters other than visible ASCII",
		`keys = ["secreté"]`:                                                "test.toml:2: accounts.a.keys[0]: the key has characters other than visible ASCII",
		"keys = [\"secret-1\"]\n[accounts.b]\nkeys = [\"x\", \"secret-1\"]": `test.toml:4: accounts.b.keys[1]: account "b" has the same key as account "a"`,
		`keys = [7773331]`:                                                  "test.toml:2: accounts.a.keys[0]: ",
		`keys = "secret"`:                                                   "test.toml:2: accounts.a.keys: ",
		`rank = 16`:                                                         "test.toml:2: accounts.a.rank: is 16, want 0 to 15",
		`rank = -1`:                                                         "test.toml:2: accounts.a.rank: is -1, want 0 to 15",
		`rank = 1.5`:                                                        "test.toml:2: accounts.a.rank: is 1.5, want an integer",
		`rate = -1.0`:                                                       "test.toml:2: accounts.a.rate: is -1, want 0 or more",
		`rate = inf`:                                                        "test.toml:2: accounts.a.rate: is +Inf, want 0 or more",
		`rate = nan`:                                                        "test.toml:2: accounts.a.rate: is NaN, want 0 or more",
		"rate = 1.0\nburst = inf":                                           "test.toml:3: accounts.a.burst: is +Inf, want 0 or more",
		"rate = 1.0\nburst = -2.0":                                          "test.toml:3: accounts.a.burst: is -2, want 0 or more",
		`burst = 5`:                                                         "test.toml:2: accounts.a.burst: a burst needs a rate",
		"[services.s.classes.c]\nrank = 16":                                 "test.toml:3: services.s.classes.c.rank: is 16, want 0 to 15",
	} {
		_, findings := Parse("test.toml", []byte("[accounts.a]\n"+text+"\n"))
		if got := findings.Error(); len(findings) != 1 || !strings.HasPrefix(got, want) || strings.Contains(got, "secret") || strings.Contains(got, "7773331") {
			t.Errorf("%s: got %q, want %q", text, got, want)
		}
	}
	tooMany := &Config{CustomerHeader: DefaultCustomerHeader, Accounts: map[string]Account{}}
	for i := range MaxAccounts + 1 {
		tooMany.Accounts[fmt.Sprint("a", i)] = Account{}
	}
	if got := tooMany.Validate("f").Error(); got != "f: accounts: 100001 accounts, at most 100000" {
		t.Errorf("got %q", got)
	}
	delete(tooMany.Accounts, "a0")
	if err := tooMany.Validate("f").Err(); err != nil {
		t.Errorf("100,000 accounts without keys: %v", err)
	}
}

const accountConfig = `[services.s.classes.c]
rank = 2
[[routes]]
id = "r"
path_prefix = "/r"
service = "s"
class = "c"
public = true
[accounts.a]
keys = ["k1", "k2"]
rank = 0
rate = 104.5
burst = 10
[accounts.without-keys]
`

// Guards against accounts that change when a configuration is split into objects and put
// together again, as publish does, or that a snapshot loses.
func TestAccountObjectsRoundTrip(t *testing.T) {
	c, findings := Parse("test.toml", []byte(accountConfig))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	objects, err := c.Objects()
	if err != nil {
		t.Fatal(err)
	}
	s := NewState()
	var edits []Edit
	for path, value := range objects {
		edits = append(edits, Edit{Object: path, Value: value})
	}
	if r := applyEdits(s, edits...); r.Outcome != OutcomeApplied {
		t.Fatal(r.Outcome, r.Reason())
	}
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for _, got := range []*Config{s.Config(), restored.Config()} {
		if differences, err := Diff(c, got); err != nil || len(differences) > 0 {
			t.Errorf("%v %+v", err, differences)
		}
		if a := got.Accounts["a"]; len(got.Accounts) != 2 || a.Rank == nil || *a.Rank != 0 || a.Rate != 104.5 || a.Burst != 10 || !got.Routes[0].Public ||
			got.Services["s"].Classes["c"].Rank != 2 {
			t.Errorf("got %+v", got)
		}
	}
	if r := applyEdits(restored, Edit{Object: "accounts/b", Value: `keys = ["k2"]`}); r.Outcome != OutcomeInvalid {
		t.Errorf("a key of an account from a snapshot was given to another account: %s", r.Outcome)
	}
}

// applyEdits applies a change to the objects as they are.
func applyEdits(s *State, edits ...Edit) Result {
	for i := range edits {
		edits[i].BaseVersion = s.ObjectVersion(edits[i].Object)
	}
	data, _ := json.Marshal(Change{ChangeID: fmt.Sprint("c", s.Offset()+1), Author: "t", Edits: edits})
	return s.Apply(eventlog.Record{Offset: s.Offset() + 1, Data: data})
}

// Guards against a rotation in which no key of the account is valid at some version, and
// against a key that two accounts hold after separate changes.
func TestAccountChanges(t *testing.T) {
	s := NewState()
	for i, step := range []struct {
		edits   []Edit
		outcome Outcome
		want    string // keys by account
	}{
		{[]Edit{{Object: "accounts/a", Value: `keys = ["old"]`}}, OutcomeApplied, "map[a:[old]]"},
		{[]Edit{{Object: "accounts/a", Value: `keys = ["old", "new"]`}}, OutcomeApplied, "map[a:[old new]]"},
		{[]Edit{{Object: "accounts/b", Value: `keys = ["old"]`}}, OutcomeInvalid, "map[a:[old new]]"},
		{[]Edit{{Object: "accounts/a", Value: `keys = ["new"]`}}, OutcomeApplied, "map[a:[new]]"},
		{[]Edit{{Object: "accounts/b", Value: `keys = ["old"]`}}, OutcomeApplied, "map[a:[new] b:[old]]"},
		{[]Edit{{Object: "accounts/c", Value: `keys = ["x"]`}, {Object: "accounts/d", Value: `keys = ["x"]`}}, OutcomeInvalid, "map[a:[new] b:[old]]"},
		{[]Edit{{Object: "accounts/a", Value: `keys = ["old"]`}, {Object: "accounts/b", Value: `keys = ["new"]`}}, OutcomeApplied, "map[a:[old] b:[new]]"},
		{[]Edit{{Object: "accounts/a", Value: `burst = 1`}}, OutcomeInvalid, "map[a:[old] b:[new]]"},
		{[]Edit{{Object: "accounts/a"}, {Object: "accounts/b", Value: `keys = ["new", "old"]`}}, OutcomeApplied, "map[b:[new old]]"},
		{[]Edit{{Object: "accounts/b/c", Value: `keys = ["y"]`}}, OutcomeMalformed, "map[b:[new old]]"},
		{[]Edit{{Object: "accounts/b"}}, OutcomeApplied, "map[]"},
	} {
		r := applyEdits(s, step.edits...)
		keys := map[string][]string{}
		for name, a := range s.Config().Accounts {
			keys[name] = a.Keys
		}
		if got := fmt.Sprint(keys); r.Outcome != step.outcome || got != step.want {
			t.Errorf("step %d: %s %s, keys %s, want %s", i, r.Outcome, r.Reason(), got, step.want)
		}
		if strings.Contains(r.Reason(), "old") && r.Outcome == OutcomeInvalid {
			t.Errorf("step %d: the reason contains a key: %s", i, r.Reason())
		}
	}
	if len(s.accountByKey) > 0 {
		t.Errorf("keys of deleted accounts are kept: %v", maps.Clone(s.accountByKey))
	}
}

// Guards against API keys in the differences that commands print, and against a rotation
// that they do not show.
func TestDifferenceWithoutKeys(t *testing.T) {
	d := Difference{Object: "accounts/a", From: "keys = [\"secret-1\"]\nrank = 0\n", To: "keys = [\"secret-1\", \"secret-2\"]\n"}.WithoutKeys()
	if strings.Contains(d.From+d.To, "secret") || !strings.Contains(d.From, "rank = 0") || strings.Count(d.From, "sha256:") != 1 || strings.Count(d.To, "sha256:") != 2 {
		t.Errorf("got %+v", d)
	}
	broken := Difference{Object: "accounts/a", From: emptyObject, To: "keys = [secret]"}.WithoutKeys()
	if strings.Contains(broken.To, "secret") || broken.From != emptyObject {
		t.Errorf("got %+v", broken)
	}
}

// Guards against API keys in the messages on a file that cannot be decoded.
func TestSyntaxErrorsHoldNoKey(t *testing.T) {
	for _, text := range []string{"keys = [secret1]", "keys = [\"secret1]", "keys = 'secret1", "keys = \"secret1\"x", "keys = [\"\\secret1\"]", "keys = [\"secret1\"\n",
		"keys = [\"secret1\" \"secret1\"]", "keys = {k = \"secret1\"}", "keys = [[\"secret1\"]]", "keys = [\"a\"]\nkeys = [\"secret1\"]", "rank = \"secret1\"",
		"rate = \"secret1\"", "keys = [true, \"secret1\"]"} {
		_, findings := Parse("test.toml", []byte("[accounts.a]\n"+text+"\n"))
		if len(findings) == 0 || strings.Contains(findings.Error(), "secret") {
			t.Errorf("%s: got %v", text, findings)
		}
	}
}
