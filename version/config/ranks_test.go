package config

import "testing"

// Guards against ranks that change the order of a deployment in which all are equal, and
// against an account whose rank has no effect.
func TestRanksDiffer(t *testing.T) {
	rank := func(n int) *int { return &n }
	for _, c := range []struct {
		name     string
		classes  map[string]Class
		accounts map[string]Account
		want     bool
	}{
		{"no classes", nil, map[string]Account{"a": {Rank: rank(1)}, "b": {Rank: rank(2)}}, false},
		{"equal classes", map[string]Class{"x": {Rank: 2}, "y": {Rank: 2}}, map[string]Account{"a": {}}, false},
		{"classes", map[string]Class{"x": {Rank: 2}, "y": {}}, nil, true},
		{"account of the rank of the class", map[string]Class{"x": {Rank: 2}}, map[string]Account{"a": {Rank: rank(2)}}, false},
		{"account", map[string]Class{"x": {Rank: 2}}, map[string]Account{"a": {Rank: rank(0)}}, true},
	} {
		config := &Config{Services: map[string]Service{"shop": {Classes: c.classes}}, Accounts: c.accounts}
		if got := config.RanksDiffer(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
