package figfront

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/limit/figkey"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figpipeline"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// read authenticates and validates a request and fills in q. If the request must be
// refused, it returns the refusal for the caller. It returns answered true if it has
// written the response itself, as for the list of models.
func (s *Server) read(c *fasthttp.RequestCtx, q *figpipeline.Call) (answered bool, r *figlifecycle.Result) {
	t := s.opts.Tree()
	q.Method = string(c.Method())
	q.Path = string(c.RequestURI())
	path := string(c.Path())
	route, plain := t.Route(path)
	if !plain || !route.Public {
		if r := s.authenticate(c, t, q); r != nil {
			return false, r
		}
	}
	switch {
	case path == pathChat || path == pathCompletions:
		r = readModel(c, t, q, path == pathChat)
	case path == pathModels || strings.HasPrefix(path, pathModels+"/"):
		s.answerModels(c, t, q, strings.TrimPrefix(path[len(pathModels):], "/"))
		return true, nil
	case plain:
		r = readPlain(t, q, route)
	default:
		r = refusal(q.ID, figlifecycle.NotFound, "no route has the path "+strconv.Quote(path))
	}
	if r != nil {
		return false, r
	}
	q.Header = copyHeader(c)
	q.Body = slices.Clone(c.PostBody())
	return false, setDeadline(c, q)
}

// authenticate verifies the request's API key and sets its client account in q. The
// refusal doesn't tell the caller why the key was rejected.
func (s *Server) authenticate(c *fasthttp.RequestCtx, t *figtree.Tree, q *figpipeline.Call) *figlifecycle.Result {
	q.Secret = apiKey(c)
	k, err := figkey.Verify(t, q.Secret)
	if err != nil {
		var refused *figkey.VerificationError
		if errors.As(err, &refused) {
			s.opts.OnKeyRefused(refused.Reason)
		}
		return refusal(q.ID, figlifecycle.Unauthorized, "")
	}
	account, ok := t.Account(k.Account)
	if !ok {
		return refusal(q.ID, figlifecycle.Unauthorized, "")
	}
	q.Account = account
	q.KeyID = k.ID
	return nil
}

// apiKey returns the API key from the header X-Api-Key or else from a Bearer
// Authorization, or "" if there is none.
func apiKey(c *fasthttp.RequestCtx) string {
	if v := c.Request.Header.Peek("X-Api-Key"); len(v) > 0 {
		return string(v)
	}
	scheme, key, _ := strings.Cut(string(c.Request.Header.Peek(fasthttp.HeaderAuthorization)), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// readModel validates a model request and sets its pool and model call in q.
func readModel(c *fasthttp.RequestCtx, t *figtree.Tree, q *figpipeline.Call, chat bool) *figlifecycle.Result {
	refuse := func(reason figlifecycle.Reason, detail string) *figlifecycle.Result {
		return refusal(q.ID, reason, detail)
	}
	if !c.IsPost() {
		return refuse(figlifecycle.BadRequest, "the method must be POST")
	}
	m, err := parseModel(c.PostBody(), chat)
	if err != nil {
		return refuse(figlifecycle.BadRequest, err.Error())
	}
	p, ok := t.PoolForModel(q.Account, m.Model)
	if !ok {
		return refuse(figlifecycle.NotFound, "this client account has no model "+strconv.Quote(m.Model))
	}
	q.Pool = p
	q.Idempotent = true
	q.Model = m.call(p)
	if q.Model.PromptTokens > p.PromptLimit {
		return refuse(figlifecycle.TooLarge, "the prompt has about "+strconv.FormatInt(q.Model.PromptTokens, 10)+
			" tokens; the limit is "+strconv.FormatInt(p.PromptLimit, 10))
	}
	return nil
}

// readPlain checks that the route allows the method and that the client account may use
// the route's pool, and sets the pool in q. Public routes have no account.
func readPlain(t *figtree.Tree, q *figpipeline.Call, route *figtree.Route) *figlifecycle.Result {
	if !route.Allows(q.Method) {
		return refusal(q.ID, figlifecycle.BadRequest, "the route takes "+cmp.Or(strings.Join(route.Methods, ", "), "no method"))
	}
	p, ok := t.Pool(route.Pool)
	if !ok || (q.Account != nil && !slices.Contains(q.Account.Pools, route.Pool)) {
		return refusal(q.ID, figlifecycle.NotFound, "this client account has no such route")
	}
	q.Pool = p
	q.Idempotent = route.Idempotent
	return nil
}

// setDeadline sets the deadline from the pool's timeout or the caller's own, whichever is
// earlier. A caller's timeout that is not a positive number is refused.
func setDeadline(c *fasthttp.RequestCtx, q *figpipeline.Call) *figlifecycle.Result {
	q.Deadline = q.Arrived.Add(q.Pool.Timeout)
	text := string(c.Request.Header.Peek(headerTimeout))
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 1 {
		return refusal(q.ID, figlifecycle.BadRequest, headerTimeout+" must be a number of milliseconds above 0")
	}
	if own := q.Arrived.Add(time.Duration(ms) * time.Millisecond); own.Before(q.Deadline) {
		q.Deadline = own
	}
	return nil
}

// copyHeader copies the caller's header fields. The sender later removes the API key and
// hop-by-hop fields.
func copyHeader(c *fasthttp.RequestCtx) []figsend.Header {
	fields := make([]figsend.Header, 0, c.Request.Header.Len())
	for name, value := range c.Request.Header.All() {
		fields = append(fields, figsend.Header{Name: string(name), Value: string(value)})
	}
	return fields
}
