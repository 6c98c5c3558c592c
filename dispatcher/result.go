package dispatcher

// Result is how one call to an endpoint ended.
type Result interface {
	result()
}

// Completed says that the answer came with its end mark.
type Completed struct{}

// NotStarted says that the endpoint has provably started nothing.
type NotStarted struct{ Reason string }

// Interrupted says that the answer stopped before its end and the run may go on.
type Interrupted struct{}

// Unreachable says that the endpoint took no new connection, so that a resume was not sent.
type Unreachable struct{}

// RunNotFound says that the endpoint answers and does not know the run any more.
type RunNotFound struct{}

// Failed says that the endpoint ran the request and failed.
type Failed struct{}

// Cancelled says that nobody waits for the answer any more or that its time is over.
type Cancelled struct{}

func (Completed) result()   {}
func (NotStarted) result()  {}
func (Interrupted) result() {}
func (Unreachable) result() {}
func (RunNotFound) result() {}
func (Failed) result()      {}
func (Cancelled) result()   {}
