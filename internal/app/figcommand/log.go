package figcommand

import (
	"flag"
	"strconv"

	"k8s.io/klog/v2"
)

// setVerbosity sets the level of klog, whose own flags stay hidden.
func setVerbosity(level int) error {
	f := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(f)
	return f.Set("v", strconv.Itoa(level))
}
