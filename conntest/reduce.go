package conntest

import (
	"context"
	"maps"

	"github.com/hyssopsill/hyssopsill/conformance"
)

// reducePlays is how often a smaller case may keep a rule before it counts as one that does.
// What a case shows depends on the order in which threads run.
const reducePlays = 2

// Reduce returns the result of the smallest case that it finds which still violates a rule
// that r violates: as many dimensions as possible have their plainest value.
func Reduce(ctx context.Context, r Result, rule conformance.Rule) (Result, error) {
	for changed := true; changed; {
		changed = false
		for _, d := range dimensions {
			if r.Case.is(d.Name, d.Values[0]) {
				continue
			}
			smaller := maps.Clone(r.Case)
			delete(smaller, d.Name)
			result, err := playUntil(ctx, smaller, rule)
			if err != nil {
				return r, err
			}
			if result.breaks(rule) {
				r, changed = result, true
			}
		}
	}
	return r, nil
}

// playUntil plays a case until it violates a rule, at most reducePlays times.
func playUntil(ctx context.Context, c Case, rule conformance.Rule) (result Result, err error) {
	for range reducePlays {
		if result, err = Play(ctx, c); err != nil || result.breaks(rule) {
			break
		}
	}
	return result, err
}
