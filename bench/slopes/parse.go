package slopes

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Point holds the results of a benchmark at one size. Value is their median.
type Point struct {
	Size, Value float64
	Runs        int
	Min, Max    float64 // of the runs
}

// Series holds the points of one benchmark and unit, sorted by size.
type Series struct {
	Name      string // without the size
	Dimension string // what the size counts, such as nodes
	Unit      string
	Points    []Point
}

type seriesKey struct{ name, dimension, unit string }

var (
	sizedName  = regexp.MustCompile(`^Benchmark(.*)/([a-z]+)=(\d+)$`)
	procSuffix = regexp.MustCompile(`-\d+$`) // of GOMAXPROCS, absent when it is 1
)

// Parse reads the output of go test -bench and returns one series for each
// benchmark and unit. It ignores benchmarks without a size in their names.
func Parse(r io.Reader) ([]Series, error) {
	values := map[seriesKey]map[float64][]float64{}
	var keys []seriesKey
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := sizedName.FindStringSubmatch(procSuffix.ReplaceAllString(fields[0], ""))
		if name == nil {
			continue
		}
		size, err := strconv.ParseFloat(name[3], 64)
		if err != nil {
			return nil, fmt.Errorf("slopes: %s: %w", fields[0], err)
		}
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("slopes: %s: %w", fields[0], err)
			}
			key := seriesKey{name[1], name[2], fields[i+1]}
			if values[key] == nil {
				values[key] = map[float64][]float64{}
				keys = append(keys, key)
			}
			values[key][size] = append(values[key][size], value)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	var all []Series
	for _, key := range keys {
		s := Series{Name: key.name, Dimension: key.dimension, Unit: key.unit}
		for size, runs := range values[key] {
			slices.Sort(runs)
			s.Points = append(s.Points, Point{Size: size, Value: median(runs), Runs: len(runs), Min: runs[0], Max: runs[len(runs)-1]})
		}
		slices.SortFunc(s.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
		all = append(all, s)
	}
	return all, nil
}

func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}
