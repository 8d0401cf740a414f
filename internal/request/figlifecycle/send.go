package figlifecycle

// Send is one send of a request to a server. Its result is recorded with OK or Fail; only the
// first result counts.
type Send struct {
	life   *Lifecycle
	number int
}

// Send asks for permission to send the request to a server. It returns ErrEnded after the
// request has ended, ErrAnswerState after the answer has begun, and ErrNotRepeatable if the
// request isn't idempotent and an earlier send may have run. An earlier send counts as not run
// if no byte of it reached a server, or, with Options.TrustRefusals, if the server refused it.
func (l *Lifecycle) Send() (*Send, error) { return l.send(false) }

// Resume asks for permission to send a request whose answer has begun to another server, which
// continues the answer. It returns ErrAnswerState if the answer has not begun, and otherwise
// the errors of Send.
func (l *Lifecycle) Resume() (*Send, error) { return l.send(true) }

func (l *Lifecycle) send(resume bool) (*Send, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number, err := l.state.send(resume)
	if err != nil {
		return nil, err
	}
	return &Send{life: l, number: number}, nil
}

// OK records that the server answered.
func (s *Send) OK() { s.recordResult(sendRan) }

// Fail records that the send failed with err. An error of figsend says whether the request can
// have run; with any other error that is unknown.
func (s *Send) Fail(err error) { s.recordResult(sendStateOf(err)) }

func (s *Send) recordResult(result sendState) {
	s.life.mu.Lock()
	defer s.life.mu.Unlock()
	s.life.state.recordResult(s.number, result)
}
