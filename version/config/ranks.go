package config

import "github.com/hyssopsill/hyssopsill/request/attempt"

// RanksDiffer reports whether the ranks that requests may have differ. Accounts without a
// rank have that of the class.
func (c *Config) RanksDiffer() bool {
	accountRanks, ranks := map[int]bool{}, map[int]bool{}
	for _, a := range c.Accounts {
		if a.Rank != nil {
			accountRanks[*a.Rank] = true
		}
	}
	for _, s := range c.Services {
		for _, class := range s.Classes {
			ranks[attempt.CombinedRank(class.Rank, class.Rank)] = true
			for rank := range accountRanks {
				ranks[attempt.CombinedRank(rank, class.Rank)] = true
			}
		}
	}
	return len(ranks) > 1
}
