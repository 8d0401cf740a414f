package figsend

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// idPrefixes are what engines put before the request id in an answer's id.
var idPrefixes = [...]string{"chatcmpl-", "cmpl-"}

// Matches says that the id of an event or answer names the request: it is the
// request id, alone or after one of the prefixes that engines use.
func Matches(got, id string) bool {
	if got == id {
		return true
	}
	for _, p := range idPrefixes {
		if rest, ok := strings.CutPrefix(got, p); ok && rest == id {
			return true
		}
	}
	return false
}

// CrossedAnswer counts an answer to c that names another request, and returns
// the failure for c. The answer must not be relayed.
func (s *Sender) CrossedAnswer(c *Call, id string) *Failure {
	s.Crossed.Add(1)
	return fail(c, "answer", KindCrossed, Unknown, errors.Newf("an answer belongs to request %q", id))
}
