package dispatcher

// Result is how one call to an endpoint ended.
type Result interface {
	result()
}

// Completed means that the answer arrived with its end marker.
type Completed struct{}

// NotStarted means that the endpoint has provably started nothing.
type NotStarted struct{ Reason string }

// Interrupted means that the answer stopped before its end and the run may still continue.
type Interrupted struct{}

// Unreachable means that the endpoint accepted no new connection, so that no resume was sent.
type Unreachable struct{}

// RunNotFound means that the endpoint responds but no longer knows the run.
type RunNotFound struct{}

// Failed means that the endpoint ran the request and failed.
type Failed struct{}

// Cancelled means that nobody waits for the answer any more or that its deadline has passed.
type Cancelled struct{}

func (Completed) result()   {}
func (NotStarted) result()  {}
func (Interrupted) result() {}
func (Unreachable) result() {}
func (RunNotFound) result() {}
func (Failed) result()      {}
func (Cancelled) result()   {}
