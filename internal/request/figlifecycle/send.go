package figlifecycle

// Send is one send of a request to a server.
type Send struct {
	life   *Life
	number int
}

// Send asks to send the request to a server. It returns ErrEnded after the end,
// ErrBegun once the answer has begun, and ErrRepeat for a second send of a
// request that is not idempotent, unless no byte of the first can have reached
// a server.
func (l *Life) Send() (*Send, error) { return l.send(false) }

// Resume asks to send the rest of a request whose answer has begun. It returns
// ErrBegun if the answer has not begun, and otherwise the errors of Send.
func (l *Life) Resume() (*Send, error) { return l.send(true) }

func (l *Life) send(resume bool) (*Send, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number, err := l.state.send(resume)
	if err != nil {
		return nil, err
	}
	return &Send{life: l, number: number}, nil
}

// OK records that a server answered the send.
func (s *Send) OK() { s.recordResult(sendRan) }

// Fail records that the send failed with an error of figsend, which says if the
// request can have run. Any other error leaves that unknown.
func (s *Send) Fail(err error) { s.recordResult(sendStateOf(err)) }

func (s *Send) recordResult(result sendState) {
	s.life.mu.Lock()
	defer s.life.mu.Unlock()
	s.life.state.recordResult(s.number, result)
}
