package figsend

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// idPrefixes are the prefixes that engines put before the request id in the "id" of an answer or event.
var idPrefixes = [...]string{"chatcmpl-", "cmpl-"}

// MatchesRequestID reports whether got, the id in an event or answer, is the request id, either alone or after one of the
// prefixes that engines add.
func MatchesRequestID(got, id string) bool {
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

// MismatchFailure counts an answer to c that carries id, the id of another request or none, and returns a Failure of c with
// KindMismatched. The answer must not be relayed to c's caller.
func (s *Sender) MismatchFailure(c *Call, id string) *Failure {
	s.Mismatched.Add(1)
	return fail(c, "answer", KindMismatched, OutcomeUnknown, errors.Newf("the answer doesn't carry the id of the request: %q", id))
}
