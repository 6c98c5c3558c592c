package entry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/dotterelpulley/dotterelpulley/internal/slurper"
)

// maxAnswerBytes limits what is kept of an answer, for its caller and for resends.
const maxAnswerBytes = 4 << 20

// callPlain sends the request to a plain service. A call that may have started continues past the request's deadline,
// so that a resend can get its outcome.
func (e *Entry) callPlain(ctx context.Context, r *run, g grant, id string) attemptResult {
	c := newCall(g.endpoint.Address, "/v1/call", e.settings.Timeouts)
	defer c.close()
	c.mayStart = func() bool { return r.session.mayStart(r) }
	c.request.Header.Set(headerKey, r.request.Key.String())
	c.request.Header.Set(headerRequestID, id)
	c.request.Header.Set(headerRoute, string(r.request.Route))
	c.request.Header.Set(headerOrganisation, string(r.request.Key.Organisation))
	c.request.Header.Set(headerKind, r.request.Kind.String())
	c.request.SetBody(r.request.Payload)
	if err := c.do(ctx); err != nil {
		return classifyNoResponse(ctx, c, err)
	}
	if status := c.response.StatusCode(); status != http.StatusOK {
		return plainRefusal(c, status)
	}
	body, err := slurper.ReadAll(c.body(), maxAnswerBytes)
	if err != nil {
		return attemptInterrupted{err: err}
	}
	if declared := c.response.Header.ContentLength(); declared >= 0 && declared != len(body) {
		return attemptInterrupted{err: fmt.Errorf("answer has %d bytes of %d", len(body), declared)}
	}
	r.output.put(0, string(body))
	return attemptCompleted{}
}

func plainRefusal(c *call, status int) attemptResult {
	proved := string(c.response.Header.Peek(headerNotAdmitted)) == "true"
	switch {
	case status == http.StatusServiceUnavailable && proved:
		return attemptNotStarted{reason: reasonNotAdmitted}
	case status == http.StatusServiceUnavailable:
		return attemptInterrupted{err: errUnproved}
	}
	return attemptFailed{detail: fmt.Sprintf("the service answered status %d", status)}
}
