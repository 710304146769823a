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

// Guards against a node that stops following the table when the table's history
// is trimmed, or the log service is down or comes back from an older copy, and
// against one that then puts an older document in force.
func TestDocumentsFollowTable(t *testing.T) {
	log := logservice.New(logservice.Options{MaxRecords: 1})
	decode := func(data []byte) (*config.Config, error) {
		version, err := strconv.ParseInt(string(data), 10, 64)
		if err != nil {
			return nil, errors.New("not a number")
		}
		return &config.Config{Version: version}, nil
	}
	documents := control.NewDocuments(control.DocumentOptions{
		Core:   document.Options{Node: "n1", Domain: "d", Decode: decode},
		Source: control.DocumentSource{Tables: log, Table: "op", Key: "config", Decode: decode},
		Client: control.NewClient(control.ClientOptions{Token: "secret"}),
		Peers:  func() ([]distribute.Peer, bool) { return nil, true },
		Random: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = documents.Serve(ctx) // ends with the context's error
	}()
	defer func() {
		cancel()
		<-done
	}()
	put := func(key, value string) {
		t.Helper()
		if err := log.Put(ctx, "op", key, []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	waitForVersion := func(want int64) {
		t.Helper()
		for range 3000 { // fails after 30 s instead of hanging
			if v, _ := documents.Version(); v == want {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		v, _ := documents.Version()
		t.Fatalf("version %d, want %d", v, want)
	}
	if documents.Ready() {
		t.Fatal("ready without a document")
	}
	put("config", "3")
	waitForVersion(3)
	put("other", "9")
	put("config", "broken")
	put("config", "2")
	put("config", "5")
	waitForVersion(5)
	log.Checkpoint()
	log.SetFaults(logservice.Faults{Outage: true})
	if _, err := documents.Configuration(ctx, &controlpb.ConfigurationRequest{From: "n2", Entries: []*controlpb.Entry{{Offset: 7, Data: []byte("7")}}}); err != nil {
		t.Fatal(err)
	}
	waitForVersion(7)
	log.SetFaults(logservice.Faults{})
	put("config", "8")
	waitForVersion(8)
	log.Restore() // to version 5; the next records get the offsets of versions 7 and 8
	put("config", "9")
	put("other", "1")
	put("other", "2")
	waitForVersion(9)
	log.Restore()
	put("config", "6")
	put("config", "10")
	waitForVersion(10)
	response, err := documents.Configuration(ctx, &controlpb.ConfigurationRequest{From: "n2", After: 7, Limit: 1})
	if err != nil || len(response.Entries) != 1 || string(response.Entries[0].Data) != "10" {
		t.Fatalf("a peer with an older version gets %+v, %v", response, err)
	}
}

// Guards against reads without a pause while nothing has been published.
func TestEmptyTableIsReadOnce(t *testing.T) {
	f := startDocumentFleet(t, 1, 1)
	time.Sleep(time.Second)
	f.nodes[0].tables.mu.Lock()
	defer f.nodes[0].tables.mu.Unlock()
	if n := f.nodes[0].tables.newest; n != 1 {
		t.Errorf("the newest records were read %d times, want once", n)
	}
}
