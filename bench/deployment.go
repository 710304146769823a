package bench

import (
	"fmt"
	"time"
)

// Deployment is the topology of one user's fleet at its current size.
type Deployment struct {
	Name          string
	Domains       []string
	ClientLatency time.Duration // one way, customer to any entry
	DomainLatency time.Duration // one way, between failure domains
	LocalLatency  time.Duration // one way, within a failure domain
	Services      []ServiceModel
}

// ServiceModel describes a service's targets and its kinds of work.
type ServiceModel struct {
	Name    string
	Targets int
	Slots   int // of each target
	Floor   float64
	Classes []ClassModel
}

// ClassModel describes one kind of work of a service.
type ClassModel struct {
	Name       string
	Priority   string // order, interactive or background
	Idempotent bool
	Long       bool
	MeanTime   time.Duration // service time at a healthy target
	Deadline   time.Duration
	Share      float64 // share of the service's offered work, in slot time
}

const (
	localLatency  = 250 * time.Microsecond
	domainLatency = 1500 * time.Microsecond
)

// Sunbake returns the deployment of Sunbake Kits: four failure domains, three
// services of 8 targets with 6 slots.
func Sunbake() Deployment {
	return Deployment{
		Name:          "sunbake",
		Domains:       []string{"qld-a", "qld-b", "qld-c", "qld-d"},
		ClientLatency: time.Millisecond,
		DomainLatency: domainLatency,
		LocalLatency:  localLatency,
		Services: []ServiceModel{
			{Name: "shopfront", Targets: 8, Slots: 6, Floor: 0.5, Classes: []ClassModel{
				browseClass("browse", 15*time.Millisecond, 0.7), browseClass("stock", 8*time.Millisecond, 0.3),
			}},
			{Name: "orders", Targets: 8, Slots: 6, Floor: 0.6, Classes: []ClassModel{
				orderClass("place", 25*time.Millisecond, 0.5), browseClass("check", 8*time.Millisecond, 0.5),
			}},
			{Name: "library", Targets: 8, Slots: 6, Floor: 0.5, Classes: []ClassModel{
				browseClass("index", 8*time.Millisecond, 0.5), downloadClass("guide", 600*time.Millisecond, 0.5),
			}},
		},
	}
}

// ANFB returns the deployment of the ANFB association: three failure domains and
// services of 6, 12 and 9 targets with 4 slots.
func ANFB() Deployment {
	return Deployment{
		Name:          "anfb",
		Domains:       []string{"recife", "caruaru", "fortaleza"},
		ClientLatency: 3 * time.Millisecond,
		DomainLatency: domainLatency,
		LocalLatency:  localLatency,
		Services: []ServiceModel{
			{Name: "mostruario", Targets: 6, Slots: 4, Floor: 0.5, Classes: []ClassModel{
				browseClass("swatch", 12*time.Millisecond, 1),
			}},
			{Name: "encomendas", Targets: 12, Slots: 4, Floor: 0.6, Classes: []ClassModel{
				orderClass("place", 25*time.Millisecond, 0.5), browseClass("price", 8*time.Millisecond, 0.5),
			}},
			{Name: "acervo", Targets: 9, Slots: 4, Floor: 0.5, Classes: []ClassModel{
				browseClass("price", 8*time.Millisecond, 0.3), orderClass("place", 25*time.Millisecond, 0.2),
				downloadClass("catalogue", 800*time.Millisecond, 0.5),
			}},
		},
	}
}

// DeploymentByName returns a deployment by the name used on the command line.
func DeploymentByName(name string) (Deployment, error) {
	for _, d := range []Deployment{Sunbake(), ANFB()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, fmt.Errorf("deployment %q: want sunbake or anfb", name)
}

func browseClass(name string, mean time.Duration, share float64) ClassModel {
	return ClassModel{Name: name, Priority: "interactive", Idempotent: true, MeanTime: mean,
		Deadline: 500 * time.Millisecond, Share: share}
}

func orderClass(name string, mean time.Duration, share float64) ClassModel {
	return ClassModel{Name: name, Priority: "order", MeanTime: mean, Deadline: time.Second, Share: share}
}

func downloadClass(name string, mean time.Duration, share float64) ClassModel {
	return ClassModel{Name: name, Priority: "background", Idempotent: true, Long: true, MeanTime: mean,
		Deadline: 20 * time.Second, Share: share}
}

// capacity returns the slot time, in seconds per second, that the service's
// targets have together.
func (s ServiceModel) capacity() float64 { return float64(s.Targets * s.Slots) }

// rate returns the requests/s of a class when the work offered to the service
// is load times its capacity.
func (s ServiceModel) rate(c ClassModel, load float64) float64 {
	return s.capacity() * load * c.Share / c.MeanTime.Seconds()
}

// targetCount returns the number of targets of all services.
func (d Deployment) targetCount() int {
	n := 0
	for _, s := range d.Services {
		n += s.Targets
	}
	return n
}
