package telemetry

import (
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
)

const (
	// CustomerGroups is the number of customer histograms, whatever the number
	// of customers.
	CustomerGroups = 64
	// DefaultMaxSeries bounds the pairs of service and class: 140 services
	// with up to 4 classes each, and some for services that were renamed.
	// Further pairs share the series OtherSeries.
	DefaultMaxSeries = 700
	// OtherSeries is the name of the series for pairs beyond the bound.
	OtherSeries = "other"

	// Values are recorded in microseconds. A resolution of 64 µs is fine enough
	// for the bound of 0.6 ms on added latency; two significant digits keep
	// quantiles within 1 %.
	histogramLowestUS  = 64
	histogramHighestUS = int64(time.Hour / time.Microsecond)
	histogramDigits    = 2
)

// CustomerGroup returns the group of a customer, 0 to 63.
func CustomerGroup(customer string) int { return int(xxhash.Sum64String(customer) % CustomerGroups) }

// histogram is an HdrHistogram guarded by a mutex.
type histogram struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{hdr: hdrhistogram.New(histogramLowestUS, histogramHighestUS, histogramDigits)}
}

// record clamps d to the range of the histogram, so that no observation is lost.
func (h *histogram) record(d time.Duration) {
	us := min(max(d.Microseconds(), 0), histogramHighestUS)
	h.mu.Lock()
	_ = h.hdr.RecordValue(us) // cannot fail within the range
	h.mu.Unlock()
}

// HistogramSummary summarizes a histogram. Times are in milliseconds.
type HistogramSummary struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P95MS  float64 `json:"p95_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`
	MaxMS  float64 `json:"max_ms"`
}

func (h *histogram) summary() HistogramSummary {
	h.mu.Lock()
	defer h.mu.Unlock()
	quantiles := h.hdr.ValueAtPercentilesSlice([]float64{50, 95, 99, 99.9})
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return HistogramSummary{
		Count: h.hdr.TotalCount(), MeanMS: h.hdr.Mean() / 1000, MaxMS: ms(h.hdr.Max()),
		P50MS: ms(quantiles[0]), P95MS: ms(quantiles[1]), P99MS: ms(quantiles[2]), P999MS: ms(quantiles[3]),
	}
}

type seriesKey struct{ service, class string }

func (k seriesKey) String() string {
	if k.class == "" {
		return k.service
	}
	return k.service + "/" + k.class
}

// Histograms holds latency per service and class and per customer group. Its
// memory is bounded by the number of series, not of customers. It is safe for
// concurrent use.
type Histograms struct {
	maxSeries   int
	perCustomer bool // one series per customer instead of per group, for tests

	mu        sync.RWMutex
	classes   map[seriesKey]*histogram
	customers map[string]*histogram
}

// NewHistograms returns an empty set; maxSeries 0 means DefaultMaxSeries.
func NewHistograms(maxSeries int) *Histograms {
	if maxSeries <= 0 {
		maxSeries = DefaultMaxSeries
	}
	return &Histograms{
		maxSeries: maxSeries, classes: map[seriesKey]*histogram{}, customers: map[string]*histogram{},
	}
}

var groupNames = func() (names [CustomerGroups]string) {
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	return names
}()

// Observe records the duration of a request.
func (s *Histograms) Observe(service, class, customer string, d time.Duration) {
	s.classHistogram(seriesKey{service, class}).record(d)
	group := customer
	if !s.perCustomer {
		group = groupNames[CustomerGroup(customer)]
	}
	s.customerHistogram(group).record(d)
}

func (s *Histograms) classHistogram(key seriesKey) *histogram {
	s.mu.RLock()
	h := s.classes[key]
	s.mu.RUnlock()
	if h != nil {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h = s.classes[key]; h != nil {
		return h
	}
	if len(s.classes) >= s.maxSeries {
		key = seriesKey{service: OtherSeries}
		if h = s.classes[key]; h != nil {
			return h
		}
	}
	h = newHistogram()
	s.classes[key] = h
	return h
}

func (s *Histograms) customerHistogram(group string) *histogram {
	s.mu.RLock()
	h := s.customers[group]
	s.mu.RUnlock()
	if h != nil {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h = s.customers[group]; h == nil {
		h = newHistogram()
		s.customers[group] = h
	}
	return h
}

// Series returns the number of histograms.
func (s *Histograms) Series() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.classes) + len(s.customers)
}

// HistogramsSnapshot summarizes Histograms for /debug/vars.
type HistogramsSnapshot struct {
	Classes        map[string]HistogramSummary `json:"classes"`         // by service/class
	CustomerGroups map[string]HistogramSummary `json:"customer_groups"` // by group number
}

// Snapshot summarizes all histograms.
func (s *Histograms) Snapshot() HistogramsSnapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := HistogramsSnapshot{Classes: map[string]HistogramSummary{}, CustomerGroups: map[string]HistogramSummary{}}
	for key, h := range s.classes {
		out.Classes[key.String()] = h.summary()
	}
	for group, h := range s.customers {
		out.CustomerGroups[group] = h.summary()
	}
	return out
}
