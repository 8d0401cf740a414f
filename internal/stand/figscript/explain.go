package figscript

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// cmdExplain looks up the log lines of a finished call by the id that its caller
// got, as an operator would, and waits until they hold all the texts. The lines
// are those on the standard output of all instances:
// explain r1 outcome="cut" step="streaming"
func (f *fleet) cmdExplain(words []string, opts options) error {
	group, ok := f.calls[words[0]]
	if !ok {
		return errors.Newf("no call %s", words[0])
	}
	texts := words[1:]
	for name, value := range opts {
		texts = append(texts, name+"="+value)
	}
	for n, c := range group {
		<-c.done
		if c.id == "" {
			return errors.Newf("%s-%d got no id", words[0], n)
		}
		err := waitWithin(waitLimit, func() error { return checkContains(f.linesOf(c.id), texts) })
		if err != nil {
			return errors.Wrapf(err, "%s-%d, id %s", words[0], n, c.id)
		}
	}
	return nil
}

// linesOf returns the log lines that carry a request's id.
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

func checkContains(lines string, texts []string) error {
	for _, t := range texts {
		if !strings.Contains(lines, t) {
			return errors.Newf("no %s in its lines:\n%s", t, lines)
		}
	}
	return nil
}
