package entry

const (
	// sizeWeight is the weight of one exchange in the mean size of a route.
	sizeWeight = 0.1
	// referenceBytes is the size of an exchange, request and response together, at
	// which the cost of another failure domain is the one in the selector's options.
	// Traffic between failure domains is billed by the byte.
	referenceBytes = 10 << 10
	// minRemoteCostFactor makes small exchanges, too, prefer the entry's own failure
	// domain, where the round trip is shorter.
	minRemoteCostFactor = 0.4
)

// observeSize adds the size of an exchange to the mean of its route. The caller
// holds e.mu.
func (e *Entry) observeSize(route string, bytes int64) {
	mean, known := e.meanSizes[route]
	if !known {
		e.meanSizes[route] = float64(bytes)
		return
	}
	e.meanSizes[route] = mean + sizeWeight*(float64(bytes)-mean)
}

// remoteCostFactor returns the factor by which the mean exchange size of a route
// scales the cost of other failure domains. The caller holds e.mu.
func (e *Entry) remoteCostFactor(route string) float64 {
	mean, known := e.meanSizes[route]
	if !known {
		return 1
	}
	return max(minRemoteCostFactor, mean/referenceBytes)
}
