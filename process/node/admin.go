package node

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	})
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.HandleFunc("GET /v1/explain", n.serveExplain)
	mux.HandleFunc("GET /v1/targets", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, n.entry.Targets())
	})
	mux.HandleFunc("GET /v1/accounts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, n.entry.Accounts())
	})
	mux.HandleFunc("GET /v1/where", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		writeJSON(w, http.StatusOK, n.entry.Where(cmp.Or(q.Get("method"), http.MethodGet), q.Get("host"), q.Get("path"), q.Get("account")))
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, n.status()) })
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		n.Drain()
		writeJSON(w, http.StatusAccepted, n.status())
	})
	mux.Handle("GET /debug/vars", n.metrics.Handler())
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/{name}", func(w http.ResponseWriter, r *http.Request) {
		pprof.Handler(r.PathValue("name")).ServeHTTP(w, r)
	})
	return mux
}

// Status is the state of a node as the admin listener returns it.
type Status struct {
	Node          string              `json:"node"`
	Domain        string              `json:"domain"`
	Incarnation   attempt.Incarnation `json:"incarnation"`
	Ready         bool                `json:"ready"`
	Why           string              `json:"why,omitempty"` // why the node is not ready
	Draining      bool                `json:"draining"`
	ConfigVersion int64               `json:"config_version"`
	// ConfigLeftOut are findings for which parts of this version were left out.
	ConfigLeftOut []string `json:"config_left_out,omitempty"`
	// ConfigRefused tells why a newer document was refused as a whole.
	ConfigRefused string         `json:"config_refused,omitempty"`
	GateRunning   int            `json:"gate_running"`
	EntryActive   int64          `json:"entry_active"`
	Members       []MemberStatus `json:"members"`
}

// MemberStatus is the state of one node in the membership view of this node.
type MemberStatus struct {
	Node          string               `json:"node"`
	State         membership.NodeState `json:"state"`
	ConfigVersion int64                `json:"config_version"`
	Targets       int                  `json:"targets"`
}

func (n *Node) status() Status {
	s := Status{
		Node: n.options.Settings.Node, Domain: n.options.Settings.Domain, Incarnation: n.fleet.incarnation(), Draining: n.Draining(),
		GateRunning: n.gate.Running(), EntryActive: n.entry.Active(),
	}
	s.ConfigVersion, _ = n.config.Version()
	s.ConfigRefused = n.config.LogStatus().Refused
	for i, f := range n.leftOut() {
		if i == maxLeftOutReported {
			break
		}
		s.ConfigLeftOut = append(s.ConfigLeftOut, f.String())
	}
	s.Ready, s.Why = n.ready()
	for _, m := range n.fleet.gossip.View().Members {
		s.Members = append(s.Members, MemberStatus{Node: m.Node, State: m.State, ConfigVersion: m.ConfigVersion, Targets: len(m.Targets)})
	}
	return s
}

func (n *Node) ready() (bool, string) {
	switch {
	case n.Draining():
		return false, "draining"
	case !n.config.Ready():
		return false, "neither the log nor a peer has given a configuration yet"
	case !n.serving.Load():
		return false, "joining the other nodes"
	case n.version.Load() == 0:
		return false, "no configuration has been published"
	}
	return true, ""
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ok, why := n.ready(); !ok {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"status": "not ready", "why": why})
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

type explainResponse struct {
	telemetry.Explanation
	Sentences []string `json:"sentences"`
}

// serveExplain responds with the decision records of this node that match the
// query, and the sentences that describe them.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	q, err := telemetry.ParseExplainQuery(r.URL.Query())
	if err != nil {
		attempt.NewProblem("", attempt.NotRun, attempt.ReasonBadRequest, err.Error(), 0).Write(w)
		return
	}
	response := explainResponse{Explanation: telemetry.Explain(n.options.Settings.Node, n.ring, q)}
	for i := range response.Records {
		response.Sentences = append(response.Sentences, response.Records[i].Sentences()...)
	}
	writeJSON(w, http.StatusOK, response)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v) // fails only if the client is gone
}
