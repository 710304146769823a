package main

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against accounts that are missing in the output or shown although the flags
// exclude them.
func TestAccounts(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"node":"n1"}`) })
	mux.HandleFunc("GET /v1/accounts", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"entry":[{"account":"hot","rate":104,"burst":104,"share":0.25,"admitted":30,"refused":90,"owner":"n2"},
			{"account":"calm","rate":2,"share":1,"admitted":5}],"owner":[{"account":"own","rate":7,"share":0.5,"demand":14,"level":-3,"entries":4}]}`)
	})
	url := startServer(t, mux)
	for _, test := range []struct {
		args          []string
		want, exclude string
	}{
		{nil, "hot calm own 104 0.25 90 n2 14.0 0.50", ""},
		{[]string{"--limited"}, "hot own", "calm"},
		{[]string{"--account", "calm"}, "calm", "hot own"},
	} {
		var stdout, stderr strings.Builder
		code := run(t.Context(), append([]string{"hyssopsill", "--node", url, "accounts"}, test.args...), strings.NewReader(""), &stdout, &stderr)
		if code != exitOK {
			t.Fatalf("exit code %d: %s", code, stderr.String())
		}
		for _, word := range strings.Fields(test.want) {
			if !strings.Contains(stdout.String(), word) {
				t.Errorf("%v: %q is missing in\n%s", test.args, word, stdout.String())
			}
		}
		for _, word := range strings.Fields(test.exclude) {
			if strings.Contains(stdout.String(), word) {
				t.Errorf("%v: %q must not be in\n%s", test.args, word, stdout.String())
			}
		}
	}
}
