package node

import (
	"slices"
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
