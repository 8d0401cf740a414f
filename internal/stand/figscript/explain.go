package figscript

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// cmdExplain waits until the log lines of each call of a group contain all the given texts.
// Like an operator, it finds the lines by the request ID that the caller received, in the
// output of all instances:
// explain r1 outcome="cut" step="streaming"
func (f *fleet) cmdExplain(words []string, opts options) error {
	group, ok := f.calls[words[0]]
	if !ok {
		return errors.Newf("no calls named %s", words[0])
	}
	texts := words[1:]
	for name, value := range opts {
		texts = append(texts, name+"="+value)
	}
	for n, c := range group {
		<-c.done
		if c.id == "" {
			return errors.Newf("call %s-%d received no request ID", words[0], n)
		}
		err := waitWithin(waitLimit, func() error { return checkContains(f.linesOf(c.id), texts) })
		if err != nil {
			return errors.Wrapf(err, "log lines of call %s-%d, request ID %s", words[0], n, c.id)
		}
	}
	return nil
}

// linesOf returns the log lines of all instances with the request ID id.
func (f *fleet) linesOf(id string) string {
	var found strings.Builder
	for _, i := range f.instances {
		for line := range strings.Lines(i.log.String()) {
			if strings.Contains(line, fmt.Sprintf("requestId=%q", id)) {
				found.WriteString(line)
			}
		}
	}
	return found.String()
}

// checkContains returns an error if one of the texts does not occur in lines.
func checkContains(lines string, texts []string) error {
	for _, t := range texts {
		if !strings.Contains(lines, t) {
			return errors.Newf("%s not found in the log lines:\n%s", t, lines)
		}
	}
	return nil
}
