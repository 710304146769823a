package chunk

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/restic/chunker"
)

const (
	// MaxDocumentBytes bounds a document. It is the limit of the log service for one append.
	MaxDocumentBytes = 2 << 20

	// A chunk is what the smallest change costs, and each costs 20 bytes of the manifest.
	minChunkBytes    = 2 << 10
	maxChunkBytes    = 32 << 10
	averageChunkBits = 13 // 8 KB

	// polynomial of the rolling hash. All nodes must split alike to share chunks.
	polynomial = chunker.Pol(0x3DA3358B4DC173)

	digestBytes = 16
)

// ErrCorrupt reports a chunk or manifest that is malformed or has other content than its
// digest says.
var ErrCorrupt = errors.New("corrupt chunk")

// Digest identifies the content of a chunk: the first half of its SHA-256.
type Digest [digestBytes]byte

// Prefix returns the first half of the digest, which tells the chunks of a document apart.
func (d Digest) Prefix() uint64 { return binary.BigEndian.Uint64(d[:]) }

// Ref names one chunk of a document.
type Ref struct {
	Digest Digest
	Size   int // bytes of the content
}

// Document is a document in chunks. It must not be changed.
type Document struct {
	Refs   []Ref
	chunks map[Digest][]byte // compressed
}

// Chunk returns the compressed chunk of a digest, nil if the document has none.
func (d *Document) Chunk(digest Digest) []byte {
	if d == nil {
		return nil
	}
	return d.chunks[digest]
}

// Split returns a document in chunks. It takes the chunks that it shares with a known
// document from there.
func Split(data []byte, known *Document) (*Document, error) {
	d := &Document{chunks: map[Digest][]byte{}}
	splitter := chunker.NewWithBoundaries(bytes.NewReader(data), polynomial, minChunkBytes, maxChunkBytes)
	splitter.SetAverageBits(averageChunkBits)
	var compressor *flate.Writer
	buffer := make([]byte, maxChunkBytes)
	for {
		c, err := splitter.Next(buffer)
		if errors.Is(err, io.EOF) {
			return d, nil
		}
		if err != nil {
			return nil, fmt.Errorf("split document: %w", err)
		}
		digest := digestOf(c.Data)
		d.Refs = append(d.Refs, Ref{Digest: digest, Size: len(c.Data)})
		if d.chunks[digest] != nil {
			continue
		}
		compressed := known.Chunk(digest)
		if compressed == nil {
			if compressor == nil {
				compressor, _ = flate.NewWriter(nil, flate.BestSpeed) // fails for an unknown level only
			}
			if compressed, err = compress(compressor, c.Data); err != nil {
				return nil, err
			}
		}
		d.chunks[digest] = compressed
	}
}

func digestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(sum[:digestBytes])
}

func compress(w *flate.Writer, data []byte) ([]byte, error) {
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress chunk: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress chunk: %w", err)
	}
	return bytes.Clone(out.Bytes()), nil
}

// decompress returns the content of a chunk and checks its digest.
func decompress(ref Ref, compressed []byte) ([]byte, error) {
	out := make([]byte, ref.Size)
	r := flate.NewReader(bytes.NewReader(compressed))
	if _, err := io.ReadFull(r, out); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if digestOf(out) != ref.Digest {
		return nil, fmt.Errorf("%w: content of %d bytes does not match its digest", ErrCorrupt, ref.Size)
	}
	return out, nil
}
