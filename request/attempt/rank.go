package attempt

import "strconv"

// maxRank is the least urgent rank of a request: 16 × 15 + 15.
const maxRank = 255

// ParseRank returns the rank in a HeaderRank field, -1 when it is absent or invalid. The
// work is then ordered as without ranks.
func ParseRank(text string) int {
	if rank, err := strconv.Atoi(text); err == nil && rank >= 0 && rank <= maxRank {
		return rank
	}
	return -1
}
