package picker

import "github.com/dotterelpulley/dotterelpulley"

const (
	defaultLength = 128
	lengthWeight  = 0.05
	maxRoutes     = 1024
	// bytesPerToken is the assumed ratio of a prompt's bytes to its tokens.
	bytesPerToken = 4
)

// RouteKey identifies a route of a service.
type RouteKey struct {
	Service dotterelpulley.ServiceID
	Route   dotterelpulley.RouteID
}

// Lengths estimates the number of tokens in the answers of each route; the zero value is ready to use.
type Lengths struct {
	routes map[RouteKey]float64
}

// Expect returns the expected number of tokens in an answer, at most the limit unless it is zero.
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

// Learn updates the estimate with the length of a completed answer.
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

// PromptTokens returns the estimated number of tokens in a prompt of that many bytes.
func PromptTokens(bytes int) float64 {
	return float64(bytes) / bytesPerToken
}
