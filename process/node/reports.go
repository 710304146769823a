package node

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/poison"
)

// reports is what the entry and the gate of a node tell the others by gossip.
type reports struct {
	health []health.Report
	poison []poison.Report
	demand map[uint32]float32 // requests/s by hash of the service
}

const reportsForm = 1 // first byte of an encoding

// Parts of an encoding. Each is a tag, its length and its content, so that the
// least important parts are left out when the bound is reached.
const (
	partPoison byte = iota + 1
	partHealth
	partDemand
)

var errReports = errors.New("reports: malformed")

func serviceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// encodeReports returns at most limit bytes. Poison goes first, then the
// greatest suspicions, then the greatest demands.
func encodeReports(r reports, limit int) []byte {
	out := []byte{reportsForm}
	add := func(tag byte, content []byte) {
		part := binary.AppendUvarint([]byte{tag}, uint64(len(content)))
		if len(out)+len(part)+len(content) <= limit {
			out = append(append(out, part...), content...)
		}
	}
	poisons := slices.Clone(r.poison)
	slices.SortStableFunc(poisons, func(a, b poison.Report) int { return b.Until.Compare(a.Until) })
	for _, p := range poisons {
		add(partPoison, encodePoison(p))
	}
	suspicions := slices.Clone(r.health)
	slices.SortStableFunc(suspicions, func(a, b health.Report) int {
		switch {
		case a.Suspicion > b.Suspicion:
			return -1
		case a.Suspicion < b.Suspicion:
			return 1
		}
		return strings.Compare(a.Target, b.Target)
	})
	for _, h := range suspicions {
		add(partHealth, encodeHealth(h))
	}
	for _, d := range topDemands(r.demand) {
		add(partDemand, binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(nil, d.service), math.Float32bits(d.rate)))
	}
	return out
}

type serviceDemand struct {
	service uint32
	rate    float32
}

func topDemands(demand map[uint32]float32) []serviceDemand {
	var list []serviceDemand
	for s, rate := range demand {
		list = append(list, serviceDemand{s, rate})
	}
	slices.SortFunc(list, func(a, b serviceDemand) int {
		switch {
		case a.rate > b.rate:
			return -1
		case a.rate < b.rate:
			return 1
		}
		return int(int64(a.service) - int64(b.service))
	})
	return list
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendTime(b []byte, t time.Time) []byte {
	if t.IsZero() {
		return binary.AppendVarint(b, 0)
	}
	return binary.AppendVarint(b, t.UnixMicro())
}

func encodePoison(p poison.Report) []byte {
	b := binary.LittleEndian.AppendUint64(nil, uint64(p.Digest))
	b = appendTime(appendTime(b, p.Cleared), p.Until)
	b = binary.AppendUvarint(b, uint64(len(p.Crashes)))
	for _, c := range p.Crashes {
		b = appendTime(appendTime(appendString(b, c.Target), c.Started), c.At)
	}
	b = binary.AppendUvarint(b, uint64(len(p.Running)))
	for _, target := range p.Running {
		b = appendString(b, target)
	}
	return b
}

func encodeHealth(h health.Report) []byte {
	b := appendString(nil, h.Target)
	b = binary.AppendVarint(b, h.Incarnation.StartedMS)
	b = binary.LittleEndian.AppendUint64(b, h.Incarnation.Random)
	return append(b, byte(math.Round(min(max(h.Suspicion, 0), 1)*255)))
}

// reader takes values off a message; after a fault all values are zero.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n uint64) []byte {
	if r.bad || n > uint64(len(r.b)) {
		r.bad = true
		return make([]byte, min(n, 8))
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.b)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) text() string { return string(r.take(r.uvarint())) }

func (r *reader) time() time.Time {
	if us := r.varint(); us != 0 {
		return time.UnixMicro(us).UTC()
	}
	return time.Time{}
}

// decodeReports reads what node wrote. A malformed message has no effect.
func decodeReports(node string, now time.Time, data []byte) (reports, error) {
	out := reports{demand: map[uint32]float32{}}
	if len(data) == 0 {
		return out, nil
	}
	if data[0] != reportsForm {
		return out, errReports
	}
	r := &reader{b: data[1:]}
	for len(r.b) > 0 && !r.bad {
		tag := r.take(1)[0]
		part := &reader{b: r.take(r.uvarint())}
		if r.bad {
			break
		}
		switch tag {
		case partPoison:
			out.poison = append(out.poison, part.poison(node))
		case partHealth:
			out.health = append(out.health, part.health(node, now))
		case partDemand:
			out.demand[binary.LittleEndian.Uint32(part.take(4))] = math.Float32frombits(binary.LittleEndian.Uint32(part.take(4)))
		}
		r.bad = r.bad || part.bad
	}
	if r.bad {
		return reports{}, errReports
	}
	return out, nil
}

// maxParts bounds the lists of one report.
const maxParts = 64

func (r *reader) poison(node string) poison.Report {
	p := poison.Report{Node: node, Digest: poison.RequestDigest(binary.LittleEndian.Uint64(r.take(8)))}
	p.Cleared, p.Until = r.time(), r.time()
	n := r.uvarint()
	for i := uint64(0); i < n && i < maxParts && !r.bad; i++ {
		p.Crashes = append(p.Crashes, poison.CrashRecord{Target: r.text(), Started: r.time(), At: r.time()})
	}
	n = r.uvarint()
	for i := uint64(0); i < n && i < maxParts && !r.bad; i++ {
		p.Running = append(p.Running, r.text())
	}
	return p
}

func (r *reader) health(node string, now time.Time) health.Report {
	h := health.Report{From: node, Target: r.text(), At: now}
	h.Incarnation = attempt.Incarnation{StartedMS: r.varint(), Random: binary.LittleEndian.Uint64(r.take(8))}
	h.Suspicion = float64(r.take(1)[0]) / 255
	return h
}
