package dotterelpulley

import "fmt"

// ServiceID names a service, such as a pool of model engines.
type ServiceID string

// RouteID names a kind of use of a service, such as "season-plan".
type RouteID string

// ServiceKind tells how a service's endpoints are spoken to.
type ServiceKind int

// The kinds of service.
const (
	ServiceModel ServiceKind = iota
	ServicePlain
)

// String returns the kind's name in configuration.
func (k ServiceKind) String() string {
	switch k {
	case ServiceModel:
		return "model"
	case ServicePlain:
		return "plain"
	}
	return fmt.Sprintf("service-kind-%d", int(k))
}

// ParseServiceKind returns the service kind of that name.
func ParseServiceKind(name string) (ServiceKind, error) {
	for _, k := range []ServiceKind{ServiceModel, ServicePlain} {
		if k.String() == name {
			return k, nil
		}
	}
	return 0, fmt.Errorf("service kind %q is neither %q nor %q", name, ServiceModel, ServicePlain)
}
