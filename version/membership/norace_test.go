//go:build !race

package membership

import "time"

// trafficTime is the virtual time over which TestTrafficStaysWithinBudget measures.
const trafficTime = 40 * time.Second
