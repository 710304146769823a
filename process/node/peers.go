package node

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/hyssopsill/hyssopsill/process/control"
	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
	"github.com/hyssopsill/hyssopsill/process/telemetry"
)

// peerHandler serves the control calls of other nodes.
type peerHandler struct{ node *Node }

var _ control.Handler = peerHandler{}

func (p peerHandler) Exchange(ctx context.Context, from string, message []byte) ([][]byte, error) {
	return p.node.fleet.gossip.Exchange(ctx, from, message)
}

func (p peerHandler) Configuration(ctx context.Context, r *controlpb.ConfigurationRequest) (*controlpb.ConfigurationResponse, error) {
	return p.node.config.Configuration(ctx, r)
}

func (p peerHandler) Document(ctx context.Context, r *controlpb.DocumentRequest, send func(*controlpb.DocumentPart) error) error {
	return p.node.config.Document(ctx, r, send)
}

func (p peerHandler) Snapshot(ctx context.Context, newerThan int64) ([]byte, error) {
	return p.node.config.Snapshot(ctx, newerThan)
}

// Explain returns the decision records for a telemetry.ExplainQuery, both in JSON.
func (p peerHandler) Explain(_ context.Context, query []byte) ([]byte, error) {
	var q telemetry.ExplainQuery
	if err := json.Unmarshal(query, &q); err != nil {
		return nil, fmt.Errorf("%w: explain query: %w", control.ErrInvalid, err)
	}
	return json.Marshal(telemetry.Explain(p.node.options.Settings.Node, p.node.ring, q))
}

func (p peerHandler) Status(context.Context) (*controlpb.StatusResponse, error) {
	s := p.node.status()
	detail, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	_, offset := p.node.config.Version()
	return &controlpb.StatusResponse{Node: s.Node, Domain: s.Domain, ConfigVersion: s.ConfigVersion,
		ConfigOffset: offset, Ready: s.Ready, Detail: detail}, nil
}
