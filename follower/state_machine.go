package follower

import "github.com/dotterelpulley/dotterelpulley/recorder"

type configurationMachine struct {
	state recorder.ConfigurationState
}

func (f *configurationMachine) apply(at recorder.Position, env recorder.Envelope) recorder.Verdict {
	return f.state.Apply(at, env)
}

func (f *configurationMachine) install(at recorder.Position, body recorder.Body) bool {
	s, ok := body.(recorder.ConfigurationSnapshot)
	if !ok || at.Offset != s.Through+1 {
		return false
	}
	if s.State.Configuration.Revision < f.state.Configuration.Revision {
		return false
	}
	f.state = s.State
	return true
}

type movesMachine struct {
	state recorder.MovesState
}

func (f *movesMachine) apply(at recorder.Position, env recorder.Envelope) recorder.Verdict {
	return f.state.Apply(at, env)
}

func (f *movesMachine) install(at recorder.Position, body recorder.Body) bool {
	s, ok := body.(recorder.MovesSnapshot)
	if !ok || at.Offset != s.Through+1 || s.State.Lease.LastRenewal < f.state.Lease.LastRenewal {
		return false
	}
	f.state = s.State
	return true
}
