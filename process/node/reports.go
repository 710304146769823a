package node

import (
	"cmp"
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
	"github.com/hyssopsill/hyssopsill/version/distribute"
)

// reports is what the entry and the gate of a node report to the other nodes by
// gossip.
type reports struct {
	health []health.Report
	poison poison.Reports
	demand map[uint32]float32 // requests/s, by hash of the service
	access distribute.Access  // to the log service
}

const reportsFormat = 1 // first byte of the encoding

// Tags of the parts of an encoding. A part is a tag, a length and a content, so
// that encodeReports can leave out the least important parts.
const (
	partPoison byte = iota + 1
	partHealth
	partDemand
	partAccess       // earlier releases ignore it
	partSharedPoison // the same
)

var errMalformedReports = errors.New("reports: malformed")

func serviceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// encodeReports encodes r in at most limit bytes and leaves out the parts that
// do not fit. The access to the log service and poison reports come first, then
// the greatest suspicions, then poison reports that equal requests of all callers share,
// then the greatest demands.
func encodeReports(r reports, limit int) []byte {
	out := []byte{reportsFormat}
	add := func(tag byte, content []byte) {
		part := binary.AppendUvarint([]byte{tag}, uint64(len(content)))
		if len(out)+len(part)+len(content) <= limit {
			out = append(append(out, part...), content...)
		}
	}
	if r.access != distribute.AccessUnknown {
		add(partAccess, []byte{byte(r.access)})
	}
	for _, p := range sortPoison(r.poison.Requests) {
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
	for _, p := range sortPoison(r.poison.Shared) {
		add(partSharedPoison, encodeSharedPoison(p))
	}
	for _, d := range sortDemands(r.demand) {
		add(partDemand, binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(nil, d.service), math.Float32bits(d.rate)))
	}
	return out
}

// sortPoison returns the reports, the latest quarantine first, then the latest crash and
// the latest success: a node reports old successes for minutes, and a crash must not wait
// for them.
func sortPoison(list []poison.Report) []poison.Report {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b poison.Report) int {
		return cmp.Or(b.Until.Compare(a.Until), latestCrash(b).Compare(latestCrash(a)), b.Cleared.Compare(a.Cleared))
	})
	return list
}

// latestCrash returns the time of the last crash, zero without one.
func latestCrash(r poison.Report) time.Time {
	if len(r.Crashes) == 0 {
		return time.Time{}
	}
	return r.Crashes[len(r.Crashes)-1].At
}

type serviceDemand struct {
	service uint32
	rate    float32
}

// sortDemands returns the demands of all services, the greatest first.
func sortDemands(demand map[uint32]float32) []serviceDemand {
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

// encodeSharedPoison adds the request of each crash.
func encodeSharedPoison(p poison.Report) []byte {
	b := encodePoison(p)
	for _, c := range p.Crashes {
		b = binary.LittleEndian.AppendUint64(b, uint64(c.Request))
	}
	return b
}

func encodeHealth(h health.Report) []byte {
	b := appendString(nil, h.Target)
	b = binary.AppendVarint(b, h.Incarnation.StartedMS)
	b = binary.LittleEndian.AppendUint64(b, h.Incarnation.Random)
	return append(b, byte(math.Round(min(max(h.Suspicion, 0), 1)*255)))
}

// reportReader reads values from an encoding. Once the encoding proves to be
// malformed, the values that are read mean nothing.
type reportReader struct {
	data      []byte
	malformed bool
}

func (r *reportReader) readBytes(n uint64) []byte {
	if r.malformed || n > uint64(len(r.data)) {
		r.malformed = true
		return make([]byte, min(n, 8))
	}
	out := r.data[:n]
	r.data = r.data[n:]
	return out
}

func (r *reportReader) readUvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.malformed = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reportReader) readVarint() int64 {
	v, n := binary.Varint(r.data)
	if n <= 0 {
		r.malformed = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reportReader) readString() string { return string(r.readBytes(r.readUvarint())) }

func (r *reportReader) readTime() time.Time {
	if us := r.readVarint(); us != 0 {
		return time.UnixMicro(us).UTC()
	}
	return time.Time{}
}

// decodeReports decodes the reports of a node. A malformed encoding gives empty
// reports.
func decodeReports(node string, now time.Time, data []byte) (reports, error) {
	out := reports{demand: map[uint32]float32{}}
	if len(data) == 0 {
		return out, nil
	}
	if data[0] != reportsFormat {
		return out, errMalformedReports
	}
	r := &reportReader{data: data[1:]}
	for len(r.data) > 0 && !r.malformed {
		tag := r.readBytes(1)[0]
		part := &reportReader{data: r.readBytes(r.readUvarint())}
		if r.malformed {
			break
		}
		switch tag {
		case partPoison:
			out.poison.Requests = append(out.poison.Requests, part.readPoison(node))
		case partSharedPoison:
			out.poison.Shared = append(out.poison.Shared, part.readSharedPoison(node))
		case partHealth:
			out.health = append(out.health, part.readHealth(node, now))
		case partAccess:
			out.access = distribute.Access(part.readBytes(1)[0])
		case partDemand:
			out.demand[binary.LittleEndian.Uint32(part.readBytes(4))] = math.Float32frombits(binary.LittleEndian.Uint32(part.readBytes(4)))
		}
		r.malformed = r.malformed || part.malformed
	}
	if r.malformed {
		return reports{}, errMalformedReports
	}
	return out, nil
}

// maxListLength bounds the lists in one poison report.
const maxListLength = 64

func (r *reportReader) readPoison(node string) poison.Report {
	p := poison.Report{Node: node, Digest: poison.RequestDigest(binary.LittleEndian.Uint64(r.readBytes(8)))}
	p.Cleared, p.Until = r.readTime(), r.readTime()
	n := r.readUvarint()
	for i := uint64(0); i < n && i < maxListLength && !r.malformed; i++ {
		p.Crashes = append(p.Crashes, poison.CrashRecord{Target: r.readString(), Started: r.readTime(), At: r.readTime()})
	}
	n = r.readUvarint()
	for i := uint64(0); i < n && i < maxListLength && !r.malformed; i++ {
		p.Running = append(p.Running, r.readString())
	}
	return p
}

func (r *reportReader) readSharedPoison(node string) poison.Report {
	p := r.readPoison(node)
	for i := range p.Crashes {
		p.Crashes[i].Request = poison.RequestDigest(binary.LittleEndian.Uint64(r.readBytes(8)))
	}
	return p
}

func (r *reportReader) readHealth(node string, now time.Time) health.Report {
	h := health.Report{From: node, Target: r.readString(), At: now}
	h.Incarnation = attempt.Incarnation{StartedMS: r.readVarint(), Random: binary.LittleEndian.Uint64(r.readBytes(8))}
	h.Suspicion = float64(r.readBytes(1)[0]) / 255
	return h
}
