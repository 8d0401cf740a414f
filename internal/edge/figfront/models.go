package figfront

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figpipeline"
)

// modelList is the response body that lists models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// answerModels answers with the list of models that the client account may use or, if
// name isn't empty, with the entry of that model only. A model that the account may not
// use is refused as not found.
func (s *Server) answerModels(c *fasthttp.RequestCtx, t *figtree.Tree, q *figpipeline.Call, name string) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range t.Models(q.Account) {
		list.Data = append(list.Data, modelEntry{ID: m, Object: "model", OwnedBy: "figtrail"})
	}
	if name == "" {
		answerJSON(c, list)
		return
	}
	i := slices.IndexFunc(list.Data, func(m modelEntry) bool { return m.ID == name })
	if i < 0 {
		s.refuse(c, refusal(q.ID, figlifecycle.NotFound, "this client account has no model "+strconv.Quote(name)))
		return
	}
	answerJSON(c, list.Data[i])
}

func answerJSON(c *fasthttp.RequestCtx, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(text)
}
