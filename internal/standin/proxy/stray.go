package proxy

import (
	"bytes"
	"regexp"
)

// Stray is a kind of answer that the target writes once more, before its next one on the same connection.
type Stray int

// The zero value is none.
const (
	NoStray Stray = iota
	// StrayRefusals are answers that state that the request has not run; UnnamedRefusals lack the request's id.
	StrayRefusals
	UnnamedRefusals
	// StrayAnswers are all answers.
	StrayAnswers
)

// WriteStrays makes the target write answers of the kind once more.
func (p *Proxy) WriteStrays(kind Stray) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stray = kind
}

var (
	// Headers are known by the end of their names.
	notExecuted = []byte("Not-Executed:")
	attemptID   = regexp.MustCompile(`(?i)[a-z-]+-Attempt-Id: [^\r\n]*\r\n`)
	answerBegin = []byte("HTTP/1.1 ")
	headEnd     = []byte("\r\n\r\n")
)

// withStray returns the answer of the target, after the one before it if that is to come once more. Answers are told apart as
// each of the stand-ins' small ones is read at once.
func (p *Proxy) withStray(l *link, answer []byte) []byte {
	p.mu.Lock()
	kind := p.stray
	p.mu.Unlock()
	if !bytes.HasPrefix(answer, answerBegin) || !bytes.Contains(answer, headEnd) {
		return answer
	}
	earlier := l.earlier
	l.earlier = nil
	if kind == StrayAnswers || kind != NoStray && bytes.Contains(answer, notExecuted) {
		l.earlier = bytes.Clone(answer)
	}
	if kind == UnnamedRefusals {
		l.earlier = attemptID.ReplaceAll(l.earlier, nil)
	}
	if kind == NoStray {
		return answer
	}
	return append(bytes.Clone(earlier), answer...)
}
