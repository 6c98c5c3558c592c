package dispatcher

// Result is how one call to an endpoint ended.
type Result interface {
	result()
}

// Whole says that the answer came with its end mark.
type Whole struct{}

// NotStarted says that the endpoint has provably started nothing.
type NotStarted struct{ Reason string }

// Broken says that the answer stopped before its end and the run may go on.
type Broken struct{}

// Unreached says that the endpoint took no new connection, so that a resume was not sent.
type Unreached struct{}

// Unknown says that the endpoint answers and does not know the run any more.
type Unknown struct{}

// Failed says that the endpoint ran the request and failed.
type Failed struct{}

// Cancelled says that nobody waits for the answer any more or that its time is over.
type Cancelled struct{}

func (Whole) result()      {}
func (NotStarted) result() {}
func (Broken) result()     {}
func (Unreached) result()  {}
func (Unknown) result()    {}
func (Failed) result()     {}
func (Cancelled) result()  {}
