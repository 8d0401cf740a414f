package figload

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"figtrail.dev/figtrail/internal/stand/figemulator"
)

// maxErrorBytes is the maximum number of bytes read of an error response's body.
const maxErrorBytes = 64 << 10

// refusal is the error object of the router's response.
type refusal struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// label returns the first of reason, code and message that is not empty, or "unnamed".
func (f refusal) label() string { return cmp.Or(f.Reason, f.Code, f.Message, "unnamed") }

func readError(raw []byte) refusal {
	var f refusal
	_ = json.Unmarshal(raw, &f)
	return f
}

// call sends one request to the instance that the arrival's number selects.
func (c *caller) call(ctx context.Context, a arrival, method, path, body string) (*http.Response, error) {
	url := "http://" + c.target(a.number) + path
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.account.Key != "" {
		q.Header.Set("Authorization", "Bearer "+c.account.Key)
	}
	if body != "" {
		q.Header.Set("Content-Type", "application/json")
	}
	return c.client.Do(q)
}

// countRefusal counts a response whose status isn't 200 as refused or failed and returns the
// call's outcome. It doesn't credit the charge of a refusal inside the rate, so that the same
// unused tokens don't make further refusals count as inside the rate.
func (c *caller) countRefusal(r *http.Response, inside bool, creditUnused func(int64)) Outcome {
	f := readRefusal(r)
	denied := r.StatusCode == http.StatusUnauthorized || r.StatusCode == http.StatusForbidden
	label := fmt.Sprintf("%d %s", r.StatusCode, f.label())
	if f.Outcome != string(NotRun) && !denied {
		c.result.failed(label)
		return Unknown
	}
	wrongful := inside && !denied
	if !wrongful {
		creditUnused(0)
	}
	c.result.change(func(r *AccountReport) {
		r.Refused[label]++
		if wrongful {
			r.RefusedInside++
		}
	})
	return NotRun
}

func readRefusal(r *http.Response) refusal {
	b, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	var body struct {
		Error json.RawMessage `json:"error"`
	}
	_ = json.Unmarshal(b, &body)
	return readError(body.Error)
}

func (c *caller) sendRead(ctx context.Context, a arrival) {
	target := fmt.Sprintf("%s?guest=%d", c.account.ReadPath, a.number)
	c.sendPlain(ctx, a, http.MethodGet, target, "")
}

func (c *caller) sendRefund(ctx context.Context, a arrival) {
	body := fmt.Sprintf("%s-%d-%d", c.account.Name, c.seed, a.number)
	outcome := c.sendPlain(ctx, a, http.MethodPost, c.account.RefundPath, body)
	c.result.change(func(r *AccountReport) {
		r.Refunds = append(r.Refunds, Refund{Body: body, Outcome: outcome})
	})
}

// sendPlain sends a plain call, counts its result and returns its outcome.
func (c *caller) sendPlain(ctx context.Context, a arrival, method, target, body string) Outcome {
	inside, creditUnused := c.admit(c.account.CallCost)
	r, err := c.call(ctx, a, method, target, body)
	if err != nil {
		c.result.failed("connection")
		return Unknown
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return c.countRefusal(r, inside, creditUnused)
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		c.result.failed("cut")
		return Unknown
	}
	var answer struct {
		Answer string `json:"answer"`
	}
	if json.Unmarshal(b, &answer) != nil || answer.Answer != figemulator.PlainAnswer(method, target, body) {
		c.result.change(func(r *AccountReport) { r.Wrong++ })
		return Unknown
	}
	c.result.change(func(r *AccountReport) { r.PlainAnswered++ })
	return Answered
}
