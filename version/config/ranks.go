package config

import "github.com/hyssopsill/hyssopsill/request/attempt"

// RanksDiffer reports whether the ranks of the accounts and classes differ. Accounts without
// a rank have that of the class.
func (c *Config) RanksDiffer() bool {
	first, known := 0, false
	differs := func(rank int) bool {
		if !known {
			first, known = rank, true
		}
		return rank != first
	}
	for _, s := range c.Services {
		for _, class := range s.Classes {
			if differs(attempt.CombinedRank(class.Rank, class.Rank)) {
				return true
			}
			for _, a := range c.Accounts {
				if a.Rank != nil && differs(attempt.CombinedRank(*a.Rank, class.Rank)) {
					return true
				}
			}
		}
	}
	return false
}
