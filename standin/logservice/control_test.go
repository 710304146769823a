package logservice

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a restore over the control interface that takes effect and is
// reported as failed.
func TestRestoreOverControlInterface(t *testing.T) {
	s := New(Options{})
	for _, path := range []string{"/v1/checkpoint", "/v1/restore"} {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, nil))
		if w.Code != http.StatusOK {
			t.Errorf("%s: status %d", path, w.Code)
		}
	}
	if s.Era() != 1 {
		t.Errorf("era %d after a restore, want 1", s.Era())
	}
}
