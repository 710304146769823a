package account

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

func testAccounts(n int) []Account {
	accounts := make([]Account, n)
	for i := range accounts {
		accounts[i] = Account{Name: fmt.Sprintf("a%d", i), Keys: []string{fmt.Sprintf("key-%d-old", i), fmt.Sprintf("key-%d-new", i)}}
	}
	return accounts
}

// Guards against requests that are admitted without exactly one known key, and against
// public routes that refuse a request for its key.
func TestAdmit(t *testing.T) {
	table := NewTable(testAccounts(3))
	for name, test := range map[string]struct {
		fields  []string
		account string
	}{
		"first key":          {[]string{"key-1-old"}, "a1"},
		"second key":         {[]string{"key-1-new"}, "a1"},
		"no field":           {nil, ""},
		"empty key":          {[]string{""}, ""},
		"unknown key":        {[]string{"key-9-old"}, ""},
		"other letter case":  {[]string{"KEY-1-OLD"}, ""},
		"part of a key":      {[]string{"key-1"}, ""},
		"key over 256 bytes": {[]string{strings.Repeat("k", 257)}, ""},
		"same key twice":     {[]string{"key-1-old", "key-1-old"}, ""},
		"two keys":           {[]string{"key-1-old", "key-2-old"}, ""},
		"empty and known":    {[]string{"", "key-1-old"}, ""},
	} {
		for _, public := range []bool{false, true} {
			d := table.Admit(test.fields, public)
			got := ""
			if d.Account != nil {
				got = d.Account.Name
			}
			if got != test.account || d.Admitted != (public || test.account != "") {
				t.Errorf("%s, public %v: %+v", name, public, d)
			}
			if d.Account != nil && d.Account.Keys != nil {
				t.Errorf("%s: the decision holds the keys of the account", name)
			}
			for _, field := range test.fields {
				if field != "" && strings.Contains(d.Why, field) {
					t.Errorf("%s: the reason contains the key: %q", name, d.Why)
				}
			}
		}
	}
}

// Replays a seeded mix of callers, of which some have no key, a removed one or a guessed
// one. Guards against any of these being served; without accounts all are.
func TestCallersWithoutValidKeys(t *testing.T) {
	const requests = 20_000
	for _, accounts := range []int{0, 52_000} {
		random := rand.New(rand.NewPCG(1, 2))
		table := NewTable(testAccounts(accounts))
		var valid, admitted, wrong int
		for range requests {
			n := random.IntN(52_000)
			fields := map[int][]string{0: nil, 1: {fmt.Sprintf("key-%d-removed", n)}, 2: {fmt.Sprint(random.Uint64())}}[random.IntN(6)]
			owner := ""
			if fields == nil && random.IntN(2) > 0 {
				fields, owner = []string{fmt.Sprintf("key-%d-old", n)}, fmt.Sprintf("a%d", n)
				valid++
			}
			d := table.Admit(fields, false)
			if d.Admitted {
				admitted++
			}
			if accounts > 0 && (d.Admitted != (owner != "") || d.Admitted && d.Account.Name != owner) {
				wrong++
			}
		}
		if want := map[bool]int{true: valid, false: requests}[accounts > 0]; admitted != want || wrong > 0 {
			t.Errorf("%d accounts: %d of %d requests admitted, want %d; %d wrong decisions", accounts, admitted, requests, want, wrong)
		}
	}
}

// Guards against a class that takes precedence over the rank of its account, and against
// a request without an account that gets the most urgent rank.
func TestRequestRank(t *testing.T) {
	one := 1
	ranked := &Account{Rank: &one}
	for _, test := range []struct {
		account *Account
		class   int
		want    int
	}{{nil, 0, 0}, {nil, 2, 34}, {&Account{}, 2, 34}, {ranked, 0, 16}, {ranked, 15, 31}, {nil, attempt.MaxRank, 255}} {
		if got := RequestRank(test.account, test.class); got != test.want {
			t.Errorf("%+v, class %d: got %d, want %d", test.account, test.class, got, test.want)
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{10, 52_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := NewTable(testAccounts(n))
			keys := make([][]string, 1024)
			for i := range keys {
				keys[i] = []string{fmt.Sprintf("key-%d-new", i%n)}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				table.Admit(keys[i%len(keys)], false)
				i++
			}
		})
	}
}
