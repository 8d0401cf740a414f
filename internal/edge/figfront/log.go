package figfront

import "k8s.io/klog/v2"

// logger writes fasthttp's messages about broken connections at verbosity 2.
type logger struct{}

// Printf logs one message of fasthttp.
func (logger) Printf(format string, args ...any) { klog.V(2).Infof(format, args...) }
