package document

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/version/chunk"
)

// Manifest describes a document that a peer has in chunks.
type Manifest struct {
	Version  int64
	Position eventlog.Position // from which to follow the log service after the document; zero if unknown
	Refs     []chunk.Ref
}

// assembly is a newer document of which some chunks have arrived.
type assembly struct {
	Manifest
	*chunk.Assembly
}

// chunkedDocument is a document that peers can get from this node in chunks.
type chunkedDocument struct {
	Manifest
	chunks *chunk.Document
}

// SetChunks makes the chunks of a document available to peers, unless the node has a newer
// one. The document need not be in force yet: decoding it takes long, and the peers check
// it themselves.
func (c *Core) SetChunks(version int64, position eventlog.Position, d *chunk.Document) {
	if version >= c.Newest() {
		c.chunked = &chunkedDocument{Manifest{Version: version, Position: position, Refs: d.Refs}, d}
	}
}

// Chunks returns the chunks of the newest document, or nil.
func (c *Core) Chunks() (Manifest, *chunk.Document) {
	if c.chunked == nil || c.chunked.Version < c.Newest() {
		return Manifest{}, nil
	}
	return c.chunked.Manifest, c.chunked.chunks
}

// LastChunks returns the chunks of the last document whose chunks are known, or nil.
func (c *Core) LastChunks() *chunk.Document {
	if c.chunked == nil {
		return nil
	}
	return c.chunked.chunks
}

// Newest returns the highest version that the node has, in force or in chunks, or that it
// has refused.
func (c *Core) Newest() int64 {
	newest := max(c.Version(), c.refused)
	if c.chunked != nil {
		newest = max(newest, c.chunked.Version)
	}
	return newest
}

// RefuseChunks notes that the document of a version that a peer sent is not valid. It is
// not requested again, and not sent to others any longer.
func (c *Core) RefuseChunks(version int64) {
	c.refused = max(c.refused, version)
	if c.chunked != nil && c.chunked.Version == version {
		c.chunked = nil
	}
}

// Position returns the position from which to follow the log service after the document
// in force, zero if it is not known.
func (c *Core) Position() eventlog.Position { return c.position }

// Held returns the prefixes of the digests of the chunks that a peer need not send.
func (c *Core) Held() []uint64 {
	var out []uint64
	if c.chunked != nil {
		for _, r := range c.chunked.Refs {
			out = append(out, r.Digest.Prefix())
		}
	}
	if c.assembly != nil {
		out = append(out, c.assembly.Held()...)
	}
	return out
}

// OfferManifest begins the assembly of a newer document. It keeps the chunks that have
// arrived for an older one.
func (c *Core) OfferManifest(m Manifest) error {
	if m.Version <= c.Newest() {
		return nil
	}
	var earlier *chunk.Assembly
	if a := c.assembly; a != nil {
		if m.Version < a.Version || m.Version == a.Version && slices.Equal(m.Refs, a.Refs) {
			return nil
		}
		earlier = a.Assembly
	}
	next, err := chunk.NewAssembly(m.Refs, c.LastChunks(), earlier)
	if err != nil {
		return fmt.Errorf("manifest of version %d: %w", m.Version, err)
	}
	c.assembly = &assembly{Manifest: m, Assembly: next}
	return nil
}

// OfferChunk adds a chunk that a peer sent. It reports whether it was needed.
func (c *Core) OfferChunk(now time.Time, node string, ref chunk.Ref, compressed []byte) (bool, error) {
	if f, ok := c.fetches[node]; ok {
		f.progressAt = now
		c.fetches[node] = f
	}
	if c.assembly == nil {
		return false, nil
	}
	return c.assembly.Add(ref, compressed)
}

// TakeAssembled returns the newer document once all its chunks have arrived, and forgets it.
func (c *Core) TakeAssembled() (Manifest, *chunk.Assembly, bool) {
	if c.assembly == nil || !c.assembly.Complete() {
		return Manifest{}, nil, false
	}
	a := c.assembly
	c.assembly = nil
	return a.Manifest, a.Assembly, true
}
