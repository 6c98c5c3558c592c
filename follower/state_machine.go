package follower

import "github.com/dotterelpulley/dotterelpulley/recorder"

type configurationMachine struct {
	state recorder.ConfigurationState
}

func (m *configurationMachine) apply(at recorder.Position, env recorder.Envelope) recorder.Verdict {
	return m.state.Apply(at, env)
}

func (m *configurationMachine) install(at recorder.Position, body recorder.Body) bool {
	s, ok := body.(recorder.ConfigurationSnapshot)
	if !ok || at.Offset != s.Through+1 {
		return false
	}
	if s.State.Configuration.Revision < m.state.Configuration.Revision {
		return false
	}
	m.state = s.State
	return true
}

type movesMachine struct {
	state recorder.MovesState
}

func (m *movesMachine) apply(at recorder.Position, env recorder.Envelope) recorder.Verdict {
	return m.state.Apply(at, env)
}

func (m *movesMachine) install(at recorder.Position, body recorder.Body) bool {
	s, ok := body.(recorder.MovesSnapshot)
	if !ok || at.Offset != s.Through+1 || s.State.Lease.LastRenewal < m.state.Lease.LastRenewal {
		return false
	}
	m.state = s.State
	return true
}
