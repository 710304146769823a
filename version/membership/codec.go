package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// ErrMalformed marks a message that does not decode.
var ErrMalformed = errors.New("malformed membership message")

const (
	wireVersion = 1

	flagClaim    = 0b0000_0011
	flagDeclared = 0b0000_1100
	flagMeta     = 0b0001_0000
	flagTargets  = 0b0010_0000
	flagPatch    = 0b0100_0000
	flagReports  = 0b1000_0000
)

var declaredStates = [4]NodeState{NodeAlive, NodePaused, NodeLeaving, NodeLeft}

type writer struct{ b []byte }

func (w *writer) uint(v uint64) { w.b = binary.AppendUvarint(w.b, v) }
func (w *writer) text(s string) { w.uint(uint64(len(s))); w.b = append(w.b, s...) }
func (w *writer) fixed64(v uint64) {
	w.b = binary.BigEndian.AppendUint64(w.b, v)
}

func (w *writer) incarnation(i attempt.Incarnation) {
	w.uint(uint64(i.StartedMS))
	w.fixed64(i.Random)
}

// Encode returns the wire form of the message.
func (m Message) Encode() []byte {
	w := &writer{b: make([]byte, 0, 256)}
	w.b = append(w.b, wireVersion, byte(m.Kind))
	w.text(m.From)
	w.incarnation(m.Incarnation)
	w.uint(uint64(m.ConfigVersion))
	w.uint(m.Seq)
	w.text(m.Subject)
	w.uint(uint64(len(m.Buckets)))
	for _, hash := range m.Buckets {
		w.fixed64(hash)
	}
	if m.Kind == KindList {
		w.fixed64(m.Mask)
	}
	w.uint(uint64(len(m.Versions)))
	for _, version := range m.Versions {
		w.memberVersion(version)
	}
	w.uint(uint64(len(m.Requested)))
	for _, name := range m.Requested {
		w.text(name)
	}
	w.uint(uint64(len(m.Deltas)))
	for i := range m.Deltas {
		w.delta(&m.Deltas[i])
	}
	return w.b
}

func (w *writer) memberVersion(version MemberVersion) {
	w.text(version.Node)
	w.incarnation(version.Incarnation)
	w.uint(version.Version)
	w.uint(version.TargetsVersion)
	w.boolean(version.Dead)
}

func (w *writer) boolean(v bool) {
	if v {
		w.b = append(w.b, 1)
	} else {
		w.b = append(w.b, 0)
	}
}

func (w *writer) delta(d *Delta) {
	w.text(d.Node)
	w.incarnation(d.Incarnation)
	w.uint(d.Version)
	flags := byte(d.Claim)
	for i, state := range declaredStates {
		if d.Declared == state {
			flags |= byte(i) << 2
		}
	}
	if d.Meta != nil {
		flags |= flagMeta
	}
	if d.HasTargets {
		flags |= flagTargets
	}
	if d.Patch != nil {
		flags |= flagPatch
	}
	if d.Reports != nil {
		flags |= flagReports
	}
	w.b = append(w.b, flags)
	w.uint(d.TargetsVersion)
	if d.Meta != nil {
		w.text(d.Meta.Region)
		w.text(d.Meta.Domain)
		w.text(d.Meta.DataAddress)
		w.text(d.Meta.ControlAddress)
	}
	if d.HasTargets {
		w.targets(d.Targets)
	}
	if d.Patch != nil {
		w.uint(d.Patch.Base)
		w.targets(d.Patch.Changed)
		w.uint(uint64(len(d.Patch.Removed)))
		for _, id := range d.Patch.Removed {
			w.text(id)
		}
	}
	if d.Reports != nil {
		w.uint(d.Reports.Version)
		w.text(string(d.Reports.Data))
	}
}

func (w *writer) targets(targets []Target) {
	w.uint(uint64(len(targets)))
	for _, t := range targets {
		w.text(t.ID)
		w.text(t.Service)
		w.text(t.Address)
		w.uint(uint64(t.Slots))
		w.incarnation(t.Incarnation)
		w.boolean(t.Leaving)
		w.uint(uint64(t.AnnouncedAt.UnixMilli()))
	}
}

type reader struct {
	b      []byte
	offset int
	err    error
}

func (r *reader) failf(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: byte %d: %s", ErrMalformed, r.offset, fmt.Sprintf(format, args...))
	}
	r.offset = len(r.b)
}

func (r *reader) byte() byte {
	if r.offset >= len(r.b) {
		r.failf("unexpected end of message")
		return 0
	}
	r.offset++
	return r.b[r.offset-1]
}

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.b[r.offset:])
	if n <= 0 {
		r.failf("invalid variable-length integer")
		return 0
	}
	r.offset += n
	return v
}

func (r *reader) int64() int64 {
	v := r.uint()
	if v > 1<<62 {
		r.failf("number too large")
		return 0
	}
	return int64(v)
}

// count reads a number of elements, each of which takes at least elementBytes.
func (r *reader) count(limit, elementBytes int) int {
	v := r.uint()
	if v > uint64(limit) || v > uint64(len(r.b)-r.offset)/uint64(elementBytes) {
		r.failf("%d elements exceed the limit or the message", v)
		return 0
	}
	return int(v)
}

func (r *reader) text(limit int) string {
	n := r.count(limit, 1)
	if r.err != nil {
		return ""
	}
	r.offset += n
	return string(r.b[r.offset-n : r.offset])
}

func (r *reader) name() string {
	s := r.text(maxNameBytes)
	if s == "" {
		r.failf("empty name")
	}
	return s
}

func (r *reader) fixed64() uint64 {
	if len(r.b)-r.offset < 8 {
		r.failf("unexpected end of message")
		return 0
	}
	r.offset += 8
	return binary.BigEndian.Uint64(r.b[r.offset-8:])
}

func (r *reader) incarnation() attempt.Incarnation {
	return attempt.Incarnation{StartedMS: r.int64(), Random: r.fixed64()}
}

// Smallest encoded sizes of elements, by which a count is checked before memory
// is allocated for it.
const (
	minVersionBytes = 13
	minDeltaBytes   = 13
	minTargetBytes  = 15
)

// Decode parses the wire form of a message. Errors wrap ErrMalformed and give the byte
// offset.
func Decode(data []byte) (Message, error) {
	r := &reader{b: data}
	if v := r.byte(); r.err == nil && v != wireVersion {
		r.failf("wire version %d, want %d", v, wireVersion)
	}
	m := Message{Kind: Kind(r.byte())}
	if m.Kind < KindPing || m.Kind > KindDeltas {
		r.failf("unknown message kind %d", m.Kind)
	}
	m.From, m.Incarnation = r.name(), r.incarnation()
	m.ConfigVersion, m.Seq, m.Subject = r.int64(), r.uint(), r.text(maxNameBytes)
	if n := r.count(bucketCount, 8); n == bucketCount {
		m.Buckets = make([]uint64, n)
		for i := range m.Buckets {
			m.Buckets[i] = r.fixed64()
		}
	} else if n != 0 || m.Kind == KindDigest {
		r.failf("%d buckets, want %d", n, bucketCount)
	}
	if m.Kind == KindList {
		m.Mask = r.fixed64()
	}
	for n := r.count(maxVersions, minVersionBytes); n > 0 && r.err == nil; n-- {
		m.Versions = append(m.Versions, MemberVersion{Node: r.name(), Incarnation: r.incarnation(), Version: r.uint(), TargetsVersion: r.uint(), Dead: r.byte() == 1})
	}
	for n := r.count(maxVersions, 2); n > 0 && r.err == nil; n-- {
		m.Requested = append(m.Requested, r.name())
	}
	for n := r.count(maxDeltas, minDeltaBytes); n > 0 && r.err == nil; n-- {
		m.Deltas = append(m.Deltas, r.delta())
	}
	if r.err == nil && r.offset != len(data) {
		r.failf("%d bytes after the message", len(data)-r.offset)
	}
	if r.err != nil {
		return Message{}, r.err
	}
	return m, nil
}

func (r *reader) delta() Delta {
	d := Delta{Node: r.name(), Incarnation: r.incarnation(), Version: r.uint()}
	flags := r.byte()
	d.Claim, d.Declared = Claim(flags&flagClaim), declaredStates[flags&flagDeclared>>2]
	if d.Claim > ClaimDead {
		r.failf("unknown claim %d", d.Claim)
	}
	d.TargetsVersion = r.uint()
	if d.Version == 0 || d.TargetsVersion > d.Version {
		r.failf("invalid version %d with targets version %d", d.Version, d.TargetsVersion)
	}
	if flags&flagMeta != 0 {
		d.Meta = &Meta{Region: r.text(maxNameBytes), Domain: r.text(maxNameBytes), DataAddress: r.text(maxNameBytes), ControlAddress: r.text(maxNameBytes)}
	}
	if flags&flagTargets != 0 {
		d.HasTargets, d.Targets = true, r.targets()
	}
	if flags&flagPatch != 0 {
		d.Patch = &Patch{Base: r.uint(), Changed: r.targets()}
		for n := r.count(MaxTargets, 2); n > 0 && r.err == nil; n-- {
			d.Patch.Removed = append(d.Patch.Removed, r.name())
		}
	}
	if flags&flagReports != 0 {
		d.Reports = &Reports{Version: r.uint(), Data: []byte(r.text(MaxReports))}
	}
	return d
}

func (r *reader) targets() []Target {
	n := r.count(MaxTargets, minTargetBytes)
	var out []Target
	for ; n > 0 && r.err == nil; n-- {
		t := Target{ID: r.name(), Service: r.text(maxNameBytes), Address: r.text(maxNameBytes)}
		t.Slots = int(min(r.uint(), 1<<20))
		t.Incarnation, t.Leaving = r.incarnation(), r.byte() == 1
		t.AnnouncedAt = time.UnixMilli(r.int64()).UTC()
		out = append(out, t)
	}
	return out
}
