package entry

import (
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against a request that is refused for good by a node that knows of a newer
// configuration, which may have its route or its API key.
func TestOutdatedNodeDoesNotDenyRequests(t *testing.T) {
	server := newTestEntryWith(t, accountsConfig, http.NotFound, false, 1)
	var outdated atomic.Bool
	server.Config.Handler.(*Entry).options.ConfigOutdated = outdated.Load
	for _, c := range []struct {
		path     string
		outdated bool
		status   int
	}{
		{"/nowhere", false, http.StatusNotFound},
		{"/nowhere", true, http.StatusServiceUnavailable},
		{"/kits", false, http.StatusUnauthorized},
		{"/kits", true, http.StatusServiceUnavailable},
		{"/a/../b", true, http.StatusBadRequest},
	} {
		outdated.Store(c.outdated)
		request, err := http.NewRequest(http.MethodGet, server.URL+c.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := server.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if retry := response.Header.Get("Retry-After") != ""; response.StatusCode != c.status || retry != (c.status == http.StatusServiceUnavailable) {
			t.Errorf("%s, outdated %v: status %d, Retry-After %v, want status %d", c.path, c.outdated, response.StatusCode, retry, c.status)
		}
	}
}
