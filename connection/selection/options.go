package selection

import "time"

// Options configure a Selector. Zero values take the defaults.
type Options struct {
	// Entry is the name of this node. It determines the subsets.
	Entry string
	// Domain and Region are the failure domain and region of this node.
	Domain, Region string
	// SubsetSize is the maximum number of targets used of a service. Default 24.
	SubsetSize int
	// RemoteDomainCost is added to the load per slot of targets in another failure
	// domain when targets are compared. Default 0.5.
	RemoteDomainCost float64
	// RemoteRegionCost is the same for targets in another region. Default 1.5.
	RemoteRegionCost float64
	// LoadHalfLife is the time in which the reported load of other entries loses
	// half of its weight. With ShareLoads it applies only until service times are
	// known. Default 1s.
	LoadHalfLife time.Duration
	// SlowStartShare is the weight of a target at the beginning of its slow start.
	// Default 0.1.
	SlowStartShare float64
	// ShareLoads makes the selector use loads that other nodes report, and compare
	// targets by loads drawn from what is known of them. See connection/loadview.
	ShareLoads bool

	disabled switches
}

// switches disable single mechanisms, for the tests that show what each prevents.
type switches struct {
	local, twoChoices, reported, slowStart, spread bool
}

func (o Options) withDefaults() Options {
	if o.SubsetSize == 0 {
		o.SubsetSize = 24
	}
	if o.RemoteDomainCost == 0 {
		o.RemoteDomainCost = 0.5
	}
	if o.RemoteRegionCost == 0 {
		o.RemoteRegionCost = 1.5
	}
	if o.LoadHalfLife == 0 {
		o.LoadHalfLife = time.Second
	}
	if o.SlowStartShare == 0 {
		o.SlowStartShare = 0.1
	}
	return o
}

// Candidate describes a target that may be chosen.
type Candidate struct {
	Target, Node, Domain, Region, Service string
	Slots                                 int
	Leaving                               bool
	// ColdSince is when the target's incarnation was announced, and SlowStart
	// the time over which its weight grows. Zero means no slow start.
	ColdSince time.Time
	SlowStart time.Duration
}
