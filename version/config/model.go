package config

import (
	"fmt"
	"time"

	"github.com/hyssopsill/hyssopsill/finding"
)

// Duration is a time.Duration with a text form such as "250ms".
type Duration time.Duration

// MarshalText writes the duration as text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit, such as 250ms", text)
	}
	*d = Duration(v)
	return nil
}

// Priority decides which requests go first under overload.
type Priority string

const (
	PriorityOrder       Priority = "order"       // orders and payments
	PriorityInteractive Priority = "interactive" // browsing, stock and price checks
	PriorityBackground  Priority = "background"  // downloads and batch work
)

// Config is one version of the configuration. Those that State returns are
// immutable.
type Config struct {
	// Version is the log offset of the last change that was applied.
	Version int64 `toml:"-"`
	// CustomerHeader names the request header that carries the customer
	// account. Default X-Customer.
	CustomerHeader string             `toml:"customer_header,omitempty"`
	Services       map[string]Service `toml:"services"`
	Routes         []Route            `toml:"routes"`
	// Accounts are the client accounts by name. With at least one, requests need
	// the API key of an account unless their route is public.
	Accounts map[string]Account `toml:"accounts,omitempty"`
	// LeftOut are the findings for which LeaveOutInvalid has left out a part.
	LeftOut finding.List `toml:"-"`
}

// Account is a client account: a customer that is known by its API keys.
type Account struct {
	// Keys are the API keys. Requests with any of them belong to the account.
	Keys []string `toml:"keys,omitempty"`
	// Rank goes before the rank of the class; 0 is the most urgent. Default nil:
	// the rank of the class alone counts.
	Rank *int `toml:"rank,omitempty"`
	// Rate bounds the requests/s of the account over the fleet; 0 means no limit.
	Rate float64 `toml:"rate,omitempty"`
	// Burst is the number of requests beyond the rate that the account may send at
	// once.
	Burst float64 `toml:"burst,omitempty"`
}

// Service is a set of interchangeable targets and the limits on their requests.
type Service struct {
	// Floor is the share of known targets, 0 to 1, that ejection always
	// leaves in rotation. Default 0.5.
	Floor float64 `toml:"floor"`
	// SlowStart is the time over which a new target's weight grows from 10 %
	// to 100 %. Default 5s.
	SlowStart Duration `toml:"slow_start,omitempty"`
	// ProbePath is requested from targets under suspicion. Default /healthz.
	ProbePath string `toml:"probe_path,omitempty"`
	// QueueLimit bounds the requests waiting per target. Default 4 per slot.
	QueueLimit int `toml:"queue_limit,omitempty"`
	// MaxRate bounds requests/s over the fleet; 0 means no limit.
	MaxRate float64 `toml:"max_rate,omitempty"`
	// MaxConcurrency bounds requests in progress over the fleet; 0 means no
	// limit beyond the targets' slots.
	MaxConcurrency int `toml:"max_concurrency,omitempty"`
	// CustomerRate bounds requests/s of one customer; 0 means no limit.
	CustomerRate float64 `toml:"customer_rate,omitempty"`
	// CustomerBurst is the number of requests that a customer may send at
	// once. Default twice the rate, at least 1.
	CustomerBurst int `toml:"customer_burst,omitempty"`
	// CustomerConcurrency bounds one customer's requests in progress; 0 means
	// no limit.
	CustomerConcurrency int              `toml:"customer_concurrency,omitempty"`
	Classes             map[string]Class `toml:"classes"`
}

// Class is a kind of work within a service.
type Class struct {
	// Priority under overload. Default interactive.
	Priority Priority `toml:"priority,omitempty"`
	// Rank orders the work of one priority; 0, the default, is the most urgent.
	Rank int `toml:"rank,omitempty"`
	// Deadline bounds a request including all attempts. Default 2s.
	Deadline Duration `toml:"deadline,omitempty"`
	// Objective is the latency within which a response has its full value. Work
	// that can still meet it goes first. Default 0: none.
	Objective Duration `toml:"objective,omitempty"`
	// Idempotent work may be run again. Default false.
	Idempotent bool `toml:"idempotent,omitempty"`
	// Long work, such as a download, gets its own share of slots.
	Long bool `toml:"long,omitempty"`
	// Learn allows learned durations to move requests of this class to the
	// slots for long work and back.
	Learn bool `toml:"learn,omitempty"`
	// Hedge allows a second attempt of idempotent short work after the 95th
	// percentile of its latency.
	Hedge bool `toml:"hedge,omitempty"`
	// MaxAttempts bounds the targets that one request may reach. Default 3.
	MaxAttempts int `toml:"max_attempts,omitempty"`
	// MaxBody bounds the request body in bytes. Default 1 MiB.
	MaxBody int64 `toml:"max_body,omitempty"`
}

// Route assigns requests to a service and class. The longest matching prefix
// wins, then a route that names the host, then one that names the method.
type Route struct {
	ID         string   `toml:"id"`
	Host       string   `toml:"host,omitempty"`    // empty matches any host
	PathPrefix string   `toml:"path_prefix"`       // starts with /
	Methods    []string `toml:"methods,omitempty"` // empty matches any method
	Service    string   `toml:"service,omitempty"`
	// Split distributes the requests over several services in place of Service.
	Split []SplitShare `toml:"split,omitempty"`
	Class string       `toml:"class"`
	// Public routes need no API key.
	Public bool `toml:"public,omitempty"`
	// Blocked refuses the requests of a route that LeaveOutInvalid has left out.
	Blocked bool `toml:"-"`
}

// SplitShare is a part of the requests of a split route.
type SplitShare struct {
	Service string  `toml:"service"`
	Weight  float64 `toml:"weight"` // relative to the other shares, above 0
}
