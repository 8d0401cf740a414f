package figcommand

import (
	"flag"
	"io"
	"strconv"

	"k8s.io/klog/v2"
)

// setVerbosity sets the level of klog, whose own flags stay hidden.
func setVerbosity(level int) error {
	f := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(f)
	return f.Set("v", strconv.Itoa(level))
}

// discardLogs keeps log lines out of what a command shows on the terminal.
func discardLogs() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}
