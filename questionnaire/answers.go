package questionnaire

import (
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/hyssopsill/hyssopsill/finding"
)

// Answers is a filled-in questionnaire.
type Answers struct {
	Organisation   string    `toml:"organisation"`
	CustomerHeader string    `toml:"customer_header"`
	Services       []Service `toml:"services"`
}

// Count is a whole number. It is decoded as a float so that a fraction is
// reported instead of truncated.
type Count float64

// Service holds the answers about one service.
type Service struct {
	Name             string   `toml:"name"`
	Purpose          string   `toml:"purpose"`
	Host             string   `toml:"host"`
	Instances        Count    `toml:"instances"`
	SlotsPerInstance Count    `toml:"slots_per_instance"`
	InstancesOut     Count    `toml:"instances_out"`
	WarmUp           string   `toml:"warm_up"`
	HealthPath       string   `toml:"health_path"`
	WhenFull         WhenFull `toml:"when_full"`
	LongestWait      string   `toml:"longest_wait"`
	CustomerPercent  float64  `toml:"customer_percent"`
	MostPerSecond    float64  `toml:"most_per_second"`
	MostAtOnce       Count    `toml:"most_at_once"`
	Work             []Work   `toml:"work"`
}

// Work holds the answers about one kind of work of a service.
type Work struct {
	Name              string   `toml:"name"`
	Purpose           string   `toml:"purpose"`
	Paths             []string `toml:"paths"`
	Methods           []string `toml:"methods"`
	TwiceHurts        YesNo    `toml:"twice_hurts"`
	Typical           string   `toml:"typical"`
	Longest           string   `toml:"longest"`
	Runs              Runs     `toml:"runs"`
	UsualDemand       float64  `toml:"usual_demand"`
	PeakDemand        float64  `toml:"peak_demand"`
	LargestRequestKiB Count    `toml:"largest_request_kib"`
}

// YesNo is "yes" or "no", or empty when not answered.
type YesNo string

// Answers of type YesNo.
const (
	Yes YesNo = "yes"
	No  YesNo = "no"
)

// WhenFull says what happens to a customer's request when all slots are taken.
type WhenFull string

// Answers of type WhenFull.
const (
	Refuse WhenFull = "refuse" // it is refused at once
	Wait   WhenFull = "wait"   // it waits up to LongestWait before it is refused
)

// Runs says how long a kind of work runs compared with the rest.
type Runs string

// Answers of type Runs.
const (
	Short Runs = "short"
	Long  Runs = "long"  // many times longer than the rest, such as downloads
	Mixed Runs = "mixed" // both under one path
)

const (
	maxFileBytes = 1 << 20
	// maxNesting bounds the nesting of brackets and dots, since the TOML decoder
	// recurses on them.
	maxNesting = 32
)

// Parse decodes and checks a questionnaire. It reports all findings together;
// the answers are complete only when there is none.
func Parse(file string, data []byte) (Answers, finding.List) {
	var a Answers
	if len(data) > maxFileBytes {
		return a, finding.List{{File: file, Message: "larger than 1 MiB"}}
	}
	if line := finding.DeepNestingLine(data, maxNesting, 8*maxNesting); line > 0 {
		return a, finding.List{{File: file, Line: line, Message: "nested too deeply"}}
	}
	doc := finding.Decode(file, data, &a)
	if err := toml.Unmarshal(data, &map[string]any{}); err != nil {
		return a, doc.Findings().Sorted() // the syntax error alone
	}
	mistypedKeys := map[string]bool{}
	for _, f := range doc.Findings() {
		mistypedKeys[f.Key] = true
	}
	c := checker{addFinding: func(key, format string, args ...any) {
		// The decoder already reported each value of the wrong type. Here it would
		// be reported again, as not answered.
		if !hasKeyOrParent(key, mistypedKeys) {
			doc.Add(key, format, args...)
		}
	}}
	c.answers(&a)
	return a, doc.Findings().Sorted()
}

// hasKeyOrParent reports whether the key or one of its parents is in the set.
func hasKeyOrParent(key string, set map[string]bool) bool {
	for key != "" {
		if set[key] {
			return true
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return false
}

// Check returns all findings in a questionnaire with file, line and key.
func Check(file string, data []byte) finding.List {
	_, list := Parse(file, data)
	return list
}

// checkedDuration parses a duration that Parse has already checked.
func checkedDuration(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}
