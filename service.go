package dotterelpulley

import "fmt"

// ServiceID identifies a service, such as a pool of model engines.
type ServiceID string

// RouteID identifies one use of a service, such as "season-plan".
type RouteID string

// ServiceKind determines the protocol of a service's endpoints.
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

// ParseServiceKind returns the service kind with the name.
func ParseServiceKind(name string) (ServiceKind, error) {
	for _, k := range []ServiceKind{ServiceModel, ServicePlain} {
		if k.String() == name {
			return k, nil
		}
	}
	return 0, fmt.Errorf("service kind %q is neither %q nor %q", name, ServiceModel, ServicePlain)
}
