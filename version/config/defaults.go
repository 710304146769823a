package config

import "time"

// Defaults of keys that are left out.
const (
	DefaultCustomerHeader = "X-Customer"
	DefaultFloor          = 0.5
	DefaultSlowStart      = Duration(5 * time.Second)
	DefaultProbePath      = "/healthz"
	DefaultPriority       = PriorityInteractive
	DefaultDeadline       = Duration(2 * time.Second)
	DefaultMaxBody        = int64(1 << 20) // bytes
)

func (c *Config) applyDefaults() {
	setDefault(&c.CustomerHeader, DefaultCustomerHeader)
	for name, s := range c.Services {
		s.applyDefaults()
		c.Services[name] = s
	}
}

// applyDefaults does not set Floor, since 0 is a valid floor; defaultFloor sets
// it when the key is absent.
func (s *Service) applyDefaults() {
	setDefault(&s.SlowStart, DefaultSlowStart)
	setDefault(&s.ProbePath, DefaultProbePath)
	if s.CustomerRate > 0 {
		setDefault(&s.CustomerBurst, max(1, int(2*s.CustomerRate)))
	}
	for name, class := range s.Classes {
		setDefault(&class.Priority, DefaultPriority)
		setDefault(&class.Deadline, DefaultDeadline)
		setDefault(&class.MaxBody, DefaultMaxBody)
		s.Classes[name] = class
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
