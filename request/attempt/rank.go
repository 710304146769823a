package attempt

import "strconv"

// MaxRank is the least urgent rank of an account and of a class; 0 is the most urgent.
const MaxRank = 15

// CombinedRank returns the value of HeaderRank for the rank of the account, or of the
// class where there is no account with a rank, and the rank of the class.
func CombinedRank(account, class int) int { return (MaxRank+1)*account + class }

// ParseRank returns the rank in a HeaderRank field, -1 when it is absent or invalid, so
// that the rank of the class applies.
func ParseRank(text string) int {
	rank, err := strconv.Atoi(text)
	if err != nil || rank < 0 || rank > CombinedRank(MaxRank, MaxRank) {
		return -1
	}
	return rank
}
