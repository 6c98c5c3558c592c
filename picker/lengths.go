package picker

import "github.com/dotterelpulley/dotterelpulley"

const (
	defaultLength = 128
	lengthWeight  = 0.05
	maxRoutes     = 1024
	// bytesPerToken turns a prompt's length into tokens.
	bytesPerToken = 4
)

// RouteKey names a kind of use of a service.
type RouteKey struct {
	Service dotterelpulley.ServiceID
	Route   dotterelpulley.RouteID
}

// Lengths learns how many tokens the answers of each route have; the zero value works.
type Lengths struct {
	routes map[RouteKey]float64
}

// Expect returns the expected length of an answer, at most its own limit if it has one.
func (l *Lengths) Expect(route RouteKey, limit dotterelpulley.Tokens) float64 {
	length, ok := l.routes[route]
	if !ok {
		length = defaultLength
	}
	if limit > 0 {
		length = min(length, float64(limit))
	}
	return max(length, 1)
}

// Learn takes the length of a whole answer into account.
func (l *Lengths) Learn(route RouteKey, tokens dotterelpulley.Tokens) {
	if l.routes == nil {
		l.routes = map[RouteKey]float64{}
	}
	old, ok := l.routes[route]
	if ok {
		l.routes[route] = old + lengthWeight*(float64(tokens)-old)
		return
	}
	if len(l.routes) < maxRoutes {
		l.routes[route] = float64(tokens)
	}
}

// PromptTokens returns the expected tokens of a prompt of that many bytes.
func PromptTokens(bytes int) float64 {
	return float64(bytes) / bytesPerToken
}
