//go:build deps

// Package deps keeps the declared libraries in go.mod while their users are written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/goccy/go-yaml"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/panjf2000/ants/v2"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "github.com/urfave/cli/v3"
	_ "github.com/valyala/fasthttp"
	_ "go.uber.org/goleak"
	_ "k8s.io/klog/v2"
	_ "pgregory.net/rapid"
)
