package main

// Routes of the cases, with names as the platform gives them.
const (
	ordersHost      = "hulo84.example"
	ordersPath      = "/xapu221/ny95/"
	readHost        = "jepu9.example"
	readPath        = "/lepu270/"
	ordersService   = "wuno96b"
	readService     = "huvo11a"
	kindSafe        = "idempotent"
	kindUnsafe      = "non_idempotent"
	readTimeoutMS   = 5000
	ordersTimeoutMS = 6000
)

type routeDoc struct {
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMS       int    `json:"timeoutMs"`
	TargetLatencyMS int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
}

type serviceDoc struct {
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
}

type limitsDoc struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMS int `json:"headerTimeoutMs"`
	IdleTimeoutMS   int `json:"idleTimeoutMs"`
}

// configDoc is the operator's configuration.
type configDoc struct {
	Version  int                   `json:"version"`
	Routes   map[string]routeDoc   `json:"routes"`
	Services map[string]serviceDoc `json:"services"`
	Limits   limitsDoc             `json:"limits"`
}

// newConfig returns a configuration with a route for orders and one for reads, which
// goes to the given service.
func newConfig(version int, readsGoTo string) configDoc {
	service := serviceDoc{HealthPath: healthPath, MaxConnections: 390, Protocol: "h1"}
	return configDoc{
		Version: version,
		Routes: map[string]routeDoc{
			"r-89anu6w": {Host: ordersHost, PathPrefix: ordersPath, Kind: kindUnsafe, TimeoutMS: ordersTimeoutMS, TargetLatencyMS: 2500, Priority: 1, Service: ordersService, MaxAttempts: 2},
			"r-ctnfzs9": {Host: readHost, PathPrefix: readPath, Kind: kindSafe, TimeoutMS: readTimeoutMS, TargetLatencyMS: 2500, Priority: 2, Service: readsGoTo, MaxAttempts: 2},
		},
		Services: map[string]serviceDoc{ordersService: service, readService: service},
		Limits:   limitsDoc{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
	}
}
