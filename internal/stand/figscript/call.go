package figscript

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/stand/figemulator"
)

// These outcomes of calls are determined by the caller. All other outcomes and their reasons
// come from the router's error responses.
const (
	// outcomeAnswered is a complete answer that matches the request.
	outcomeAnswered = "answered"
	// outcomeWrong is a complete answer that does not match the request, or a stream event that is not valid JSON.
	outcomeWrong = "wrong"
	// outcomeBroken means that the connection failed or timed out without an error response from the router.
	outcomeBroken = "broken"
	// outcomeIncomplete is an answer that ended without a connection error, but is truncated or not valid JSON.
	outcomeIncomplete = "short"
	// outcomeCancelled means that the caller cancelled the call.
	outcomeCancelled = "left"
)

// call is one request that a script sends in the background.
type call struct {
	method, url, key, body string
	// want is the complete expected answer.
	want   string
	stream bool
	client *http.Client
	// tokens counts the stream choices received so far; the emulated engines send one per token.
	tokens atomic.Int64
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	// These are valid once done is closed. id is the request ID from the response header X-Request-Id.
	outcome, reason, detail, id string
}

// httpClient returns the shared client, which reuses connections, if keepAlive is true, and
// otherwise a client that opens a new connection for each request.
func httpClient(keepAlive bool) *http.Client {
	if keepAlive {
		return http.DefaultClient
	}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// newPlainCall returns a call to a plain service through the instance via, with the key named key.
func (f *fleet) newPlainCall(via, key, method, target, body string) *call {
	c := &call{
		method: method, url: "http://" + f.instances[via].caller + target, body: body,
		want: figemulator.PlainAnswer(method, target, body), client: httpClient(false), done: make(chan struct{}),
	}
	c.key = f.keys[key].Text
	c.ctx, c.cancel = context.WithTimeout(context.Background(), waitLimit)
	return c
}

// newChatCall returns a streamed chat completion request for at most output tokens.
func (f *fleet) newChatCall(via, key, prompt string, output int) *call {
	c := f.newPlainCall(via, key, http.MethodPost, "/v1/chat/completions", "")
	c.stream = true
	c.want = figemulator.AnswerText(prompt, output)
	c.body = fmt.Sprintf(`{"model":"summary","stream":true,"max_tokens":%d,`+
		`"messages":[{"role":"user","content":%q}]}`, output, prompt)
	return c
}

// cmdSend sends streamed chat requests in the background. It uses the instances in via
// round-robin, pads the prompt with size words, and reuses connections with keep=true:
// send r1 via=a1 key=huber tokens=8 size=100 count=5 keep=true
func (f *fleet) cmdSend(words []string, opts options) error {
	output, err := strconv.Atoi(opts.or("tokens", "8"))
	if err != nil {
		return err
	}
	size, _ := strconv.Atoi(opts["size"])
	return f.startCalls(words[0], opts, func(via, name string) *call {
		return f.newChatCall(via, opts.or("key", "huber"), name+" "+strings.Repeat("abc ", size), output)
	})
}

// cmdCall sends calls to plain services in the background. The body is the call's name, so that
// the servers' records identify the call; GET calls have no body:
// call c1 POST /refund via=a1 key=huber count=5
func (f *fleet) cmdCall(words []string, opts options) error {
	return f.startCalls(words[0], opts, func(via, name string) *call {
		method, body := words[1], name+" "
		if method == http.MethodGet {
			body = ""
		}
		return f.newPlainCall(via, opts.or("key", "huber"), method, words[2], body)
	})
}

// startCalls starts a group of calls in the background, named name-0, name-1 and so on. It
// replaces an earlier group of the same name.
func (f *fleet) startCalls(name string, opts options, newCall func(via, name string) *call) error {
	count, err := strconv.Atoi(opts.or("count", "1"))
	if err != nil {
		return err
	}
	via := opts.list("via")
	group := make([]*call, 0, count)
	for n := range count {
		c := newCall(via[n%len(via)], fmt.Sprintf("%s-%d", name, n))
		c.client = httpClient(opts["keep"] == "true")
		group = append(group, c)
		go c.run()
	}
	f.calls[name] = group
	return nil
}

// cmdLeave cancels groups of calls as the caller and waits for them to end: leave r1
func (f *fleet) cmdLeave(words []string, _ options) error {
	for _, name := range words {
		for _, c := range f.calls[name] {
			c.cancel()
			<-c.done
		}
	}
	return nil
}

// cmdExpect waits for a group of calls and checks that each ended with one of the allowed
// outcomes, given as OUTCOME or OUTCOME:REASON: expect r1 answered notRun:overBudget
func (f *fleet) cmdExpect(words []string, _ options) error {
	group, ok := f.calls[words[0]]
	if !ok {
		return errors.Newf("no calls named %s", words[0])
	}
	for n, c := range group {
		<-c.done
		if err := c.checkOutcome(words[1:]...); err != nil {
			return errors.Wrapf(err, "call %s-%d", words[0], n)
		}
	}
	return nil
}

// checkOutcome returns an error unless the outcome, alone or as OUTCOME:REASON, is in allowed.
func (c *call) checkOutcome(allowed ...string) error {
	if slices.Contains(allowed, c.outcome) || slices.Contains(allowed, c.outcome+":"+c.reason) {
		return nil
	}
	return errors.Newf("ended with outcome %s:%s (%s), want one of %v", c.outcome, c.reason, c.detail, allowed)
}

// run sends the request, reads the whole response and closes done.
func (c *call) run() {
	defer close(c.done)
	defer c.cancel()
	q, err := http.NewRequestWithContext(c.ctx, c.method, c.url, strings.NewReader(c.body))
	if err != nil {
		c.setOutcome(outcomeBroken, "", err.Error())
		return
	}
	if c.key != "" {
		q.Header.Set("Authorization", "Bearer "+c.key)
	}
	r, err := c.client.Do(q)
	if err != nil {
		c.setOutcome(c.failureOutcome(), "connect", err.Error())
		return
	}
	defer func() { _ = r.Body.Close() }()
	c.id = r.Header.Get("X-Request-Id")
	switch {
	case r.StatusCode != http.StatusOK:
		c.readRefusal(r)
	case c.stream:
		c.readStream(r.Body)
	default:
		c.readPlain(r.Body)
	}
}

func (c *call) setOutcome(outcome, reason, detail string) {
	c.outcome, c.reason, c.detail = outcome, reason, detail
}

// failureOutcome returns the outcome of a failed connection: cancelled if the caller cancelled the
// call, otherwise broken.
func (c *call) failureOutcome() string {
	if errors.Is(c.ctx.Err(), context.Canceled) {
		return outcomeCancelled
	}
	return outcomeBroken
}

// readRefusal takes the outcome and the reason from an error response.
func (c *call) readRefusal(r *http.Response) {
	b, _ := io.ReadAll(r.Body)
	var body figlifecycle.ErrorBody
	_ = json.Unmarshal(b, &body)
	c.setOutcome(body.Error.Outcome, body.Error.Reason, fmt.Sprintf("%d %s", r.StatusCode, b))
}

func (c *call) readPlain(body io.Reader) {
	b, err := io.ReadAll(body)
	var answer struct {
		Answer string `json:"answer"`
	}
	switch {
	case err != nil:
		c.setOutcome(c.failureOutcome(), "read", err.Error())
	case json.Unmarshal(b, &answer) != nil:
		c.setOutcome(outcomeIncomplete, "", string(b))
	case answer.Answer != c.want:
		c.setOutcome(outcomeWrong, "", string(b))
	default:
		c.setOutcome(outcomeAnswered, "", "")
	}
}

// streamEvent holds the fields of a chat completion chunk, or of the router's error event, that a call reads.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *figlifecycle.ErrorObject `json:"error"`
}

func (c *call) readStream(body io.Reader) {
	var text strings.Builder
	complete := false
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			c.setOutcome(outcomeWrong, "event", data)
			return
		}
		if e.Error != nil {
			c.setOutcome(e.Error.Outcome, e.Error.Reason, data)
			return
		}
		for _, o := range e.Choices {
			text.WriteString(o.Delta.Content)
			c.tokens.Add(1)
		}
	}
	switch {
	case lines.Err() != nil:
		c.setOutcome(c.failureOutcome(), "read", lines.Err().Error())
	case !complete:
		c.setOutcome(outcomeIncomplete, "", text.String())
	case text.String() != c.want:
		c.setOutcome(outcomeWrong, "", text.String())
	default:
		c.setOutcome(outcomeAnswered, "", "")
	}
}

// cmdAvoid sends batches of requests until every request of one batch is answered and none
// reaches the named servers: avoid d1,p1 via=a1 key=huber count=10 limit=8s [path=/balance]
func (f *fleet) cmdAvoid(words []string, opts options) error {
	return f.retryBatch(opts, func(send func() error) error {
		before := f.requests(words[0])
		if err := send(); err != nil {
			return err
		}
		if err := f.cmdExpect([]string{batchName, outcomeAnswered}, nil); err != nil {
			return err
		}
		if n := f.requests(words[0]) - before; n > 0 {
			return errors.Newf("%d requests reached %s, want 0", n, words[0])
		}
		return nil
	})
}

// cmdBecomes sends batches of requests until all requests of one batch end with one of the named outcomes:
// becomes notRun:unauthorized via=a1 key=huber count=4 limit=8s [path=/balance]
func (f *fleet) cmdBecomes(words []string, opts options) error {
	return f.retryBatch(opts, func(send func() error) error {
		if err := send(); err != nil {
			return err
		}
		return f.cmdExpect(append([]string{batchName}, words...), nil)
	})
}

// batchName is the name of the group of calls that retryBatch sends.
const batchName = "batch"

// retryBatch repeats try until it succeeds or the option limit has passed, and returns its last
// error. send starts one batch: GET calls if the option path is set, otherwise chat requests.
func (f *fleet) retryBatch(opts options, try func(send func() error) error) error {
	limit, err := time.ParseDuration(opts.or("limit", "8s"))
	if err != nil {
		return err
	}
	opts["count"] = opts.or("count", "12")
	return waitWithin(limit, func() error {
		return try(func() error {
			if path, ok := opts["path"]; ok {
				return f.cmdCall([]string{batchName, http.MethodGet, path}, opts)
			}
			return f.cmdSend([]string{batchName}, opts)
		})
	})
}

// requests returns the number of requests that the servers in the comma-separated list names have received.
func (f *fleet) requests(names string) int {
	n := 0
	for _, name := range strings.Split(names, ",") {
		n += f.servers[name].requests()
	}
	return n
}
