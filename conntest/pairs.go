package conntest

import (
	"fmt"
	"iter"
)

// value is a value of a dimension, by their positions.
type value struct{ dimension, value int }

// Pair is two values of two dimensions that a case has.
type pair [2]value

// pairs counts in how many cases each pair occurred.
type pairs map[pair]int

func (p pairs) add(c Case) {
	for both := range pairsOf(c) {
		p[both]++
	}
}

// remove takes back add.
func (p pairs) remove(c Case) {
	for both := range pairsOf(c) {
		p[both]--
	}
}

// hasAll reports whether all pairs of a case occurred.
func (p pairs) hasAll(c Case) bool {
	for both := range pairsOf(c) {
		if p[both] <= 0 {
			return false
		}
	}
	return true
}

// pairsOf returns the pairs of a case.
func pairsOf(c Case) iter.Seq[pair] {
	return func(yield func(pair) bool) {
		values := positions(c)
		for i, a := range values {
			for j, b := range values[i+1:] {
				if !yield(pair{{i, a}, {i + 1 + j, b}}) {
					return
				}
			}
		}
	}
}

// positions returns the position of a case's value for each dimension.
func positions(c Case) []int {
	out := make([]int, len(dimensions))
	for i, d := range dimensions {
		v := c.value(d.Name)
		for j, candidate := range d.Values {
			if candidate == v {
				out[i] = j
			}
		}
	}
	return out
}

// missing returns the pairs that did not occur, in the order of the dimensions.
func (p pairs) missing() []pair {
	var out []pair
	for i, a := range dimensions {
		for j := range dimensions[i+1:] {
			j += i + 1
			for x := range a.Values {
				for y := range dimensions[j].Values {
					if both := (pair{{i, x}, {j, y}}); p[both] == 0 {
						out = append(out, both)
					}
				}
			}
		}
	}
	return out
}

// pairTotal returns the number of all pairs.
func pairTotal() int { return len(pairs{}.missing()) }

func (v value) String() string {
	d := dimensions[v.dimension]
	return d.Name + "=" + d.Values[v.value]
}

func (p pair) String() string { return fmt.Sprintf("%s %s", p[0], p[1]) }
