package entry

const (
	// sizeWeight is the weight of one exchange in the mean size of a route.
	sizeWeight = 0.1
	// sizeUnit is the number of bytes, request and answer together, at which the
	// distance to another failure domain counts as the selector's options say.
	// Traffic between failure domains is billed by the byte.
	sizeUnit = 10 << 10
	// distanceLeast keeps a preference for the own failure domain for small
	// exchanges, whose round trip is shorter there.
	distanceLeast = 0.4
)

// noteSize takes the size of an exchange in bytes. e.mu is held.
func (e *Entry) noteSize(route string, bytes int64) {
	mean, known := e.sizes[route]
	if !known {
		e.sizes[route] = float64(bytes)
		return
	}
	e.sizes[route] = mean + sizeWeight*(float64(bytes)-mean)
}

// distance scales the cost of other failure domains by the size of the
// exchange. e.mu is held.
func (e *Entry) distance(route string) float64 {
	mean, known := e.sizes[route]
	if !known {
		return 1
	}
	return max(distanceLeast, mean/sizeUnit)
}
