package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsill/hyssopsill/connection/transfer"
	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
	"github.com/hyssopsill/hyssopsill/version/chunk"
	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/document"
)

// partBytes is the size from which a part of a document is sent. Parts show progress, and
// what has arrived of them is kept when the transfer fails.
const partBytes = 8 << 10

// errComplete ends a transfer whose remaining chunks came from other peers.
var errComplete = errors.New("all chunks have arrived")

// fetch gets the chunks that this node lacks of a peer's newer document.
func (d *Documents) fetch(ctx context.Context, p distribute.Peer) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.mu.Lock()
	request := &controlpb.DocumentRequest{
		From: d.options.Core.Node, NewerThan: d.core.Newest(), Held: d.core.Held(), FromEnd: d.core.BeginFetch(time.Now(), p.Node),
	}
	d.fetches[p.Node] = cancel
	d.mu.Unlock()
	t := d.transfers.Start("peer " + p.Node)
	receiver := &documentReceiver{documents: d, peer: p.Node}
	err := d.options.Client.Document(transfer.NewContext(ctx, t), p.Address, request, receiver.receive)
	d.mu.Lock()
	delete(d.fetches, p.Node)
	d.core.EndFetch(p.Node)
	d.mu.Unlock()
	switch {
	case errors.Is(err, errComplete):
		err = nil
	case errors.Is(context.Cause(ctx), errComplete):
		err = errComplete
	}
	d.endTransfer(t, receiver.used, err)
	switch {
	case errors.Is(err, errUnknownCall):
		d.fetchWhole(ctx, p, request.NewerThan)
	case err != nil && !errors.Is(err, errComplete):
		d.log.Debug().Err(err).Str("peer", p.Node).Msg("config: peer did not send its document")
	}
}

// endFetches ends the transfers in progress. The caller holds d.mu.
func (d *Documents) endFetches() {
	for _, end := range d.fetches {
		end(errComplete)
	}
}

// documentReceiver takes the parts of a document that one peer sends.
type documentReceiver struct {
	documents *Documents
	peer      string
	manifest  document.Manifest
	used      int64 // bytes of parts, without chunks that the node had already
}

// receive takes a part and puts the document in force once all chunks have arrived.
func (r *documentReceiver) receive(part *controlpb.DocumentPart) error {
	d := r.documents
	if part.GetManifest() != nil {
		manifest, err := fromManifest(part.GetManifest())
		if err != nil {
			return err
		}
		r.manifest = manifest
	}
	r.used += int64(proto.Size(part))
	d.mu.Lock()
	err := r.offerPart(part)
	manifest, assembly, complete := d.core.TakeAssembled()
	d.mu.Unlock()
	if err != nil || !complete {
		return err
	}
	chunks, data, err := assembly.Join()
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.endFetches()
	d.core.SetChunks(manifest.Version, manifest.Position, chunks)
	d.mu.Unlock()
	d.calls.start(func(ctx context.Context) { d.announceAll(ctx, manifest.Version) })
	d.offer(arrival{data: data, position: manifest.Position, shared: manifest.Version, source: document.FromPeer, sender: "peer " + r.peer})
	return errComplete
}

// offerPart passes a part on to the core. The caller holds the lock of the documents.
func (r *documentReceiver) offerPart(part *controlpb.DocumentPart) error {
	d := r.documents
	if part.GetManifest() != nil {
		if err := d.core.OfferManifest(r.manifest); err != nil {
			return err
		}
	}
	for _, c := range part.GetChunks() {
		if int64(c.GetIndex()) >= int64(len(r.manifest.Refs)) {
			return fmt.Errorf("%w: chunk %d of %d", chunk.ErrCorrupt, c.GetIndex(), len(r.manifest.Refs))
		}
		needed, err := d.core.OfferChunk(time.Now(), r.peer, r.manifest.Refs[c.GetIndex()], c.GetData())
		if err != nil {
			return fmt.Errorf("chunk %d of version %d: %w", c.GetIndex(), r.manifest.Version, err)
		}
		if !needed {
			r.used -= int64(len(c.GetData()))
			d.transfers.Repeated(len(c.GetData()))
		}
	}
	return nil
}

// fetchWhole gets a newer document from a peer whose program sends no chunks.
func (d *Documents) fetchWhole(ctx context.Context, p distribute.Peer, version int64) {
	t := d.transfers.Start("peer " + p.Node)
	response, err := d.options.Client.Configuration(transfer.NewContext(ctx, t), p.Address, &controlpb.ConfigurationRequest{
		From: d.options.Core.Node, After: version, Limit: 1,
	})
	d.endTransfer(t, 0, err)
	for _, e := range response.GetEntries() {
		d.offer(arrival{data: e.GetData(), source: document.FromPeer, sender: "peer " + p.Node})
	}
}

// endTransfer counts a transfer that has ended, and logs one that was slow or given up
// after some bytes had arrived.
func (d *Documents) endTransfer(t *transfer.Transfer, used int64, err error) {
	s := d.transfers.End(t, err == nil, used)
	if !s.Slow && s.Dropped == 0 {
		return
	}
	d.log.Info().Err(err).Str("source", s.Source).Int64("version", d.version()).Int64("bytes", s.Bytes).Int64("dropped", s.Dropped).
		Dur("took_ms", s.Took).Dur("idle_ms", s.Idle).Int64("bytes_per_s", int64(s.Rate)).Msg("config: transfer was slow or given up")
}

// Document implements Handler: it sends the manifest of the document in force, if it is
// newer than the peer's, and the chunks that the peer lacks.
func (d *Documents) Document(_ context.Context, r *controlpb.DocumentRequest, send func(*controlpb.DocumentPart) error) error {
	d.mu.Lock()
	manifest, chunks := d.core.Chunks()
	d.mu.Unlock()
	if chunks == nil || manifest.Version <= r.GetNewerThan() {
		return send(&controlpb.DocumentPart{})
	}
	sent := make(map[uint64]bool, len(manifest.Refs))
	for _, prefix := range r.GetHeld() {
		sent[prefix] = true
	}
	part := &controlpb.DocumentPart{Manifest: toManifest(manifest)}
	size := 0
	for i := range manifest.Refs {
		if r.GetFromEnd() {
			i = len(manifest.Refs) - 1 - i
		}
		digest := manifest.Refs[i].Digest
		if sent[digest.Prefix()] {
			continue
		}
		sent[digest.Prefix()] = true
		data := chunks.Chunk(digest)
		part.Chunks = append(part.Chunks, &controlpb.DocumentChunk{Index: uint32(i), Data: data})
		if size += len(data); size < partBytes {
			continue
		}
		if err := send(part); err != nil {
			return err
		}
		part, size = &controlpb.DocumentPart{}, 0
	}
	if part.Manifest == nil && len(part.Chunks) == 0 {
		return nil
	}
	return send(part)
}

func toManifest(m document.Manifest) *controlpb.DocumentManifest {
	out := &controlpb.DocumentManifest{Version: m.Version, Era: m.Position.Era, Offset: m.Position.Offset}
	for _, r := range m.Refs {
		out.Digests = append(out.Digests, r.Digest[:]...)
		out.Sizes = append(out.Sizes, uint32(r.Size))
	}
	return out
}

func fromManifest(m *controlpb.DocumentManifest) (document.Manifest, error) {
	out := document.Manifest{Version: m.GetVersion(), Position: eventlog.Position{Era: m.GetEra(), Offset: m.GetOffset()}}
	digests := slices.Collect(slices.Chunk(m.GetDigests(), len(chunk.Digest{})))
	if len(digests) != len(m.GetSizes()) || len(m.GetDigests())%len(chunk.Digest{}) != 0 {
		return document.Manifest{}, fmt.Errorf("%w: manifest has %d bytes of digests and %d sizes", chunk.ErrCorrupt, len(m.GetDigests()), len(m.GetSizes()))
	}
	for i, digest := range digests {
		out.Refs = append(out.Refs, chunk.Ref{Digest: chunk.Digest(digest), Size: int(m.GetSizes()[i])})
	}
	return out, nil
}
