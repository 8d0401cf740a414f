package figfront

import "k8s.io/klog/v2"

// logger writes the library's remarks on broken connections as detail.
type logger struct{}

// Printf logs one remark.
func (logger) Printf(format string, args ...any) { klog.V(2).Infof(format, args...) }
