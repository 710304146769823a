package control_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/process/control"
	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/document"
)

// Guards against a node that loses its place when the table's history is dropped
// or the log service is away, and that takes an older document afterwards.
func TestDocumentsFollowTheTable(t *testing.T) {
	log := logservice.New(logservice.Options{MaxRecords: 1})
	decode := func(data []byte) (*config.Config, error) {
		version, err := strconv.ParseInt(string(data), 10, 64)
		if err != nil {
			return nil, errors.New("not a number")
		}
		return &config.Config{Version: version}, nil
	}
	d := control.NewDocuments(control.DocumentOptions{
		Core:   document.Options{Node: "n1", Domain: "d", Decode: decode},
		Source: control.DocumentSource{Tables: log, Table: "op", Key: "config", Decode: decode},
		Client: control.NewClient(control.ClientOptions{Token: "secret"}),
		Peers:  func() ([]distribute.Peer, bool) { return nil, true },
		Random: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Serve(ctx) // ends with the context's error
	}()
	defer func() {
		cancel()
		<-ended
	}()
	put := func(key, value string) {
		t.Helper()
		if err := log.Put(ctx, "op", key, []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	await := func(want int64) {
		t.Helper()
		for range 3000 { // ends a test that would hang
			if v, _ := d.Version(); v == want {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		v, _ := d.Version()
		t.Fatalf("version %d, want %d", v, want)
	}
	if d.Ready() {
		t.Fatal("ready without a document")
	}
	put("config", "3")
	await(3)
	put("other", "9")
	put("config", "broken")
	put("config", "2")
	put("config", "5")
	await(5)
	log.SetFaults(logservice.Faults{Outage: true})
	if _, err := d.Configuration(ctx, &controlpb.ConfigurationRequest{From: "n2", Entries: []*controlpb.Entry{{Offset: 7, Data: []byte("7")}}}); err != nil {
		t.Fatal(err)
	}
	await(7)
	log.SetFaults(logservice.Faults{})
	put("config", "8")
	await(8)
	answer, err := d.Configuration(ctx, &controlpb.ConfigurationRequest{From: "n2", After: 7, Limit: 1})
	if err != nil || len(answer.Entries) != 1 || string(answer.Entries[0].Data) != "8" {
		t.Fatalf("a peer that is behind gets %+v, %v", answer, err)
	}
}
