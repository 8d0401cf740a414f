package figsend

import "github.com/cockroachdb/errors"

// Matches says that the id of an event or answer names the request: it is the
// request id, or ends in it after a dash.
func Matches(got, id string) bool {
	if got == id {
		return true
	}
	n := len(got) - len(id)
	return n > 0 && got[n-1] == '-' && got[n:] == id
}

// CrossedAnswer counts an answer to c that names another request, and returns
// the failure for c. The answer must not be relayed.
func (s *Sender) CrossedAnswer(c *Call, id string) *Failure {
	s.Crossed.Add(1)
	return fail(c, "answer", KindCrossed, Unknown, errors.Newf("an answer belongs to request %q", id))
}
