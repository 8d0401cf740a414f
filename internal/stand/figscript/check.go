package figscript

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/stand/figemulator"
)

// measure returns the number that the commands check and until compare. words are the
// arguments after the measure's name.
type measure func(f *fleet, words []string) (int, error)

var measures = map[string]measure{
	"held":       sumServers(func(s *server, _ []string) int { return s.engine.ReservedPieces() }),
	"heldBy":     sumServers(func(s *server, w []string) int { return s.heldBy(w[0] + " ") }),
	"violations": sumServers(func(s *server, _ []string) int { return s.violations() }),
	"requests":   sumServers(func(s *server, _ []string) int { return s.requests() }),
	"orders":     sumServers(func(s *server, _ []string) int { return len(s.engine.Orders()) }),
	"hits":       sumServers(func(s *server, w []string) int { return s.faults().Hits(figemulator.FaultKind(w[0])) }),
	"prefills":   sumRuns(func(r figemulator.Run) int { return r.Prefills }),
	"decodes":    sumRuns(func(r figemulator.Run) int { return r.Decodes }),
	"calls":      sumRuns(func(r figemulator.Run) int { return r.Calls }),
	"saw":        (*fleet).serversWithSecret,
	"tokens":     (*fleet).minTokens,
	"ended":      (*fleet).endedCalls,
	"got":        (*fleet).callsEndedAs,
	"reads":      func(f *fleet, w []string) (int, error) { return int(f.instances[w[0]].reader.Reads.Load()), nil },
	"open":       (*fleet).openConnections,
	"overspent":  afterLoad((*loadRun).overspentTokens),
	"spentShare": afterLoad((*loadRun).spentPercent),
	"broken":     afterLoad((*loadRun).refundViolations),
	"wrongful":   afterLoad((*loadRun).wrongfulRefusals),
	"wrong":      afterLoad((*loadRun).wrongAnswers),
	"answered":   afterLoad((*loadRun).answered),
	"offered":    afterLoad((*loadRun).offered),
}

// sumServers returns a measure that sums m over the servers whose names are listed in the
// first word, separated by commas.
func sumServers(m func(s *server, rest []string) int) measure {
	return func(f *fleet, words []string) (int, error) {
		sum := 0
		for _, name := range strings.Split(words[0], ",") {
			s, err := f.server(name)
			if err != nil {
				return 0, err
			}
			sum += m(s, words[1:])
		}
		return sum, nil
	}
}

// sumRuns returns a measure that sums m over the records, on all servers, of the request
// named by the first word.
func sumRuns(m func(figemulator.Run) int) measure {
	return func(f *fleet, words []string) (int, error) {
		sum := 0
		for _, s := range f.servers {
			for _, r := range s.find(words[0] + " ") {
				sum += m(r)
			}
		}
		return sum, nil
	}
}

func (s *server) find(text string) []figemulator.Run {
	if s.plain != nil {
		return s.plain.Find(text)
	}
	return s.engine.Find(text)
}

func (s *server) heldBy(text string) int {
	n := 0
	for _, r := range s.engine.Find(text) {
		n += s.engine.ReservedPiecesBy(r.ID)
	}
	return n
}

func (s *server) violations() int {
	if s.plain != nil {
		return s.plain.Violations()
	}
	return s.engine.Violations()
}

func (s *server) requests() int {
	if s.plain != nil {
		return s.plain.Requests()
	}
	return s.engine.Requests()
}

// serversWithSecret counts the servers that received the secret of the key named by the
// first word in a header value or request target.
func (f *fleet) serversWithSecret(words []string) (int, error) {
	text := f.keys[words[0]].Text
	secret := text[strings.LastIndex(text, f.keys[words[0]].ID)+len(f.keys[words[0]].ID)+1:]
	n := 0
	for _, s := range f.servers {
		seen := s.plain != nil && s.plain.ReceivedText(secret) || s.engine != nil && s.engine.ReceivedText(secret)
		if seen {
			n++
		}
	}
	return n, nil
}

// minTokens returns the lowest number of tokens that any call of the group has received so far.
func (f *fleet) minTokens(words []string) (int, error) {
	group := f.calls[words[0]]
	if len(group) == 0 {
		return 0, errors.Newf("no calls named %s", words[0])
	}
	least := group[0].tokens.Load()
	for _, c := range group {
		least = min(least, c.tokens.Load())
	}
	return int(least), nil
}

// endedCalls counts the calls of a group that have ended. It does not wait.
func (f *fleet) endedCalls(words []string) (int, error) {
	n := 0
	for _, c := range f.calls[words[0]] {
		select {
		case <-c.done:
			n++
		default:
		}
	}
	return n, nil
}

// callsEndedAs waits for all calls of a group, the first word, and counts those that ended with
// the outcome in the second word.
func (f *fleet) callsEndedAs(words []string) (int, error) {
	n := 0
	for _, c := range f.calls[words[0]] {
		<-c.done
		if c.checkOutcome(words[1]) == nil {
			n++
		}
	}
	return n, nil
}

// openConnections returns the number of open connections from the process named by the first
// word to the process named by the second.
func (f *fleet) openConnections(words []string) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.relays[[2]string{words[0], words[1]}]
	if !ok {
		return 0, nil
	}
	return r.Open(), nil
}

// cmdCheck compares a measure with a number once, without retrying:
// check violations d1 = 0
func (f *fleet) cmdCheck(words []string, _ options) error {
	if len(words) < 3 {
		return errors.New("usage: check MEASURE [WORD…] OPERATOR NUMBER")
	}
	m, ok := measures[words[0]]
	if !ok {
		return errors.Newf("unknown measure %s", words[0])
	}
	want, err := strconv.Atoi(words[len(words)-1])
	if err != nil {
		return err
	}
	got, err := m(f, words[1:len(words)-2])
	if err != nil {
		return err
	}
	if !compare(got, words[len(words)-2], want) {
		return errors.Newf("%s is %d, want %s%s", strings.Join(words[:len(words)-2], " "), got,
			strings.Join(words[len(words)-2:], " "), f.loadDetail(words[1]))
	}
	return nil
}

// cmdUntil repeats cmdCheck until the comparison holds, at most for limit:
// until limit=4s held d1,d2 = 0
func (f *fleet) cmdUntil(words []string, opts options) error {
	limit, err := time.ParseDuration(opts.or("limit", waitLimit.String()))
	if err != nil {
		return err
	}
	return waitWithin(limit, func() error { return f.cmdCheck(words, nil) })
}

// compare evaluates a comparison. It returns false for an unknown operator.
func compare(a int, operator string, b int) bool {
	switch operator {
	case "=":
		return a == b
	case "<=":
		return a <= b
	case ">=":
		return a >= b
	}
	return false
}
