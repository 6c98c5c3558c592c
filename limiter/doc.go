// Package limiter adapts the number of concurrent requests on each endpoint to
// its measured latency, and bounds the retries of each service.
//
// Every entry host converges to the same limit from the token gaps and first-token
// times that it observes, so hosts share an endpoint without communication.
// Limiter and RetryBudget are pure state machines: they take events and the time.
package limiter
