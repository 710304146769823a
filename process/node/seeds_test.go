package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
)

// Guards against a node whose address the log service lost with a restore from an
// older copy: a node that starts then finds it only after a minute.
func TestNodeAddressIsWrittenAgainAfterRestore(t *testing.T) {
	log := logservice.New(logservice.Options{})
	publishConfig(t, log, testConfig)
	log.Checkpoint()
	n1, n2 := startTestNode(t, "n1", "d1", log), startTestNode(t, "n2", "d2", log)
	published := func() bool {
		entries, _, err := log.Newest(t.Context(), eventlog.TableNodes)
		return err == nil && slices.ContainsFunc(entries, func(e eventlog.TableEntry) bool { return e.Key == "n1" }) &&
			slices.ContainsFunc(entries, func(e eventlog.TableEntry) bool { return e.Key == "n2" })
	}
	eventually(t, "both addresses are in the table", published)
	eventually(t, "the nodes know each other", func() bool { return n1.fleet.heardFromPeer() && n2.fleet.heardFromPeer() })
	time.Sleep(2 * isolatedSeedsInterval) // the next read is due in a minute
	log.Restore()
	eventually(t, "both addresses are in the table again", published)
}

// Guards against entries of another writer in the table of nodes (no addresses, ports out
// of range, bytes that are no text) that keep nodes from finding each other.
func TestOddEntriesHideNoNode(t *testing.T) {
	log := logservice.New(logservice.Options{})
	publishConfig(t, log, testConfig)
	odd := []string{"nowhere", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:+1", "0.0.0.0:1", "\xff\x00", strings.Repeat("[", 20000)}
	for i := range 40 * maxSeeds {
		if err := log.Put(t.Context(), eventlog.TableNodes, fmt.Sprint("odd", i), []byte(odd[i%len(odd)])); err != nil {
			t.Fatal(err)
		}
	}
	n1, n2 := startTestNode(t, "n1", "d1", log), startTestNode(t, "n2", "d2", log)
	eventually(t, "the nodes know each other", func() bool { return n1.fleet.heardFromPeer() && n2.fleet.heardFromPeer() })
	for _, n := range []*testNode{n1, n2} {
		n.fleet.mu.Lock()
		if len(n.fleet.seeds) > 1 {
			t.Errorf("%d seeds, want the other node only", len(n.fleet.seeds))
		}
		n.fleet.mu.Unlock()
	}
}
