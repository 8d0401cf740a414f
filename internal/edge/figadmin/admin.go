// Package figadmin serves the HTTP endpoints for operators on a separate listener:
// health, readiness, metrics, and the status of the instance in JSON.
//
// # Usage
//
//	a := &figadmin.Admin{
//		Ready:   func() error { … },
//		Status:  func() any { … },
//		Metrics: metrics.Handler(),
//	}
//	err := a.Serve(ctx, listener)
//
// Paths: /healthz answers 200 while the process runs; /readyz answers 200 when
// the instance can serve callers, and 503 with the reason otherwise; /metrics is in
// Prometheus text format; /status is JSON; /status/all has the status of all known
// instances, with an error for each one that doesn't answer.
package figadmin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"figtrail.dev/figtrail/internal/core/figerror"
)

const (
	// readTimeout bounds the time to read a request.
	readTimeout = 5 * time.Second
	// writeTimeout bounds the time to write a response.
	writeTimeout = 10 * time.Second
	// maxBodyBytes bounds the body of a request; no page needs one.
	maxBodyBytes = 4 << 10
)

// Admin serves the endpoints for operators.
type Admin struct {
	// Ready returns nil if the instance can serve callers, or else the reason.
	Ready func() error
	// Status returns a value that /status encodes as JSON.
	Status func() any
	// Fleet queries the other instances for /status/all; if nil, that path answers 404.
	Fleet *Fleet
	// Metrics serves /metrics.
	Metrics http.Handler
	// ReadyPath is an alias of /readyz; empty for none.
	ReadyPath string
}

// Serve serves requests on l until ctx is cancelled, and then closes l and returns nil.
func (a *Admin) Serve(ctx context.Context, l net.Listener) error {
	s := &fasthttp.Server{
		Handler:               a.handler(),
		Name:                  "figtrail",
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	err := s.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return figerror.Wrap(err, "serve operators", l.Addr().String())
}

func (a *Admin) handler() fasthttp.RequestHandler {
	metrics := fasthttpadaptor.NewFastHTTPHandler(a.Metrics)
	return func(c *fasthttp.RequestCtx) {
		switch path := string(c.Path()); path {
		case a.ReadyPath:
			a.answerReady(c)
		case "/healthz":
			c.SetBodyString("ok\n")
		case "/readyz":
			a.answerReady(c)
		case "/metrics":
			metrics(c)
		case "/status":
			answerJSON(c, a.Status())
		case "/status/all":
			a.answerFleet(c)
		default:
			c.Error("no such page; try /healthz, /readyz, /metrics, /status or /status/all\n", fasthttp.StatusNotFound)
		}
	}
}

func (a *Admin) answerReady(c *fasthttp.RequestCtx) {
	if err := a.Ready(); err != nil {
		c.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetBodyString("ready\n")
}

func (a *Admin) answerFleet(c *fasthttp.RequestCtx) {
	if a.Fleet == nil {
		c.Error("this instance knows no others\n", fasthttp.StatusNotFound)
		return
	}
	answerJSON(c, a.Fleet.Statuses(c, a.Status()))
}

func answerJSON(c *fasthttp.RequestCtx, value any) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		c.Error(err.Error()+"\n", fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(append(text, '\n'))
}
