package target

import (
	"net/http"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/version/config"
)

// Faults are the faults that a target injects. With the zero value it is healthy.
type Faults struct {
	// SlowMS is the delay of each response in milliseconds.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// Hang neither runs a request nor responds to it.
	Hang bool `json:"hang,omitempty"`
	// Mute runs each request but never responds, as behind a one-way partition.
	Mute bool `json:"mute,omitempty"`
	// OnlyCustomers are prefixes of customers (X-Customer) whose requests get a
	// response; the requests of others hang. Empty: all get one.
	OnlyCustomers []string `json:"only_customers,omitempty"`
	// FailShare is the share of requests, 0 to 1, that get status 500.
	FailShare float64 `json:"fail_share,omitempty"`
	// WrongShare is the share of responses with a wrong body and no digest.
	WrongShare float64 `json:"wrong_share,omitempty"`
	// WrongDigestShare is the share of responses whose Content-Digest is wrong.
	WrongDigestShare float64 `json:"wrong_digest_share,omitempty"`
	// TruncateShare is the share of responses that are cut off halfway.
	TruncateShare float64 `json:"truncate_share,omitempty"`
	// CrashOn crashes the target on a request whose path, query or body contains
	// this text.
	CrashOn string `json:"crash_on,omitempty"`
	// CrashCustomer, unless empty, restricts CrashOn to requests of this customer.
	CrashCustomer string `json:"crash_customer,omitempty"`
	// FlapMS alternates between healthy and failing, each for this many
	// milliseconds.
	FlapMS int64 `json:"flap_ms,omitempty"`
	// HealthStatus, unless 0, replaces the status of the health endpoint.
	HealthStatus int `json:"health_status,omitempty"`
	// ColdMS slows responses by 200 ms during this many milliseconds after the
	// start.
	ColdMS int64 `json:"cold_ms,omitempty"`
	// Shed is the number of running requests from which on further ones get
	// status 503. 0: no limit.
	Shed int `json:"shed,omitempty"`
	// TakesRate, unless 0, is the rate in requests/s that each response names.
	TakesRate float64 `json:"takes_rate,omitempty"`
	// RepeatOrders is the number of further orders with a key that run twice.
	RepeatOrders int `json:"repeat_orders,omitempty"`
}

const coldDelay = 200 * time.Millisecond

// crashesOn reports whether a request with the given body crashes the target.
func (f *Faults) crashesOn(r *http.Request, body string) bool {
	if f.CrashOn == "" || f.CrashCustomer != "" && r.Header.Get(config.DefaultCustomerHeader) != f.CrashCustomer {
		return false
	}
	return strings.Contains(r.URL.String(), f.CrashOn) || strings.Contains(body, f.CrashOn)
}
